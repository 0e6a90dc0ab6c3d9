"""Rate limits over the whole fleet: recorded quota shares and leased tokens."""
