"""Finds the route and the service of a request in the configuration in force."""
