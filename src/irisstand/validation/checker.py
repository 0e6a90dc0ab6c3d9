"""Validates a proposed configuration against the schema, the rules across rows, and the running fleet."""

import collections.abc
import enum
import typing

from irisstand.validation import rules, schema

# Requests per second that a shield machine may get if the configuration sets no limit for it.
DEFAULT_SHIELD_LIMIT = 100
JsonObject = dict[str, typing.Any]


class Level(enum.StrEnum):
    """The severity of a finding."""

    # The control plane would refuse the change.
    FAULT = "fault"
    # The control plane would accept the change, but it would probably do harm.
    WARNING = "warning"


class Finding(typing.NamedTuple):
    """What is wrong with one field of a row in a proposed configuration.

    Attributes:
        level: The severity.
        kind: The kind of the row.
        name: The name of the row.
        field: The field that is wrong.
        message: What is wrong with the field, in words for operators.
    """

    level: Level
    kind: str
    name: str
    field: str
    message: str


class Fleet(typing.NamedTuple):
    """The nodes and origins that are up when a configuration is validated.

    Attributes:
        shields: The shields that are up, as the operators' API lists members.
        edges: The edges that are up, as the operators' API lists members.
        sites: The names of the sites with a member that is up, sorted.
        origins: The records of origins in the ledger table, by service.
    """

    shields: list[JsonObject]
    edges: list[JsonObject]
    sites: list[str]
    origins: dict[str, list[JsonObject]]


class ProposedTable(typing.NamedTuple):
    """A configuration with the proposed rows applied, and the faults of those that are invalid.

    Attributes:
        table: The values of the configuration rows, by kind and name.
        findings: The schema faults of the proposed rows.
    """

    table: rules.Rows
    findings: list[Finding]


Findings = collections.abc.Iterator[Finding]


def read_fleet(members: list[JsonObject], ledger: list[JsonObject]) -> Fleet:
    """Return the part of the fleet that is up, and the origins of its services.

    Args:
        members: The members of the fleet, as the operators' API lists them.
        ledger: The rows of the ledger table, which records the origins.
    """
    alive = [member for member in members if member["state"] in ("alive", "suspect")]
    origins: dict[str, list[JsonObject]] = {}
    for row in ledger:
        if row["key"].startswith("origin/"):
            origins.setdefault(row["value"]["service"], []).append(row["value"])
    return Fleet(
        [member for member in alive if member["role"] == "shield"],
        [member for member in alive if member["role"] == "edge"],
        sorted({member["site"] for member in alive}),
        origins,
    )


def proposed_table(rows: list[JsonObject], proposed: list[JsonObject]) -> ProposedTable:
    """Apply the proposed rows that have no schema fault to the rows in force, and return the result."""
    table: rules.Rows = {(row["kind"], row["name"]): row["value"] for row in rows}
    findings = []
    for row in proposed:
        kind: typing.Any = row.get("kind")
        name: typing.Any = row.get("name")
        value = row.get("value")
        faults = schema.faults(kind, name, value)
        findings += [Finding(Level.FAULT, str(kind), str(name), *fault) for fault in faults]
        if not faults:
            table.pop((kind, name), None)
            if value is not None:
                table[(kind, name)] = value
    return ProposedTable(table, findings)


def check_origins_of_services(table: rules.Rows, fleet: Fleet) -> Findings:
    """Yield a warning for each service whose origins are all about to leave, or that has none."""
    for kind, name in table:
        if kind != "service":
            continue
        if all(origin["state"] == "leaving" for origin in fleet.origins.get(name, [])):
            yield Finding(Level.WARNING, kind, name, "name", "the platform lists no origin that stays for it")


def check_limits_of_services(table: rules.Rows, fleet: Fleet) -> Findings:
    """Yield a warning for each service limit that is too low for the fleet.

    Each shield needs at least 1 of the rate limit and of the concurrency limit as its share, and each origin
    at least one request in flight.
    """
    shields = len(fleet.shields)
    for (kind, name), value in table.items():
        if kind != "service":
            continue
        inflight = value["ceiling"]["inflight"]
        rate = value["ceiling"]["rate"]
        origins = len(fleet.origins.get(name, []))
        if inflight < shields:
            message = f"a limit of {inflight} requests in flight cannot be divided among {shields} shields"
            yield Finding(Level.WARNING, kind, name, "ceiling.inflight", message)
        if inflight < origins:
            message = f"a limit of {inflight} requests in flight leaves some of the {origins} origins idle"
            yield Finding(Level.WARNING, kind, name, "ceiling.inflight", message)
        if rate < shields:
            message = f"a limit of {rate} requests per second cannot be divided among {shields} shields"
            yield Finding(Level.WARNING, kind, name, "ceiling.rate", message)


