"""Cached objects: local caches, the nodes that hold objects, and reads through them."""
