"""Durable storage of a voter: the files, records and segments on its disk."""
