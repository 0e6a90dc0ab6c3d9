"""Orders that may be decided: each plans rows on top of a table as it would stand, or refuses whole."""

import collections.abc
import typing

from irisstand import control_errors, errors
from irisstand.controlplane.changes import amendment, table_time, voter_changes
from irisstand.controlplane.changes import overlay as overlays
from irisstand.state import items, versions
from irisstand.validation import canonical_content, rules, schema

# Remembered at the most: beyond that, new ones wait until the oldest have stood for long enough.
CLAIMS_LIMIT = 50_000
CHANGES_LIMIT = 50_000

Order, Overlay = overlays.Order, overlays.Overlay
Planned = dict[str, typing.Any]


# Payloads travel as plain tuples; these name their parts.
class LeaseRequest(typing.NamedTuple):
    """`expected` is the version of the duty's lease that the candidate saw."""

    duty: str
    holder: str
    expected: str


class FencedWrite(typing.NamedTuple):
    """Rows of a duty's holder; `lease` is the version under which it holds the duty."""

    duty: str
    fencing_token: str
    rows: list[tuple[str, typing.Any]]


class KeyClaim(typing.NamedTuple):
    key: str
    attempt: str
    fingerprint: typing.Any


class KeyResult(typing.NamedTuple):
    """`result` None gives the claim back."""

    key: str
    attempt: str
    result: typing.Any


def plan_change(overlay: Overlay, payload: typing.Any) -> Planned:
    """Operators' rows: schema, then the rules on the whole table, then each row's expected version."""
    faults = []
    standing: rules.Rows = {}
    for kind in schema.REGISTRY:
        for key, value in overlay.items_with_prefix(kind + "/").items():
            standing[(kind, key.removeprefix(kind + "/"))] = value
    seen = set()
    for place, row in enumerate(payload):
        kind, name, value = row.get("kind"), row.get("name"), row.get("value")
        row_faults = schema.faults(kind, name, value)
        if (kind, name) in seen and not row_faults:
            row_faults = [("name", "the same row stands twice in this change; keep one")]
        for field, message in row_faults:
            faults.append({"row": place, "kind": kind, "name": name, "field": field, "message": message})
        if not row_faults:
            seen.add((kind, name))
            standing.pop((kind, name), None)
            if value is not None:
                standing[(kind, name)] = value
    if not faults:
        for kind, name, field, message in rules.faults(standing):
            faults.append({"row": None, "kind": kind, "name": name, "field": field, "message": message})
    if faults:
        raise errors.InvalidChangeError(faults)
    conflicts = []
    for row in payload:
        version = overlay.version(f"{row['kind']}/{row['name']}")
        if row.get("expected") is not None and row["expected"] != str(version):
            conflict = {"kind": row["kind"], "name": row["name"], "expected": row["expected"]}
            conflicts.append({**conflict, "in_force": str(version)})
    if conflicts:
        raise errors.StaleVersionError(conflicts)
    return {f"{row['kind']}/{row['name']}": row.get("value") for row in payload}


def plan_purge(overlay: Overlay, payload: typing.Any) -> Planned:
    """One row for each path or tag: purged again, it takes the new version, which is what counts."""
    return {f"purge/{kind}/{name}": {"purge": kind} for kind, name in payload}


def plan_evacuate(overlay: Overlay, payload: typing.Any) -> Planned:
    return {f"evacuated/{payload}": {"evacuated": True}}


def plan_return(overlay: Overlay, payload: typing.Any) -> Planned:
    return {f"evacuated/{payload}": None}


def plan_lease(overlay: Overlay, payload: typing.Any) -> Planned:
    """Take or keep a duty: only from the version that the candidate saw, so two cannot both win it."""
    wanted = LeaseRequest(*payload)
    key = f"term/{wanted.duty}"
    if str(overlay.version(key)) != wanted.expected:
        raise errors.StaleVersionError([{"duty": wanted.duty, "in_force": str(overlay.version(key))}])
    return {key: {"holder": wanted.holder}}


def plan_fenced_write(overlay: Overlay, payload: typing.Any) -> Planned:
    """Rows written by a duty's holder: they count only while its own term is the one in force."""
    fenced = FencedWrite(*payload)
    in_force = str(overlay.version(f"term/{fenced.duty}"))
    if in_force != fenced.fencing_token:
        raise errors.StaleVersionError([{"duty": fenced.duty, "in_force": in_force}])
    return {key: value for key, value in fenced.rows if overlay.value(key) != value}


