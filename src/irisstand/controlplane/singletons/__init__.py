"""Singleton tasks: background tasks that each run on one control plane node at a time, under a lease."""
