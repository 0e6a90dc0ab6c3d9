"""Validation rules that concern several rows of the configuration at once."""

import collections.abc
import typing

# The values of configuration rows, by kind and name.
Rows = dict[tuple[str, str], typing.Any]


class TableFault(typing.NamedTuple):
    """What is wrong with one field of a row in relation to other rows.

    Attributes:
        kind: The kind of the row.
        name: The name of the row.
        field: The field that is wrong.
        message: What is wrong with the field, and how to correct it.
    """

    kind: str
    name: str
    field: str
    message: str


Faults = collections.abc.Iterator[TableFault]


def check_services_of_grants(rows: Rows) -> Faults:
    """Yield a fault for each grant of a path whose service has no row."""
    for (kind, name), value in rows.items():
        for grant in value["grants"] if kind == "path" else ():
            if ("service", grant["service"]) not in rows:
                message = f"service {grant['service']!r} has no row; send its row too, or name another"
                yield TableFault(kind, name, "grants", message)


def check_weights_of_grants(rows: Rows) -> Faults:
    """Yield a fault for each method of a path whose grants all have weight 0: no service could be chosen."""
    for (kind, name), value in rows.items():
        if kind != "path":
            continue
        weights: dict[str, float] = {}
        for grant in value["grants"]:
            for method in grant["methods"]:
                weights[method] = weights.get(method, 0) + grant.get("weight", 1)
        for method, weight in weights.items():
            if weight <= 0:
                message = f"no grant entry for {method} has a weight over 0; raise one"
                yield TableFault(kind, name, "grants", message)


def check_weights_of_sites(rows: Rows) -> Faults:
    """Yield a fault if every site that has a row has weight 0."""
    sites = {name: value.get("weight", 1) for (kind, name), value in rows.items() if kind == "site"}
    if sites and not any(sites.values()):
        yield TableFault("site", next(iter(sites)), "weight", "every site has weight 0; raise one")


# Extension point: the rules across rows; add a rule as another entry.
REGISTRY: list[collections.abc.Callable[[Rows], Faults]] = [
    check_services_of_grants,
    check_weights_of_grants,
    check_weights_of_sites,
]


def faults(rows: Rows) -> list[TableFault]:
    """Return the faults that all rules find in the rows of a configuration."""
    return [fault for rule in REGISTRY for fault in rule(rows)]
