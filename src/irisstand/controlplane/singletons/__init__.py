"""Singleton tasks: each runs on one control plane node at a time, under a lease."""
