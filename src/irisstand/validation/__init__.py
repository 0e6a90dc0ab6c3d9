"""Checks of configurations: schema and cross-row rules."""
