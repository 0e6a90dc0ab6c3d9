"""Items whose versions the operator gives: routes, upstream services and limits, and the rules on them.

An item is `kind/NAME` in the configuration, with {"version": number, "item": value, or None once dropped}.
For each
name the highest version stands, and a lower one changes nothing. Times are seconds, rates are per second.
"""

import functools
import typing

from irisstand.state import versioned_items
from irisstand.validation import canonical_content, lazy_jsonschema

SECONDS = {"type": "number", "minimum": 0, "maximum": 86400}
RATE = {"type": ["number", "null"], "exclusiveMinimum": 0}
NAME = {"type": "string", "minLength": 1, "maxLength": 200}
VERSION = {"type": "integer", "minimum": 0, "maximum": 2**53}
# A target this far past the route's timeout is a slip of the pen, not a wish.
TARGET_OVER = 60

# Fields that are not named here are kept and read back, but decide nothing.
SCHEMAS: dict[str, dict] = {
    "route": {
        "type": "object",
        "required": ["name", "version", "host", "prefix", "kind", "timeout"],
        "properties": {
            "name": NAME,
            "version": VERSION,
            "host": {"type": "string", "minLength": 1, "maxLength": 255},
            "prefix": {"type": "string", "pattern": "^/", "maxLength": 1024},
            "kind": {"enum": ["cacheable", "idempotent", "non_idempotent"]},
            "timeout": {**SECONDS, "exclusiveMinimum": 0},
            "target": {"type": ["number", "null"], "minimum": 0},
            "priority": {"type": ["integer", "null"], "minimum": 0},
            "attempts": {"type": ["integer", "null"], "minimum": 1, "maximum": 100},
            "cache_life": {"type": ["number", "null"], "minimum": 0},
            "regions": {"type": ["array", "null"], "items": {"type": "string"}},
            "service": {"type": ["string", "null"]},
            "split": {
                "type": ["array", "null"],
                "items": {
                    "type": "object",
                    "required": ["service", "weight"],
                    "properties": {"service": NAME, "weight": {"type": "number", "minimum": 0}},
                },
            },
        },
    },
    "upstream": {
        "type": "object",
        "required": ["name", "version"],
        "properties": {
            "name": NAME,
            "version": VERSION,
            "probe": {"type": ["string", "null"], "pattern": "^/"},
            "connections": {"type": ["integer", "null"], "minimum": 1},
            "warmup": {"type": ["number", "null"], "minimum": 0},
            "cold_rate": RATE,
            "rate": RATE,
        },
    },
    "limits": {
        "type": "object",
        "required": ["version"],
        "properties": {
            "version": VERSION,
            "header_bytes": {"type": "integer", "minimum": 1},
            "body_bytes": {"type": "integer", "minimum": 0},
            "header": SECONDS,
            "idle": SECONDS,
        },
    },
}
DROP = {"type": "object", "required": ["name", "version"], "properties": {"name": NAME, "version": VERSION}}
# The list in a call's body for each kind; limits are one item without a name.
LISTS = {"route": "routes", "upstream": "upstreams"}
Entry = tuple[str, dict[str, typing.Any]]


@functools.cache
def validator(kind: str) -> typing.Any:
    return lazy_jsonschema.compiled(SCHEMAS[kind])


@functools.cache
def drop_validator() -> typing.Any:
    return lazy_jsonschema.compiled(DROP)


def read(body: typing.Any) -> tuple[list[Entry], list[dict[str, str]]]:
    """The entries of a call, as (key, stored value), and its faults, each naming item, field and remedy.

    >>> read({"put": {"routes": []}, "drop": {"routes": [{"name": "a", "version": 3}]}})
    ([('route/a', {'version': 3, 'item': None})], [])
    >>> read({"put": 7})[1]
    [{'item': 'put', 'field': '', 'message': 'not an object; send lists of items by kind'}]
    """
    entries: list[Entry] = []
    faults: list[dict[str, str]] = []

    def fault(item: str, field: str, message: str) -> None:
        faults.append({"item": item, "field": field, "message": message})

    parts = {}
    for part in ("put", "drop"):
        parts[part] = body.get(part) or {}
        if not isinstance(parts[part], dict):
            fault(part, "", "not an object; send lists of items by kind")
            return [], faults
        for name in parts[part]:
            if name not in (*LISTS.values(), "limits"):
                fault(part, name, f"no such list; use {', '.join(LISTS.values())} or limits")
    for kind, name in LISTS.items():
        for item in as_list(parts["put"].get(name), name, fault):
            check(kind, item, fault)
            if not faults:
                entries.append((f"{kind}/{item['name']}", stored(item)))
        for item in as_list(parts["drop"].get(name), name, fault):
            if not drop_validator().is_valid(item):
                fault(name, "", "to drop an item, give its name and a whole number as version")
            else:
                entries.append((f"{kind}/{item['name']}", {"version": int(item["version"]), "item": None}))
    limits = parts["put"].get("limits")
    if limits is not None:
        check("limits", limits, fault)
        if not faults:
            entries.append((versioned_items.LIMITS_KEY, stored(limits)))
    return unique(entries, fault), faults


