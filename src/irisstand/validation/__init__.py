"""Checks of configurations: schemas, rules across rows, and the fleet as it runs."""
