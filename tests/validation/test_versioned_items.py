"""Tests of versioned configuration items: which calls are refused, and which version is in force."""

import copy
import json

import pytest

from irisstand import control_errors, errors
from irisstand.controlplane.changes import amendment, table_overlay
from irisstand.state import items, replica, versions

ROUTE = {
    "name": "r1",
    "version": 3,
    "host": "a.example",
    "prefix": "/a/",
    "kind": "idempotent",
    "timeout": 2.5,
    "target": 0.2,
    "service": "s1",
}
UPSTREAM = {"name": "s1", "version": 3, "probe": "/health", "cold_rate": 4.9, "rate": 100.0}
CALL = {"put": {"routes": [ROUTE], "upstreams": [UPSTREAM], "limits": {"version": 3, "header_bytes": 9}}}


def amend(table, call):
    """Plan one call of an operator and apply it to a table, as a ballot does; return the planned rows."""
    overlay = table_overlay.Overlay(table, table.applied.successor("n"))
    entries = amendment.parse_amendment(json.dumps(call).encode())
    planned = amendment.plan_amend(overlay, [entry.to_wire() for entry in entries])
    for key, value in planned.items():
        overlay.put(key, value)
    table.apply(overlay.batch())
    return planned


def new_table():
    table = replica.Replica(items.CONFIGURATION)
    table.applied = versions.Version(1, "n")
    amend(table, CALL)
    return table


def call_with_changed_route(**fields):
    call = copy.deepcopy(CALL)
    call["put"]["routes"][0].update({"version": 9, **fields})
    return call


def test_all_items_are_read_back_as_they_were_sent():
    found = amendment.as_amendment(new_table())
    assert found == {"routes": [ROUTE], "upstreams": [UPSTREAM], "limits": CALL["put"]["limits"]}


@pytest.mark.parametrize(
    "fields",
    [
        {"service": "nowhere"},
        {"timeout": 0},
        {"target": 62.5},
        {"prefix": "a/"},
        {"kind": "sometimes"},
        {"service": None, "split": [{"service": "s1", "weight": 0}]},
        {"timeout": "2s"},
        {"version": "9"},
        {"version": -1},
        {"name": "r2"},
        {"split": "s1"},
        {"service": None},
        {"host": 7},
        {"timeout": None},
    ],
)
def test_an_invalid_call_changes_nothing(fields):
    table = new_table()
    before = table.root_digest()
    with pytest.raises(errors.InvalidChangeError) as raised:
        amend(table, call_with_changed_route(**fields))
    assert raised.value.faults
    assert table.root_digest() == before


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"put": 7}',
        b'{"put": {"colours": []}}',
        b"{}",
        b'{"put": {"routes": {}}}',
        b'{"drop": {"routes": [{"name": "a"}]}}',
    ],
)
def test_a_call_that_cannot_be_read_completely_is_refused(body):
    with pytest.raises((errors.BadRequestError, errors.InvalidChangeError)):
        amendment.parse_amendment(body)


def in_force(table):
    row = table.value("route/r1")
    return row["version"], row["item"]


def test_the_highest_version_is_in_force_and_a_lower_or_equal_one_changes_nothing():
    table = new_table()
    seven = call_with_changed_route(version=7, timeout=4)
    assert amend(table, seven)
    before = in_force(table)
    # A lower version is only remembered as used. An equal one is confirmed again if its content is the same,
    # and refused otherwise.
    amend(table, call_with_changed_route(version=5, timeout=1))
    assert in_force(table) == before
    assert amend(table, seven) == {}
    root = table.root_digest()
    with pytest.raises(control_errors.VersionTakenError):
        amend(table, call_with_changed_route(version=7, timeout=1))
    assert table.root_digest() == root
    assert in_force(table) == before
    assert amendment.as_amendment(table)["routes"][0]["timeout"] == 4


def test_a_dropped_item_keeps_its_version_against_lower_ones():
    table = new_table()
    assert amend(table, {"drop": {"routes": [{"name": "r1", "version": 8}]}})
    amend(table, call_with_changed_route(version=7))
    assert in_force(table) == (8, None)
    assert amendment.as_amendment(table)["routes"] == []
    assert amend(table, call_with_changed_route(version=9))
    assert len(amendment.as_amendment(table)["routes"]) == 1


def test_a_service_that_a_route_still_names_cannot_be_dropped():
    with pytest.raises(errors.InvalidChangeError):
        amend(new_table(), {"drop": {"upstreams": [{"name": "s1", "version": 9}]}})


def test_two_contents_under_one_version_in_one_call_are_refused_and_equal_contents_are_not():
    call = call_with_changed_route()
    call["put"]["routes"].append(copy.deepcopy(call["put"]["routes"][0]))
    assert amend(new_table(), call)
    call["put"]["routes"][1]["timeout"] = 1
    with pytest.raises(errors.InvalidChangeError):
        amend(new_table(), call)


@pytest.mark.parametrize("probe", ["/health\n", "/health\r\nX-Note: a", "/a b", "/h\x00", "/h#a", "/\u00e9"])
def test_a_probe_path_that_is_no_path_on_a_wire_is_refused(probe):
    """Nodes send this path to origins unchanged: a line break would smuggle in a request nobody asked for."""
    call = copy.deepcopy(CALL)
    call["put"]["upstreams"][0].update({"version": 9, "probe": probe})
    with pytest.raises(errors.InvalidChangeError):
        amend(new_table(), call)
