"""Rate limits over the whole fleet: the quota share that a node owns, and tokens leased from other owners."""
