"""Spreads requests and limits over nodes: hashing, slots, quota shares, slow start, retry budgets."""
