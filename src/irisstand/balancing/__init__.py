"""How requests and limits are spread over nodes: hashing, slots, quota shares, slow start, budgets."""
