"""A version of an item has one content: repeats are always confirmed, different content never."""

import json

import pytest

from irisstand import errors
from irisstand.controlplane.changes import amendment, order_planning, orders, table_overlay
from irisstand.state import items, replica, versions

ROUTE = {
    "name": "r1",
    "version": 3,
    "host": "a.example",
    "prefix": "/a/",
    "kind": "idempotent",
    "timeout": 2.5,
    "service": "s1",
}
UPSTREAM = {"name": "s1", "version": 3, "rate": 100.0}


def put(*routes, upstreams=(), drop=None):
    return {"put": {"routes": list(routes), "upstreams": list(upstreams)}, "drop": drop or {}}


def route(version, **fields):
    return {**ROUTE, "version": version, **fields}


FIRST = put(ROUTE, upstreams=[UPSTREAM])


def amend(table, request):
    """Apply one amendment to a table, as a decided batch would, and return the keys of the rows it wrote."""
    overlay = table_overlay.Overlay(table, table.applied.successor("n"))
    entries = amendment.parse_amendment(json.dumps(request).encode())
    payload = [entry.to_wire() for entry in entries]
    order_planning.plan(overlay, orders.Order("amend", "", payload))
    written = list(overlay.rows)
    table.apply(overlay.batch())
    return written


def new_table():
    table = replica.Replica(items.CONFIGURATION)
    table.applied = versions.Version(1, "n")
    amend(table, FIRST)
    return table


def assert_version_taken(table, request):
    before = table.root_digest()
    with pytest.raises(errors.IrisError) as raised:
        amend(table, request)
    assert raised.value.status == 409
    assert raised.value.code == "version-taken"
    assert raised.value.remedy
    assert raised.value.to_json()["conflicts"]
    assert table.root_digest() == before


def test_other_content_under_the_version_in_force_is_refused_whole():
    table = new_table()
    assert_version_taken(table, put(route(3, timeout=1), route(7, name="r2", prefix="/b/")))
    assert [found["name"] for found in amendment.as_amendment(table)["routes"]] == ["r1"]


def test_a_drop_and_a_put_under_one_version_are_two_contents():
    table = new_table()
    assert_version_taken(table, {"drop": {"routes": [{"name": "r1", "version": 3}]}})
    amend(table, {"drop": {"routes": [{"name": "r1", "version": 5}]}})
    assert_version_taken(table, put(route(5)))


@pytest.mark.parametrize(
    "repeat",
    [
        dict(reversed(ROUTE.items())),
        {**ROUTE, "target": None, "split": None},
        {**ROUTE, "version": 3.0, "timeout": 2.50},
    ],
)
def test_content_that_differs_in_field_order_null_fields_or_number_spelling_is_confirmed_as_a_repeat(repeat):
    table = new_table()
    assert amend(table, put(repeat)) == []
    amend(table, put(route(8, timeout=4)))
    assert amend(table, put({**repeat}, upstreams=[{**UPSTREAM, "rate": 100}])) == []
    assert amend(table, put(route(8.0, timeout=4.0))) == []


def test_a_repeat_is_confirmed_after_it_was_overtaken_and_dropped_and_other_content_is_not():
    table = new_table()
    second = put(route(5, timeout=1))
    amend(table, second)
    amend(table, put(route(9, timeout=2)))
    amend(table, {"drop": {"routes": [{"name": "r1", "version": 12}]}})
    for request in (FIRST, second, put(route(9, timeout=2))):
        assert amend(table, request) == []
    assert_version_taken(table, put(route(5, timeout=7)))
    assert_version_taken(table, put(route(3, timeout=7)))
    assert_version_taken(table, put(route(9, timeout=1)))


def test_a_repeat_is_confirmed_though_its_service_was_dropped_and_its_prefix_taken():
    table = new_table()
    request = put(route(5), route(5, name="r2", prefix="/b/"))
    amend(table, request)
    dropped = [{"name": "r1", "version": 9}, {"name": "r2", "version": 9}]
    amend(table, {"drop": {"routes": dropped, "upstreams": [{"name": "s1", "version": 9}]}})
    replacement = route(9, name="r3", service="s2")
    amend(table, put(replacement, upstreams=[{"name": "s2", "version": 9}]))
    assert amend(table, request) == []
    assert amend(table, FIRST) == []


def test_a_repeat_with_one_overtaken_item_is_confirmed_and_writes_nothing():
    table = new_table()
    request = put(route(5, timeout=1), route(5, name="r2", prefix="/b/"))
    amend(table, request)
    amend(table, put(route(6, timeout=2)))
    assert amend(table, request) == []
    assert [found["version"] for found in amendment.as_amendment(table)["routes"]] == [6, 5]


def test_a_late_lower_version_is_confirmed_and_its_number_is_taken_from_then_on():
    table = new_table()
    amend(table, put(route(9, timeout=4)))
    late = put(route(6, timeout=1))
    amend(table, late)
    assert amendment.as_amendment(table)["routes"][0]["timeout"] == 4
    assert amend(table, late) == []
    assert_version_taken(table, put(route(6, timeout=2)))


def test_an_item_that_was_never_valid_is_refused_also_when_it_comes_late():
    table = new_table()
    amend(table, put(route(9)))
    before = table.root_digest()
    for fields in ({"target": 99}, {"service": "nowhere"}, {"split": [{"service": "s1", "weight": 0}]}):
        with pytest.raises(errors.InvalidChangeError):
            amend(table, put(route(6, **fields)))
    assert table.root_digest() == before


