"""The checker: a proposed configuration against the schema, the rules, and the fleet as it is."""

import collections.abc
import typing

from irisstand.validation import rules, schema


class Finding(typing.NamedTuple):
    """`level` is fault (would be refused) or warning (would be accepted, and hurt)."""

    level: str
    kind: str
    name: str
    field: str
    message: str


class Fleet(typing.NamedTuple):
    """The fleet as the core knows it: members, and origins by service."""

    shields: list[dict]
    edges: list[dict]
    sites: list[str]
    origins: dict[str, list[dict]]


def fleet_from(members: list[dict], ledger: list[dict]) -> Fleet:
    alive = [member for member in members if member["state"] in ("alive", "suspect")]
    origins: dict[str, list[dict]] = {}
    for row in ledger:
        if row["key"].startswith("origin/"):
            origins.setdefault(row["value"]["service"], []).append(row["value"])
    return Fleet(
        [member for member in alive if member["role"] == "shield"],
        [member for member in alive if member["role"] == "edge"],
        sorted({member["site"] for member in alive}),
        origins,
    )


def standing(rows: list[dict], proposed: list[dict]) -> tuple[rules.Rows, list[Finding]]:
    """The table as it would stand, and the faults of single rows."""
    table: rules.Rows = {(row["kind"], row["name"]): row["value"] for row in rows}
    found = []
    for row in proposed:
        kind, name, value = row.get("kind"), row.get("name"), row.get("value")
        faults = schema.faults(kind, name, value)
        found += [Finding("fault", str(kind), str(name), field, message) for field, message in faults]
        if not faults:
            table.pop((kind, name), None)
            if value is not None:
                table[(kind, name)] = value
    return table, found


Found = collections.abc.Iterator[Finding]


def services_have_origins(table: rules.Rows, fleet: Fleet) -> Found:
    for (kind, name), _ in table.items():
        if kind == "service" and not [o for o in fleet.origins.get(name, []) if o["state"] != "leaving"]:
            yield Finding("warning", kind, name, "name", "the platform lists no origin that stays for it")


def ceilings_reach_the_origins(table: rules.Rows, fleet: Fleet) -> Found:
    """Every shield needs a part of the ceiling to be of use, and every origin one request."""
    for (kind, name), value in table.items():
        if kind != "service":
            continue
        ceiling, origins = value["ceiling"], len(fleet.origins.get(name, []))
        if ceiling["inflight"] < len(fleet.shields):
            message = f"{ceiling['inflight']} in flight cannot be split among {len(fleet.shields)} shields"
            yield Finding("warning", kind, name, "ceiling.inflight", message)
        if ceiling["inflight"] < origins:
            message = f"{ceiling['inflight']} in flight leaves some of {origins} origins idle"
            yield Finding("warning", kind, name, "ceiling.inflight", message)
        if ceiling["rate"] < len(fleet.shields):
            message = f"{ceiling['rate']} a second cannot be split among {len(fleet.shields)} shields"
            yield Finding("warning", kind, name, "ceiling.rate", message)


def weights_leave_shields(table: rules.Rows, fleet: Fleet) -> Found:
    weights = {}
    for member in fleet.shields:
        own = (table.get(("shield", member["machine"])) or {}).get("weight", 1)
        weights[member["machine"]] = own * (table.get(("site", member["site"])) or {}).get("weight", 1)
    if fleet.shields and not any(weights.values()):
        yield Finding("warning", "shield", "*", "weight", "every shield that is up would weigh 0")


def rows_name_what_exists(table: rules.Rows, fleet: Fleet) -> Found:
    machines = {member["machine"] for member in [*fleet.shields, *fleet.edges]}
    known = {"site": set(fleet.sites), "shield": {m["machine"] for m in fleet.shields}, "machine": machines}
    for kind, name in table:
        if kind in known and name not in known[kind]:
            message = f"no such {kind} is up; known: {', '.join(sorted(known[kind])) or 'none'}"
            yield Finding("warning", kind, name, "name", message)


def a_lost_site_is_carried(table: rules.Rows, fleet: Fleet) -> Found:
    """What the shields left by the loss of the largest site may carry, against the ceilings."""
    wanted = sum(value["ceiling"]["rate"] for (kind, _), value in table.items() if kind == "service")
    capacity: dict[str, float] = {}
    for member in fleet.shields:
        limit = (table.get(("shield", member["machine"])) or {}).get("limit", 100)
        capacity[member["site"]] = capacity.get(member["site"], 0) + limit
    for site, lost in capacity.items():
        left = sum(capacity.values()) - lost
        if left < wanted:
            message = f"without it the shields carry {left:g} a second of {wanted:g} that the ceilings allow"
            yield Finding("warning", "site", site, "limit", message)


def paths_that_shadow(table: rules.Rows, fleet: Fleet) -> Found:
    """A longer path takes requests from a shorter one; told where it grants other services or methods."""
    paths = sorted(name for kind, name in table if kind == "path")
    for longer in paths:
        for shorter in paths:
            if shorter == longer or not longer.startswith(shorter):
                continue
            lost = grants_of(table, shorter) - grants_of(table, longer)
            if lost:
                what = ", ".join(f"{method} to {service}" for service, method in sorted(lost))
                message = f"shadows {shorter}, whose grant entries for {what} end there"
                yield Finding("warning", "path", longer, "grants", message)


def grants_of(table: rules.Rows, path: str) -> set[tuple[str, str]]:
    grants = table[("path", path)]["grants"]
    return {(grant["service"], method) for grant in grants for method in grant["methods"]}


# Plug-in point: a check against the fleet is an entry here.
REGISTRY: list[collections.abc.Callable[[rules.Rows, Fleet], Found]] = [
    services_have_origins,
    ceilings_reach_the_origins,
    weights_leave_shields,
    rows_name_what_exists,
    a_lost_site_is_carried,
    paths_that_shadow,
]


def vet(rows: list[dict], proposed: list[dict], fleet: Fleet) -> list[Finding]:
    """
    >>> found = vet([], [{"kind": "site", "name": "x", "value": {}}], Fleet([], [], ["y"], {}))
    >>> [(finding.level, finding.name) for finding in found]
    [('warning', 'x')]
    """
    table, found = standing(rows, proposed)
    found += [Finding("fault", *fault) for fault in rules.faults(table)]
    # A table that would be refused says nothing reliable about how it would do.
    if not found:
        found = [finding for check in REGISTRY for finding in check(table, fleet)]
    return found