def stored(item: dict) -> dict[str, typing.Any]:
    """An item as its row holds it; its version is a whole number however it was spelt.

    >>> stored({"name": "a", "version": 3.0})
    {'version': 3, 'item': {'name': 'a', 'version': 3}}
    """
    version = int(item["version"])
    return {"version": version, "item": {**item, "version": version}}


def unique(entries: list[Entry], fault: typing.Callable[[str, str, str], None]) -> list[Entry]:
    """Each version of an item once; two contents under one version are a fault.

    >>> unique([("route/a", {"version": 3, "item": None}), ("route/a", {"version": 3, "item": None})], print)
    [('route/a', {'version': 3, 'item': None})]
    """
    found: dict[tuple[str, int], Entry] = {}
    for key, value in entries:
        place = (key, value["version"])
        if place not in found:
            found[place] = (key, value)
        elif not canonical_content.is_same(found[place][1], value):
            fault(key, "version", "two contents under one version in one call; keep one")
    return list(found.values())


def as_list(value: typing.Any, name: str, fault: typing.Callable[[str, str, str], None]) -> list:
    if value is None:
        return []
    if not isinstance(value, list):
        fault(name, "", "not a list; send a list of items")
        return []
    return value


def check(kind: str, item: typing.Any, fault: typing.Callable[[str, str, str], None]) -> None:
    name = str(item.get("name", kind)) if isinstance(item, dict) else kind
    for error in validator(kind).iter_errors(item):
        fault(name, ".".join(str(part) for part in error.absolute_path), error.message[:300])


def faults_of(standing: dict[str, dict]) -> list[dict[str, str]]:
    """What is wrong with the whole table as it would stand: `standing` is stored values by key."""
    found: list[dict[str, str]] = []
    places: dict[tuple[str, str], str] = {}
    services = {key for key, value in standing.items() if value["item"] is not None}
    for key, value in standing.items():
        route = value["item"]
        if route is None or not key.startswith("route/"):
            continue
        found += faults_of_route(key, route, services)
        place = (route["host"], route["prefix"])
        if place in places:
            message = f"{places[place]} has the same host and prefix; drop or change one"
            found.append({"item": key, "field": "prefix", "message": message})
        places[place] = key
    return found


def faults_of_late(late: list[Entry], standing: dict[str, dict]) -> list[dict[str, str]]:
    """What could never have been valid of items that are older than what stands.

    A service that was dropped since may have stood when the item was sent; one that never had an item cannot.
    """
    found: list[dict[str, str]] = []
    for key, value in late:
        if value["item"] is not None and key.startswith("route/"):
            found += faults_of_route(key, value["item"], set(standing))
    return found


def faults_of_route(key: str, route: dict, services: set[str]) -> list[dict[str, str]]:
    """What is wrong with a route beside the keys of the services that it may name."""
    found: list[dict[str, str]] = []
    parts = versioned_items.weighted_services(route)
    for service, _ in parts:
        if f"upstream/{service}" not in services:
            message = f"service {service!r} has no item; send it too, or name another"
            found.append({"item": key, "field": "service", "message": message})
    if not any(weight > 0 for _, weight in parts):
        found.append({"item": key, "field": "split", "message": "the weights add up to 0; raise one"})
    if (route.get("target") or 0) >= route["timeout"] + TARGET_OVER:
        found.append({"item": key, "field": "target", "message": "far over the timeout; lower it"})
    return found
