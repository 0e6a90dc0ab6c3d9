"""Random values of the types that msgpack decodes to."""


def random_value(randomness, depth=0):
    """Return a random value, with at most three levels of nested lists and maps."""
    kinds = [None, True, 0, -1, 2**40, 1.5, "", "x" * 20, b"\xff", "é"]
    if depth < 3 and randomness.random() < 0.5:
        if randomness.random() < 0.7:
            return [random_value(randomness, depth + 1) for _ in range(randomness.randrange(7))]
        return {str(n): random_value(randomness, depth + 1) for n in range(randomness.randrange(3))}
    return randomness.choice(kinds)