def check_weights_of_shields(table: rules.Rows, fleet: Fleet) -> Findings:
    """Yield a warning if every shield that is up has weight 0 and would get no requests."""
    weights = {}
    for member in fleet.shields:
        machine_weight = row_of(table, "shield", member["machine"]).get("weight", 1)
        site_weight = row_of(table, "site", member["site"]).get("weight", 1)
        weights[member["machine"]] = machine_weight * site_weight
    if fleet.shields and not any(weights.values()):
        yield Finding(Level.WARNING, "shield", "*", "weight", "every shield that is up would have weight 0")


def check_names_of_rows(table: rules.Rows, fleet: Fleet) -> Findings:
    """Yield a warning for each row about a site, shield or machine that is not up."""
    known = {
        "site": set(fleet.sites),
        "shield": {member["machine"] for member in fleet.shields},
        "machine": {member["machine"] for member in [*fleet.shields, *fleet.edges]},
    }
    for kind, name in table:
        if kind in known and name not in known[kind]:
            message = f"no such {kind} is up; known: {', '.join(sorted(known[kind])) or 'none'}"
            yield Finding(Level.WARNING, kind, name, "name", message)


def check_loss_of_sites(table: rules.Rows, fleet: Fleet) -> Findings:
    """Yield a warning for each site whose loss leaves too little shield capacity for the services' limits."""
    allowed_rate = sum(value["ceiling"]["rate"] for (kind, _), value in table.items() if kind == "service")
    capacity: dict[str, float] = {}
    for member in fleet.shields:
        limit = row_of(table, "shield", member["machine"]).get("limit", DEFAULT_SHIELD_LIMIT)
        capacity[member["site"]] = capacity.get(member["site"], 0) + limit
    for site, lost in capacity.items():
        left = sum(capacity.values()) - lost
        if left < allowed_rate:
            message = (
                f"without it the shields carry {left:g} a second of {allowed_rate:g} that the ceilings allow"
            )
            yield Finding(Level.WARNING, "site", site, "limit", message)


def check_overlaps_of_paths(table: rules.Rows, _: Fleet) -> Findings:
    """Yield a warning for each path that lies below another and lacks some of its services and methods.

    A request is matched with the longest path, so what only the shorter path allows is refused there.
    """
    paths = sorted(name for kind, name in table if kind == "path")
    for longer in paths:
        for shorter in paths:
            if shorter == longer or not longer.startswith(shorter):
                continue
            lost = grants_of(table, shorter) - grants_of(table, longer)
            if lost:
                grants = ", ".join(f"{grant.method} to {grant.service}" for grant in sorted(lost))
                message = f"the path hides the grant entries for {grants} of the shorter path {shorter}"
                yield Finding(Level.WARNING, "path", longer, "grants", message)


class Grant(typing.NamedTuple):
    """A service and a method that a path allows requests to."""

    service: str
    method: str


def grants_of(table: rules.Rows, path: str) -> set[Grant]:
    """Return the services and methods that a path allows."""
    grants = table[("path", path)]["grants"]
    return {Grant(grant["service"], method) for grant in grants for method in grant["methods"]}


def row_of(table: rules.Rows, kind: str, name: str) -> JsonObject:
    """Return the value of a row, an empty object if there is no such row."""
    return table.get((kind, name)) or {}


# Extension point: the checks of a configuration against the running fleet; add a check as another entry.
REGISTRY: list[collections.abc.Callable[[rules.Rows, Fleet], Findings]] = [
    check_origins_of_services,
    check_limits_of_services,
    check_weights_of_shields,
    check_names_of_rows,
    check_loss_of_sites,
    check_overlaps_of_paths,
]


def validate(rows: list[JsonObject], proposed: list[JsonObject], fleet: Fleet) -> list[Finding]:
    """Return what would be wrong with the configuration if the proposed rows were written to it.

    Args:
        rows: The configuration rows in force.
        proposed: The rows to write; a row without a value is removed.
        fleet: The running fleet.

    >>> found = validate([], [{"kind": "site", "name": "x", "value": {}}], Fleet([], [], ["y"], {}))
    >>> [(str(finding.level), finding.name) for finding in found]
    [('warning', 'x')]
    """
    table, findings = proposed_table(rows, proposed)
    findings += [Finding(Level.FAULT, *fault) for fault in rules.faults(table)]
    # Checks against the fleet make sense only for a configuration that would be accepted.
    if findings:
        return findings
    return [finding for check in REGISTRY for finding in check(table, fleet)]
