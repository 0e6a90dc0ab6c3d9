"""Retry policies: decisions without I/O."""
