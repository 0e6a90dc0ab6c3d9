"""Reads and checks configuration items whose versions operators choose: routes, upstream services and limits.

Operators send items in calls of the form {"put": {list name: items}, "drop": {list name: items}}. The
configuration stores an item under the key `kind/NAME` as {"version": number, "item": content}, where the
content of a dropped item is None. The highest version of an item is in force; an entry of a lower version
does not change it.
"""

import collections.abc
import typing

from irisstand.http1 import locations
from irisstand.state import versioned_items
from irisstand.validation import canonical_content, item_schema

# A latency target that exceeds the route's timeout by this much or more is refused as a mistake.
TARGET_MARGIN_SECONDS = 60

# The name of the list in a call's body by kind of item. The limits are a single unnamed item.
LIST_NAME_BY_KIND = {"route": "routes", "upstream": "upstreams"}
LIMITS_NAME = "limits"


class ItemEntry(typing.NamedTuple):
    """An item that a call puts or drops.

    Attributes:
        key: The key under which the configuration stores the item.
        version: The version that the sender of the call chose for the item.
        item: The content of the item, None to drop it.
    """

    key: str
    version: int
    item: typing.Any

    @classmethod
    def from_item(cls, key: str, item: dict[str, typing.Any]) -> "ItemEntry":
        """Return the entry that puts an item, with the version as an int even if it was sent as 3.0.

        >>> ItemEntry.from_item("route/a", {"name": "a", "version": 3.0})
        ItemEntry(key='route/a', version=3, item={'name': 'a', 'version': 3})
        """
        version = int(item["version"])
        return cls(key, version, {**item, "version": version})

    @classmethod
    def from_wire(cls, parts: typing.Any) -> "ItemEntry":
        """Return the entry that an order carries as `(key, {"version": number, "item": content})`."""
        key, value = parts
        return cls(key, value["version"], value["item"])

    def to_wire(self) -> tuple[str, dict[str, typing.Any]]:
        """Return the entry in the form in which an order's payload contains it."""
        return (self.key, {"version": self.version, "item": self.item})


class ParsedCall(typing.NamedTuple):
    """The result of reading a call.

    Attributes:
        entries: The items that the call puts or drops; the list is complete only if there is no fault.
        faults: What is wrong with the call.
    """

    entries: list[ItemEntry]
    faults: list[item_schema.ItemFault]


def read(body: dict[str, typing.Any]) -> ParsedCall:
    """Read the entries and faults in the decoded JSON body of a call.

    >>> read({"put": {"routes": []}, "drop": {"routes": [{"name": "a", "version": 3}]}}).entries
    [ItemEntry(key='route/a', version=3, item=None)]
    >>> read({"put": 7}).faults
    [ItemFault(item='put', field='', message='the section is not an object; send lists of items by kind')]
    """
    sections: dict[str, dict[str, typing.Any]] = {}
    faults: list[item_schema.ItemFault] = []
    for section in ("put", "drop"):
        content = body.get(section) or {}
        if not isinstance(content, dict):
            faults.append(
                item_schema.ItemFault(
                    section, "", "the section is not an object; send lists of items by kind"
                )
            )
            return ParsedCall([], faults)
        faults += unknown_lists(section, content)
        sections[section] = content
    entries: list[ItemEntry] = []
    for kind, name in LIST_NAME_BY_KIND.items():
        read_puts(kind, sections["put"].get(name), entries, faults)
        read_drops(kind, sections["drop"].get(name), entries, faults)
    limits = sections["put"].get(LIMITS_NAME)
    if limits is not None:
        faults += item_schema.schema_faults(LIMITS_NAME, limits)
        if not faults:
            entries.append(ItemEntry.from_item(versioned_items.LIMITS_KEY, limits))
    unique = without_repeats(entries)
    return ParsedCall(unique.entries, faults + unique.faults)


def unknown_lists(section: str, content: dict[str, typing.Any]) -> list[item_schema.ItemFault]:
    """Return a fault for each field of a section ("put" or "drop") that does not name a list of items."""
    known = (*LIST_NAME_BY_KIND.values(), LIMITS_NAME)
    message = f"unknown list of items; use {', '.join(LIST_NAME_BY_KIND.values())} or {LIMITS_NAME}"
    return [item_schema.ItemFault(section, name, message) for name in content if name not in known]


def read_puts(
    kind: str, content: typing.Any, entries: list[ItemEntry], faults: list[item_schema.ItemFault]
) -> None:
    """Append the entries of a list of items to put to `entries`, and what is wrong with them to `faults`."""
    for item in items_of(kind, content, faults):
        faults += item_schema.schema_faults(kind, item)
        if not faults:
            entries.append(ItemEntry.from_item(f"{kind}/{item['name']}", item))


