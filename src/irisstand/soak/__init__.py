"""Soak tests with real processes: shutdowns and changes under slow origins and keep-alive connections."""
