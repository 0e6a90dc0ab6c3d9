"""A whole fleet as real processes on one machine, with its load, failures and judge."""
