"""How the items that operators version themselves are stored in the configuration table."""

import typing

# Routes are stored as route/NAME and services as upstream/NAME; the limits are one item without a name.
LIMITS_KEY = "limits/all"


def weighted_services(route: dict[str, typing.Any]) -> list[tuple[str, float]]:
    """Return the services of a route with their weights; a route without a split has one, or none."""
    if route.get("split"):
        return [(part["service"], part["weight"]) for part in route["split"]]
    return [(route["service"], 1.0)] if route.get("service") else []
