"""Validation of a proposed configuration against the schema, the rules across rows, and the running fleet."""

import collections.abc
import enum
import typing

from irisstand.validation import rules, schema

# Requests a second that a shield machine may get where its row sets no limit.
DEFAULT_SHIELD_LIMIT = 100
JsonObject = dict[str, typing.Any]


class Level(enum.StrEnum):
    """How bad a finding is."""

    # The change would be refused.
    FAULT = "fault"
    # The change would be accepted, and do harm.
    WARNING = "warning"


class Finding(typing.NamedTuple):
    """What is wrong with one field of a row."""

    level: Level
    kind: str
    name: str
    field: str
    message: str


class Fleet(typing.NamedTuple):
    """The running fleet.

    Attributes:
        shields: The shields that are up, as the members' page lists them.
        edges: The edges that are up.
        sites: The sites with a member that is up.
        origins: The origins by service, as the ledger has them.
    """

    shields: list[JsonObject]
    edges: list[JsonObject]
    sites: list[str]
    origins: dict[str, list[JsonObject]]


class ProposedTable(typing.NamedTuple):
    """The configuration as it would stand, and the faults of single rows."""

    table: rules.Rows
    findings: list[Finding]


Findings = collections.abc.Iterator[Finding]


def read_fleet(members: list[JsonObject], ledger: list[JsonObject]) -> Fleet:
    """Return the fleet from the operators' pages on members and on the ledger."""
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
    """Return the table with the proposed rows that have no fault of their own."""
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
    """Yield a warning for each service without an origin that stays."""
    for kind, name in table:
        if kind != "service":
            continue
        if all(origin["state"] == "leaving" for origin in fleet.origins.get(name, [])):
            yield Finding(Level.WARNING, kind, name, "name", "the platform lists no origin that stays for it")


def check_limits_of_services(table: rules.Rows, fleet: Fleet) -> Findings:
    """Yield a warning for each limit that is too small: each shield needs a share, each origin a request."""
    shields = len(fleet.shields)
    for (kind, name), value in table.items():
        if kind != "service":
            continue
        inflight = value["ceiling"]["inflight"]
        rate = value["ceiling"]["rate"]
        origins = len(fleet.origins.get(name, []))
        if inflight < shields:
            message = f"{inflight} in flight cannot be split among {shields} shields"
            yield Finding(Level.WARNING, kind, name, "ceiling.inflight", message)
        if inflight < origins:
            message = f"{inflight} in flight leaves some of {origins} origins idle"
            yield Finding(Level.WARNING, kind, name, "ceiling.inflight", message)
        if rate < shields:
            message = f"{rate} a second cannot be split among {shields} shields"
            yield Finding(Level.WARNING, kind, name, "ceiling.rate", message)


def check_weights_of_shields(table: rules.Rows, fleet: Fleet) -> Findings:
    """Yield a warning if no shield that is up would be given work."""
    weights = {}
    for member in fleet.shields:
        machine_weight = row_of(table, "shield", member["machine"]).get("weight", 1)
        site_weight = row_of(table, "site", member["site"]).get("weight", 1)
        weights[member["machine"]] = machine_weight * site_weight
    if fleet.shields and not any(weights.values()):
        yield Finding(Level.WARNING, "shield", "*", "weight", "every shield that is up would weigh 0")


def check_names_of_rows(table: rules.Rows, fleet: Fleet) -> Findings:
    """Yield a warning for each site, shield or machine that is not up."""
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
    """Yield a warning for each site without which the shields cannot carry what the limits allow."""
    wanted = sum(value["ceiling"]["rate"] for (kind, _), value in table.items() if kind == "service")
    capacity: dict[str, float] = {}
    for member in fleet.shields:
        limit = row_of(table, "shield", member["machine"]).get("limit", DEFAULT_SHIELD_LIMIT)
        capacity[member["site"]] = capacity.get(member["site"], 0) + limit
    for site, lost in capacity.items():
        left = sum(capacity.values()) - lost
        if left < wanted:
            message = f"without it the shields carry {left:g} a second of {wanted:g} that the ceilings allow"
            yield Finding(Level.WARNING, "site", site, "limit", message)


def check_overlaps_of_paths(table: rules.Rows, _: Fleet) -> Findings:
    """Yield a warning for each path below another that does not allow all of its services and methods.

    Requests go to the longest path, so what the shorter one allows ends there.
    """
    paths = sorted(name for kind, name in table if kind == "path")
    for longer in paths:
        for shorter in paths:
            if shorter == longer or not longer.startswith(shorter):
                continue
            lost = grants_of(table, shorter) - grants_of(table, longer)
            if lost:
                grants = ", ".join(f"{grant.method} to {grant.service}" for grant in sorted(lost))
                message = f"shadows {shorter}, whose grant entries for {grants} end there"
                yield Finding(Level.WARNING, "path", longer, "grants", message)


class Grant(typing.NamedTuple):
    """A service that a path may be sent to with a method."""

    service: str
    method: str


def grants_of(table: rules.Rows, path: str) -> set[Grant]:
    """Return the services and methods that a path allows."""
    grants = table[("path", path)]["grants"]
    return {Grant(grant["service"], method) for grant in grants for method in grant["methods"]}


def row_of(table: rules.Rows, kind: str, name: str) -> JsonObject:
    """Return a row's value, empty if there is none."""
    return table.get((kind, name)) or {}


# Plug-in point: a check against the fleet is an entry here.
REGISTRY: list[collections.abc.Callable[[rules.Rows, Fleet], Findings]] = [
    check_origins_of_services,
    check_limits_of_services,
    check_weights_of_shields,
    check_names_of_rows,
    check_loss_of_sites,
    check_overlaps_of_paths,
]


def validate(rows: list[JsonObject], proposed: list[JsonObject], fleet: Fleet) -> list[Finding]:
    """Return what is wrong with a configuration if the proposed rows were written.

    >>> found = validate([], [{"kind": "site", "name": "x", "value": {}}], Fleet([], [], ["y"], {}))
    >>> [(str(finding.level), finding.name) for finding in found]
    [('warning', 'x')]
    """
    table, findings = proposed_table(rows, proposed)
    findings += [Finding(Level.FAULT, *fault) for fault in rules.faults(table)]
    # How a table would do says nothing if it would be refused.
    if findings:
        return findings
    return [finding for check in REGISTRY for finding in check(table, fleet)]
