"""Cached objects: the caches of single nodes, the holders of objects, and reads of objects."""
