"""Items, versions, tables, disk, digests and repair."""
