"""Routing: routes, path prefixes, and the configuration in force."""
