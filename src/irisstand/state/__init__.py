"""Replicated state: items and their versions, tables, durable storage, digests, replication and repair."""
