"""What orders write: planned changes of the replicated tables."""
