"""Soak runs: real processes, stopped and changed in series under slow origins and kept connections."""
