"""Validation of configurations: schemas of rows, rules across rows, and checks against the running fleet."""