def plan_claim(overlay: Overlay, payload: typing.Any) -> Planned:
    """Claim a keyed write for one attempt: whoever comes second learns what became of the first."""
    wanted = KeyClaim(*payload)
    row = f"claim/{wanted.key}"
    known = overlay.value(row)
    if known is not None and known["by"] != wanted.attempt:
        raise errors.KeyClaimedError(known)
    if known is None:
        table_time.check_capacity(overlay, "claim", CLAIMS_LIMIT)
    return {row: {"by": wanted.attempt, "print": wanted.fingerprint, "state": "claimed"}}


def plan_result(overlay: Overlay, payload: typing.Any) -> Planned:
    """Record the result of a claimed write, or give the claim back if it certainly did not run."""
    settled = KeyResult(*payload)
    row = f"claim/{settled.key}"
    known = overlay.value(row)
    if known is None or known["by"] != settled.attempt or known["state"] != "claimed":
        return {}
    if settled.result is None:
        return {row: None}
    return {row: {**known, "state": "done", "result": settled.result}}


# Plug-in point: kind of order -> the table it writes and how it is planned.
REGISTRY: dict[str, tuple[str, collections.abc.Callable[[Overlay, typing.Any], Planned]]] = {
    "change": (items.CONFIGURATION, plan_change),
    "amend": (items.CONFIGURATION, amendment.plan_amend),
    "purge": (items.LEDGER, plan_purge),
    "evacuate": (items.LEDGER, plan_evacuate),
    "return": (items.LEDGER, plan_return),
    "enrol-blueprint": (items.CONFIGURATION, voter_changes.plan_enrol),
    "enrol-ledger": (items.LEDGER, voter_changes.plan_enrol),
    "enrol-claims": (items.IDEMPOTENCY_KEYS, voter_changes.plan_enrol),
    "retire-blueprint": (items.CONFIGURATION, voter_changes.plan_retire),
    "retire-ledger": (items.LEDGER, voter_changes.plan_retire),
    "retire-claims": (items.IDEMPOTENCY_KEYS, voter_changes.plan_retire),
    "voters-blueprint": (items.CONFIGURATION, voter_changes.plan_voter_set),
    "voters-ledger": (items.LEDGER, voter_changes.plan_voter_set),
    "voters-claims": (items.IDEMPOTENCY_KEYS, voter_changes.plan_voter_set),
    "claim": (items.IDEMPOTENCY_KEYS, plan_claim),
    "settle": (items.IDEMPOTENCY_KEYS, plan_result),
    "term": (items.LEDGER, plan_lease),
    "fenced": (items.LEDGER, plan_fenced_write),
    "tick-blueprint": (items.CONFIGURATION, table_time.plan_time_advance),
    "tick-ledger": (items.LEDGER, table_time.plan_time_advance),
    "tick-claims": (items.IDEMPOTENCY_KEYS, table_time.plan_time_advance),
}


def table_of(kind: str) -> str:
    if kind not in REGISTRY:
        raise errors.UnknownNameError(f"no order {kind!r}", f"use one of {', '.join(REGISTRY)}")
    return REGISTRY[kind][0]


def plan(overlay: Overlay, order: Order) -> tuple[versions.Version, list[str]]:
    """Add the order's rows to the overlay; returns the version and the keys that its result names."""
    record = f"~change/{order.change}"
    known = overlay.value(record) if order.change else None
    if known is not None:
        check_same(order, known)
        return (overlay.version(record), known["rows"])
    if order.change:
        table_time.check_capacity(overlay, "~change", CHANGES_LIMIT)
    planned = REGISTRY[order.kind][1](overlay, order.payload)
    keys = [key for key in planned if not key.startswith(items.RESERVED_PREFIX)]
    for key, value in planned.items():
        overlay.put(key, value)
    if order.change:
        overlay.put(record, {"rows": keys, "digest": digest_of(order)})
    return (overlay.new_version, keys)


def digest_of(order: Order) -> str:
    return canonical_content.digest([order.kind, order.payload])


def check_same(order: Order, record: dict[str, typing.Any]) -> None:
    """Only the order that took an id gets its result. Records of earlier software bear no digest."""
    if record.get("digest", digest_of(order)) != digest_of(order):
        raise control_errors.ChangeIdTakenError([{"change": order.change, "rows": record["rows"]}])
