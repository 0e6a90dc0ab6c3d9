"""Storage format of the configuration items whose versions operators choose: routes, services and limits."""

import typing

# Routes are stored under route/NAME and services under upstream/NAME; the limits are a single unnamed item.
LIMITS_KEY = "limits/all"


def weighted_services(route: dict[str, typing.Any]) -> list[tuple[str, float]]:
    """Return the services of a route and their weights.

    A route with a traffic split has several services. One without a split has a single service with weight 1,
    or none.
    """
    if route.get("split"):
        return [(part["service"], part["weight"]) for part in route["split"]]
    return [(route["service"], 1.0)] if route.get("service") else []
