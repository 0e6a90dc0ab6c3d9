"""Planning of orders: the rows that each kind of order writes to the replicated tables."""
