"""Rules across rows: what the whole table must keep to, once a change stands in it."""

import collections.abc
import typing

Rows = dict[tuple[str, str], typing.Any]
Fault = tuple[str, str, str, str]


def grants_name_services(rows: Rows) -> collections.abc.Iterator[Fault]:
    for (kind, name), value in rows.items():
        for grant in value["grants"] if kind == "path" else ():
            if ("service", grant["service"]) not in rows:
                message = f"service {grant['service']!r} has no row; send its row too, or name another"
                yield (kind, name, "grants", message)


def methods_granted_once_have_weight(rows: Rows) -> collections.abc.Iterator[Fault]:
    """A method whose grant entries all weigh nothing could be drawn for no service."""
    for (kind, name), value in rows.items():
        if kind != "path":
            continue
        weights: dict[str, float] = {}
        for grant in value["grants"]:
            for method in grant["methods"]:
                weights[method] = weights.get(method, 0) + grant.get("weight", 1)
        for method, weight in weights.items():
            if weight <= 0:
                yield (kind, name, "grants", f"no grant entry for {method} has a weight over 0; raise one")


def some_site_has_weight(rows: Rows) -> collections.abc.Iterator[Fault]:
    sites = {name: value.get("weight", 1) for (kind, name), value in rows.items() if kind == "site"}
    if sites and not any(sites.values()):
        yield ("site", next(iter(sites)), "weight", "every site weighs 0; leave one above 0")


# Plug-in point: a rule is an entry here.
REGISTRY: list[collections.abc.Callable[[Rows], collections.abc.Iterator[Fault]]] = [
    grants_name_services,
    methods_granted_once_have_weight,
    some_site_has_weight,
]


def faults(rows: Rows) -> list[Fault]:
    return [fault for rule in REGISTRY for fault in rule(rows)]
