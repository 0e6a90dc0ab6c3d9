"""How items with their senders' own versions lie in the configuration table."""

# Routes are route/NAME and services upstream/NAME; limits are one item without a name.
LIMITS = "limits/all"


def splits(route: dict) -> list[tuple[str, float]]:
    """The services of a route with their weights: its split, or its one service."""
    if route.get("split"):
        return [(part["service"], part["weight"]) for part in route["split"]]
    return [(route["service"], 1.0)] if route.get("service") else []
