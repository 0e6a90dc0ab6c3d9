"""Caching of objects: the cache of each node, object holders shared by edges, and reads through both."""
