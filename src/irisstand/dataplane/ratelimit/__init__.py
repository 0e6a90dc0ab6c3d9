"""Fleet-wide rate limits: the quota share that a node owns, and tokens leased from other owners."""
