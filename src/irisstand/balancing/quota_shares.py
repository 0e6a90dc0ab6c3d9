"""Shares of each service's ceiling, recorded for each shield machine; their sum never passes the ceiling.

A share row is {service: [rate, inflight, ceiling of rate, ceiling of inflight]}. The ceilings in it are those
it was worked out for, so that a ceiling lowered later shrinks every share at once, before any row changes.
"""

import typing

ServiceLimit = tuple[int, int]
ShareRows = dict[str, dict[str, list[int]]]


def split(total: int, weights: dict[str, float]) -> dict[str, int]:
    """Whole parts by weight that add up to the total.

    >>> split(7, {"a": 1, "b": 1, "c": 0})
    {'a': 4, 'b': 3, 'c': 0}
    """
    names = sorted(weights)
    whole = sum(weights.values())
    if not whole:
        return dict.fromkeys(names, 0)
    parts = {name: int(total * weights[name] / whole) for name in names}
    left = total - sum(parts.values())
    for name in [name for name in names if weights[name] > 0][:left]:
        parts[name] += 1
    return parts


def effective_limit(entry: list[int] | None, ceiling: ServiceLimit) -> ServiceLimit:
    """What a shield may use of its share under the ceiling now in force.

    >>> effective([10, 4, 50, 20], (25, 20)), effective(None, (25, 20))
    ((5, 4), (0, 0))
    """
    if entry is None:
        return (0, 0)
    rate, inflight, rate_ceiling, inflight_ceiling = entry
    return (
        rate if ceiling[0] >= rate_ceiling else rate * ceiling[0] // rate_ceiling,
        inflight if ceiling[1] >= inflight_ceiling else inflight * ceiling[1] // inflight_ceiling,
    )


def plan(
    rows: ShareRows,
    ceilings: dict[str, ServiceLimit],
    weights: dict[str, float],
    frozen: typing.Container[str],
) -> tuple[ShareRows, set[str]]:
    """The next rows, and the services of which something was taken away.

    Taking away comes first. What was taken is given to others only when `frozen`, which holds the services
    taken from not long ago, names the service no more: its last holder may not have heard of it yet.

    >>> start, _ = plan({}, {"s": (10, 4)}, {"a": 1, "b": 1}, ())
    >>> start["a"]["s"], start["b"]["s"]
    ([5, 2, 10, 4], [5, 2, 10, 4])
    >>> taken, services = plan(start, {"s": (10, 4)}, {"b": 1}, ())
    >>> taken["a"], taken["b"]["s"], services
    ({}, [5, 2, 10, 4], {'s'})
    >>> plan(taken, {"s": (10, 4)}, {"b": 1}, ())[0]["b"]["s"]
    [10, 4, 10, 4]
    """
    machines = sorted(set(rows) | set(weights))
    planned: ShareRows = {machine: {} for machine in machines}
    reduced: set[str] = set()
    for machine in machines:
        reduced |= {service for service in rows.get(machine, {}) if service not in ceilings}
    for service, ceiling in ceilings.items():
        current = {
            machine: effective_limit(rows.get(machine, {}).get(service), ceiling) for machine in machines
        }
        targets = [split(total, {m: weights.get(m, 0) for m in machines}) for total in ceiling]
        lowered = {m: tuple(min(current[m][i], targets[i][m]) for i in (0, 1)) for m in machines}
        if lowered != current:
            reduced.add(service)
            following = lowered
        elif service in frozen:
            following = current
        else:
            following = raise_towards(current, targets, ceiling)
        for machine, (rate, inflight) in following.items():
            if rate or inflight:
                planned[machine][service] = [rate, inflight, *ceiling]
    return planned, reduced


def raise_towards(
    current: dict[str, ServiceLimit], targets: list[dict[str, int]], ceiling: ServiceLimit
) -> dict[str, ServiceLimit]:
    """Towards the targets, by no more than what nobody holds."""
    free = [ceiling[i] - sum(held[i] for held in current.values()) for i in (0, 1)]
    following = {}
    for machine, held in current.items():
        given = [min(free[i], max(0, targets[i][machine] - held[i])) for i in (0, 1)]
        free = [free[i] - given[i] for i in (0, 1)]
        following[machine] = (held[0] + given[0], held[1] + given[1])
    return following