def test_both_versions_of_an_item_in_one_call_are_confirmed():
    table = new_table()
    amend(table, put(route(9, timeout=4), route(6, timeout=1)))
    assert amendment.as_amendment(table)["routes"][0]["timeout"] == 4
    assert amend(table, put(route(6, timeout=1))) == []
    assert_version_taken(table, put(route(6, timeout=2)))


def test_seen_versions_are_limited_and_a_lower_version_than_all_of_them_is_confirmed():
    table = new_table()
    for version in range(4, 400):
        amend(table, put(route(version, timeout=version)))
    assert len(json.dumps(table.value("route/r1"))) < 3000
    assert amend(table, FIRST) == []
    assert amend(table, put(route(390, timeout=390))) == []
    assert_version_taken(table, put(route(390, timeout=1)))


def test_a_stored_row_without_seen_versions_confirms_its_repeat_and_refuses_other_content():
    table = new_table()
    table.put(items.Item("route/r1", table.applied, {"version": 3, "item": ROUTE}))
    assert amend(table, FIRST) == []
    assert_version_taken(table, put(route(3, timeout=1)))
    amend(table, put(route(4)))
    assert amend(table, FIRST) == []


BAD_NUMBERS = [3.5, "3", None, True, -1, 2**53 + 1, 1e300, 10**30]


@pytest.mark.parametrize("version", BAD_NUMBERS)
@pytest.mark.parametrize("part", ["put", "drop"])
def test_a_version_that_is_no_whole_number_within_bounds_is_refused_as_an_invalid_change(part, version):
    table = new_table()
    before = table.root_digest()
    item = route(version) if part == "put" else {"name": "r1", "version": version}
    with pytest.raises((errors.InvalidChangeError, errors.BadRequestError)):
        amend(table, {part: {"routes": [item]}})
    assert table.root_digest() == before


@pytest.mark.parametrize(
    "body",
    [
        b'{"put": {"limits": {"version": 3, "idle": NaN}}}',
        b'{"put": {"upstreams": [{"name": "a", "version": 3, "rate": Infinity}]}}',
        b'{"put": {"upstreams": [{"name": "a", "version": 3, "rate": 1e999}]}}',
        b'{"put": {"upstreams": [{"name": "a", "version": 3, "more": 1' + b"0" * 40 + b"}]}}",
        b'{"put": {"upstreams": [{"name": "\\ud800", "version": 3}]}}',
        b'{"put": {"upstreams": [{"name": "a", "version": 3, "\\ud800": 1}]}}',
        b'{"put": {"upstreams": [{"name": "a", "version": 3, "more": ' + b"[" * 300 + b"]" * 300 + b"}]}}",
        b'{"put": {"upstreams": [{"name": "a", "version": 3, "rate": 1, "rate": 2}]}}',
        b'{"drop": {"routes": [{"name": "' + b"x" * 5000 + b'", "version": 3}]}}',
    ],
)
def test_a_body_that_cannot_be_packed_is_refused_before_it_becomes_an_order(body):
    with pytest.raises((errors.BadRequestError, errors.InvalidChangeError)):
        amendment.parse_amendment(body)


def change(table, kind, change_id, payload):
    overlay = table_overlay.Overlay(table, table.applied.successor("n"))
    result = order_planning.plan(overlay, orders.Order(kind, change_id, payload))
    table.apply(overlay.batch())
    return result


def test_a_change_id_with_other_content_is_refused_and_with_the_same_content_gets_the_first_result():
    table = new_table()
    row = {"kind": "site", "name": "north", "value": {"weight": 5}}
    first = change(table, "change", "mine", [row])
    change(table, "change", "other", [{**row, "value": {"weight": 6}}])
    same = {"value": {"weight": 5.0}, "expected": None, "name": "north", "kind": "site"}
    assert change(table, "change", "mine", [same]) == first
    before = table.root_digest()
    with pytest.raises(errors.IrisError) as raised:
        change(table, "change", "mine", [{**row, "value": {"weight": 7}}])
    assert raised.value.status == 409
    assert raised.value.code == "change-id-taken"
    assert table.root_digest() == before


def test_a_change_record_without_a_digest_still_answers_its_id():
    table = new_table()
    table.put(items.Item("~change/old", table.applied, {"rows": ["site/north"]}))
    row = {"kind": "site", "name": "north", "value": {"weight": 5}}
    assert change(table, "change", "old", [row]) == (table.version("~change/old"), ["site/north"])


def test_removal_of_old_tombstones_keeps_the_rows_of_dropped_items():
    table = new_table()
    amend(table, {"drop": {"routes": [{"name": "r1", "version": 9}]}})
    table.put(items.Item("site/gone", table.applied, None))
    for _ in range(40):
        overlay = table_overlay.Overlay(table, table.applied.successor("n"))
        payload = (str(table.version(items.TABLE_TIME_KEY)), 60.0, [["~change", 1.0, 1.0, 1]], 1.0)
        order_planning.plan(overlay, orders.Order("tick-blueprint", "", payload))
        table.apply(overlay.batch())
    assert "site/gone" not in table.items
    assert amend(table, FIRST) == []
    assert_version_taken(table, put(route(9)))