def read_drops(
    kind: str, content: typing.Any, entries: list[ItemEntry], faults: list[item_schema.ItemFault]
) -> None:
    """Append the entries of a list of items to drop to `entries`, and what is wrong with them to `faults`."""
    for item in items_of(kind, content, faults):
        if item_schema.drop_validator().is_valid(item):
            entries.append(ItemEntry(f"{kind}/{item['name']}", int(item["version"]), None))
        else:
            message = "an item to drop needs its name and an integer version"
            faults.append(item_schema.ItemFault(LIST_NAME_BY_KIND[kind], "", message))


def items_of(kind: str, content: typing.Any, faults: list[item_schema.ItemFault]) -> list[typing.Any]:
    """Return the items of a list; if the content is not a list, append a fault and return no items."""
    if content is None:
        return []
    if not isinstance(content, list):
        faults.append(
            item_schema.ItemFault(
                LIST_NAME_BY_KIND[kind], "", "the items are not in a list; send a list of items"
            )
        )
        return []
    return content


def without_repeats(entries: list[ItemEntry]) -> ParsedCall:
    """Return each version of an item once; different contents under one version are a fault.

    >>> without_repeats([ItemEntry("route/a", 3, None), ItemEntry("route/a", 3, None)])
    ParsedCall(entries=[ItemEntry(key='route/a', version=3, item=None)], faults=[])
    """
    found: dict[tuple[str, int], ItemEntry] = {}
    faults: list[item_schema.ItemFault] = []
    for entry in entries:
        first = found.setdefault((entry.key, entry.version), entry)
        if first is not entry and not canonical_content.is_same(first.item, entry.item):
            message = "the call has two different contents of the item under one version; keep one"
            faults.append(item_schema.ItemFault(entry.key, "version", message))
    return ParsedCall(list(found.values()), faults)


def faults_of_table(contents: collections.abc.Mapping[str, typing.Any]) -> list[item_schema.ItemFault]:
    """Return what is wrong with a configuration as a whole.

    Args:
        contents: The contents of all routes and services by key, None for those that were dropped.
    """
    faults: list[item_schema.ItemFault] = []
    key_by_location: dict[tuple[str, str], str] = {}
    services = {key for key, item in contents.items() if item is not None}
    for key, route in contents.items():
        if route is None or not key.startswith("route/"):
            continue
        faults += faults_of_route(key, route, services)
        location = (locations.normal_host(route["host"]), locations.normal_path(route["prefix"]))
        if location in key_by_location:
            message = f"{key_by_location[location]} has the same host and prefix; drop or change either"
            faults.append(item_schema.ItemFault(key, "prefix", message))
        key_by_location[location] = key
    return faults


def faults_of_late_entries(
    late: list[ItemEntry], known_keys: collections.abc.Container[str]
) -> list[item_schema.ItemFault]:
    """Return the faults that make entries invalid even for the time at which they were sent.

    A late route may name a service that was dropped since, which may have existed when the route was sent. A
    service that never had an item cannot have existed.

    Args:
        late: Entries whose versions are older than those in force.
        known_keys: The keys of all items that exist or were dropped.
    """
    faults: list[item_schema.ItemFault] = []
    for entry in late:
        if entry.item is not None and entry.key.startswith("route/"):
            faults += faults_of_route(entry.key, entry.item, known_keys)
    return faults


def faults_of_route(
    key: str, route: dict[str, typing.Any], services: collections.abc.Container[str]
) -> list[item_schema.ItemFault]:
    """Return what is wrong with a route.

    Args:
        key: The key of the route.
        route: The content of the route.
        services: A container of the keys of the services that the route may name.
    """
    faults: list[item_schema.ItemFault] = []
    splits = versioned_items.weighted_services(route)
    for service, _ in splits:
        if f"upstream/{service}" not in services:
            message = f"the route's service {service!r} does not exist; send it too, or name another"
            faults.append(item_schema.ItemFault(key, "service", message))
    if not any(weight > 0 for _, weight in splits):
        faults.append(
            item_schema.ItemFault(key, "split", "the weights of the services add up to 0; raise one")
        )
    if (route.get("target") or 0) >= route["timeout"] + TARGET_MARGIN_SECONDS:
        faults.append(
            item_schema.ItemFault(key, "target", "the latency target is far over the timeout; lower it")
        )
    return faults
