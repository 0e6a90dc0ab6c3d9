"""A model check of the decision code: the real coroutines under a scheduler that chooses every step."""
