"""Plans the shield machines' quota shares of each service's limits; their sum never exceeds a limit.

A ledger item `share/<machine>` is {service: [rate, concurrency, rate limit, concurrency limit]}. It records
the limits for which it was planned: if a limit is lowered later, every machine scales its shares down at
once, before any item changes.
"""

import collections.abc
import typing

ShareRows = dict[str, dict[str, list[int]]]


class ServiceLimit(typing.NamedTuple):
    """The limits of a service, or a share of them.

    Attributes:
        rate: The requests that may start within one second.
        concurrency: The requests that may be in flight at the same time.
    """

    rate: int
    concurrency: int


NO_SHARE = ServiceLimit(0, 0)


class RecordedShare(typing.NamedTuple):
    """A quota share as the ledger records it, and the limits for which it was planned."""

    rate: int
    concurrency: int
    rate_limit: int
    concurrency_limit: int


class SharePlan(typing.NamedTuple):
    """The planned quota shares by machine, and the services of which the plan reduces a share."""

    rows: ShareRows
    reduced_services: set[str]


def split(total: int, weights: dict[str, float]) -> dict[str, int]:
    """Split a total into whole numbers in proportion to the weights.

    >>> split(7, {"a": 1, "b": 1, "c": 0})
    {'a': 4, 'b': 3, 'c': 0}
    """
    names = sorted(weights)
    weight_sum = sum(weights.values())
    if not weight_sum:
        return dict.fromkeys(names, 0)
    shares = {name: int(total * weights[name] / weight_sum) for name in names}
    remainder = total - sum(shares.values())
    for name in [name for name in names if weights[name] > 0][:remainder]:
        shares[name] += 1
    return shares


def effective_limit(entry: list[int] | None, limit: tuple[int, int]) -> ServiceLimit:
    """Return the part of its recorded quota share that a shield may use under the limits in force.

    Args:
        entry: The recorded share; None if none is recorded.
        limit: The service's (rate, concurrency) in the current configuration.

    >>> effective_limit([10, 4, 50, 20], (25, 20))
    ServiceLimit(rate=5, concurrency=4)
    >>> effective_limit(None, (25, 20))
    ServiceLimit(rate=0, concurrency=0)
    """
    if entry is None:
        return NO_SHARE
    share = RecordedShare(*entry)
    rate, concurrency = limit
    return ServiceLimit(
        scaled_down(share.rate, rate, share.rate_limit),
        scaled_down(share.concurrency, concurrency, share.concurrency_limit),
    )


def scaled_down(share: int, limit: int, planned_limit: int) -> int:
    """Return the share, scaled down in proportion if the limit is lower than the one it was planned for."""
    return share if limit >= planned_limit else share * limit // planned_limit


def plan(
    rows: ShareRows,
    limits: collections.abc.Mapping[str, tuple[int, int]],
    weights: dict[str, float],
    frozen: typing.Container[str],
) -> SharePlan:
    """Plan the next quota shares: reduce shares first, and raise other shares only in a later plan.

    Args:
        rows: The recorded shares by machine and service.
        limits: The (rate, concurrency) limits of each service.
        weights: The machines that should have shares, with their weights.
        frozen: Services of which a share was reduced a short while ago. Their shares are not raised yet, as
            the machine with the reduced share may not know of the reduction.

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
    reduced = {service for row in rows.values() for service in row if service not in limits}
    for service, limit in limits.items():
        current = {
            machine: effective_limit(rows.get(machine, {}).get(service), limit) for machine in machines
        }
        targets = target_shares(limit, machines, weights)
        lowered = {machine: lower_of(share, targets[machine]) for machine, share in current.items()}
        if lowered != current:
            reduced.add(service)
            next_shares = lowered
        elif service in frozen:
            next_shares = current
        else:
            next_shares = raise_towards(current, targets, limit)
        for machine, share in next_shares.items():
            if share != NO_SHARE:
                planned[machine][service] = [*share, *limit]
    return SharePlan(planned, reduced)


def target_shares(
    limit: tuple[int, int], machines: list[str], weights: dict[str, float]
) -> dict[str, ServiceLimit]:
    """Return each machine's share of the limits in proportion to its weight."""
    all_weights = {machine: weights.get(machine, 0) for machine in machines}
    rates, concurrencies = (split(total, all_weights) for total in limit)
    return {machine: ServiceLimit(rates[machine], concurrencies[machine]) for machine in machines}


def lower_of(first: ServiceLimit, second: ServiceLimit) -> ServiceLimit:
    """Return the lower rate and the lower concurrency of two shares."""
    return ServiceLimit(min(first.rate, second.rate), min(first.concurrency, second.concurrency))


def raise_towards(
    current: dict[str, ServiceLimit], targets: dict[str, ServiceLimit], limit: tuple[int, int]
) -> dict[str, ServiceLimit]:
    """Raise shares towards the targets, by no more than the part of the limit that no machine has."""
    free_rate = limit[0] - sum(share.rate for share in current.values())
    free_concurrency = limit[1] - sum(share.concurrency for share in current.values())
    next_shares = {}
    for machine, share in current.items():
        target = targets[machine]
        added_rate = min(free_rate, max(0, target.rate - share.rate))
        added_concurrency = min(free_concurrency, max(0, target.concurrency - share.concurrency))
        free_rate -= added_rate
        free_concurrency -= added_concurrency
        next_shares[machine] = ServiceLimit(share.rate + added_rate, share.concurrency + added_concurrency)
    return next_shares
