"""Routing: routes, prefixes and the configuration in force."""
