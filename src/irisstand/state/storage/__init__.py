"""Durable storage of a voter: files, records and segments on its disk."""
