"""Retention of the tables: their size stays level over hours, and no row is removed that is still needed."""

import asyncio
import json
import random

import cluster
import pytest

from irisstand import errors
from irisstand.controlplane.changes import (
    idempotency_claims,
    order_planning,
    orders,
    table_overlay,
    table_time,
)
from irisstand.controlplane.singletons import retention
from irisstand.state import items, replica, versions

PURGE = table_time.RetentionRule("purge", 75.0, 0.0, 5000)


class Table:
    """One table whose orders are planned and applied one by one, without other nodes."""

    def __init__(self, name):
        self.replica = replica.Replica(name)
        self.seen = versions.NONE

    def order(self, kind, payload, change=""):
        overlay = table_overlay.Overlay(self.replica, self.replica.applied.successor("n"))
        result = order_planning.plan(overlay, orders.Order(kind, change, payload))
        if overlay.rows:
            self.replica.apply(overlay.batch())
        return result

    def advance_time(self, elapsed, *rules):
        expected = str(self.replica.version(items.TABLE_TIME_KEY))
        self.order(f"tick-{self.replica.name}", (expected, elapsed, [list(rule) for rule in rules], 600.0))


def test_the_ledger_does_not_grow_over_hours_of_purges_changes_and_removed_rows():
    ledger = Table(items.LEDGER)
    sizes, number = [], 0
    for step in range(4 * 240):
        for _ in range(8):
            number += 1
            ledger.order("purge", [("path", f"/vacancies/{number}")], f"purge-{number}")
        ledger.order("evacuate", f"site-{step}")
        ledger.order("return", f"site-{step}")
        ledger.advance_time(15, PURGE, retention.CHANGE_RECORD_RULE._replace(surplus_threshold=500))
        sizes.append(len(ledger.replica.items))
    # In the last of four hours there are no more rows than in the first, and few more than must be kept.
    assert max(sizes[-240:]) <= max(sizes[:240]) < 1100, (max(sizes[:240]), max(sizes[-240:]))
    assert number == 7680
    assert len(json.dumps(ledger.replica.value(items.TABLE_TIME_KEY))) < 4000


@pytest.mark.parametrize("seed", range(4))
def test_no_object_that_an_expired_purge_covered_is_ever_taken_for_valid(seed):
    """Compares with an oracle that keeps all purges, for objects that were fetched before or after them."""
    randomness = random.Random(seed)
    ledger = Table(items.LEDGER)
    newest, fetched, refused = {}, [], 0
    for _ in range(1500):
        draw = randomness.random()
        if draw < 0.3:
            path = f"/p{randomness.randrange(40)}"
            ledger.order("purge", [("path", path)])
            newest[path] = ledger.replica.applied
        elif draw < 0.5:
            ledger.advance_time(
                randomness.uniform(1, 30), PURGE._replace(keep_seconds=randomness.choice((5, 75)))
            )
        else:
            fetched.append((f"/p{randomness.randrange(40)}", ledger.replica.applied))
        path, applied = randomness.choice(fetched or [("/p0", ledger.replica.applied)])
        forgotten = versions.Version.from_wire(
            ledger.replica.value(items.FORGOTTEN_PURGES_KEY) or versions.NONE
        )
        purged = max(forgotten, ledger.replica.version(f"purge/path/{path}"))
        if newest.get(path, versions.NONE) > applied:
            refused += 1
            assert applied < purged
    assert refused > 100
    assert ledger.replica.value(items.FORGOTTEN_PURGES_KEY)


def test_a_node_that_was_cut_off_until_a_purge_expired_serves_no_purged_object():
    async def scenario(day):
        path = "/vacancies/5"
        value = {"grants": [{"service": "content", "methods": ["GET"]}], "life": 3600}
        await day.actors.order(
            "agency-1", "change", [{"kind": "path", "name": "/vacancies/", "value": value}]
        )
        await asyncio.sleep(1)
        assert (await day.actors.send_request("edge-1", "GET", path))[0] == 200
        edge = cluster.context(day, "edge-1")
        day.cluster.partition_off(["edge-1"])
        day.actors.records.versions[path] += 1
        await day.actors.order("agency-2", "purge", [("path", path)])
        rule = [list(table_time.RetentionRule("purge", 1.0, 0.0, 0))]
        for _ in range(3):
            await asyncio.sleep(2)
            expected = str(cluster.context(day, "agency-2").ledger.version(items.TABLE_TIME_KEY))
            await day.actors.order("agency-2", "tick-ledger", (expected, 2.0, rule, 600.0))
        assert cluster.context(day, "agency-2").ledger.value(f"purge/path/{path}") is None
        day.cluster.network.heal()
        await day.cluster.wait_until(lambda: edge.is_current(edge.ledger), 20)
        # This edge never received the purge, and all tables have removed it; the edge's cached object must
        # still be treated as purged.
        assert edge.ledger.value(f"purge/path/{path}") is None
        status, _, result = await day.actors.send_request("edge-1", "GET", path)
        assert status == 200
        assert json.loads(result.body)["version"] == 1

    cluster.run_scenario(scenario)


def test_a_control_node_that_was_down_until_tombstones_expired_brings_no_row_back():
    async def scenario(day):
        rows = [cluster.site_row("north", 3), cluster.site_row("south", 1)]
        await day.actors.order("agency-1", "change", rows)
        await asyncio.sleep(1)
        node = day.cluster.nodes["agency-4"]
        node.kill()
        await day.actors.order("agency-1", "change", [{**cluster.site_row("north"), "value": None}])
        for _ in range(3):
            await asyncio.sleep(1)
            expected = str(cluster.context(day, "agency-2").configuration.version(items.TABLE_TIME_KEY))
            await day.actors.order("agency-2", "tick-blueprint", (expected, 2.0, [], 1.0))
        assert "site/north" not in cluster.context(day, "agency-2").configuration.items
        await node.start()
        await day.cluster.wait_until_ready()
        await asyncio.sleep(2)
        for name in ("agency-4", "agency-1", "edge-1"):
            assert "site/north" not in cluster.context(day, name).configuration.items
        roots = {cluster.context(day, f"agency-{n}").configuration.root_digest() for n in range(1, 6)}
        assert len(roots) == 1

    cluster.run_scenario(scenario)


def test_table_time_counts_no_interval_twice_and_no_long_suspension():
    ledger = Table(items.LEDGER)
    first = str(ledger.replica.version(items.TABLE_TIME_KEY))
    ledger.advance_time(15, PURGE)
    with pytest.raises(errors.StaleVersionError):
        ledger.order("tick-ledger", (first, 15.0, [], 600.0))
    ledger.advance_time(4000, PURGE)
    assert ledger.replica.value(items.TABLE_TIME_KEY)["seconds"] == 15 + table_time.STEP_LIMIT_SECONDS


def test_idempotency_keys_are_kept_for_their_time_and_a_full_table_refuses_new_ones_with_retry_after(
    monkeypatch,
):
    monkeypatch.setattr(idempotency_claims, "CLAIMS_LIMIT", 100)
    claims = Table(items.IDEMPOTENCY_KEYS)
    rule = table_time.RetentionRule("claim", 600.0, 600.0, 100)
    claims.advance_time(15, rule)
    for number in range(100):
        claims.order("claim", (f"k{number}", "a", "print"))
        if number % 10 == 9:
            claims.advance_time(15, rule)
    with pytest.raises(errors.TableFullError) as caught:
        claims.order("claim", ("another", "a", "print"))
    # The oldest key was claimed about 150 seconds ago and is kept for 600.
    assert 430 <= caught.value.retry_after <= 470
    # A stored key is still recognized when another attempt claims it.
    with pytest.raises(errors.KeyClaimedError):
        claims.order("claim", ("k0", "b", "print"))
    for _ in range(29):
        claims.advance_time(15, rule)
    assert claims.replica.counts_by_prefix["claim"] == 100
    for _ in range(8):
        claims.advance_time(15, rule)
    claims.order("claim", ("another", "a", "print"))
    assert "claim/k0" not in claims.replica.items
    assert "claim/k99" in claims.replica.items


def test_an_idempotency_key_survives_total_loss_and_changes_of_lease_holder():
    async def scenario(day):
        body = json.dumps({"number": "once"}).encode()
        ask = ("POST", "/applications", body)
        assert (await day.actors.send_request("edge-1", *ask, idempotency_key="once"))[0] == 200
        await asyncio.sleep(40)
        before = (
            cluster.context(day, "agency-1")
            .replicas[items.IDEMPOTENCY_KEYS]
            .value(items.TABLE_TIME_KEY)["seconds"]
        )
        assert 15 <= before <= 50
        for node in day.cluster.nodes.values():
            node.kill(reset=False)
        await asyncio.sleep(5000)
        for node in day.cluster.nodes.values():
            await node.start()
        await day.cluster.wait_until_ready()
        await asyncio.sleep(40)
        after = (
            cluster.context(day, "agency-1")
            .replicas[items.IDEMPOTENCY_KEYS]
            .value(items.TABLE_TIME_KEY)["seconds"]
        )
        # Table time does not count the time while all nodes were down: no client could have retried then.
        assert before < after < before + 45
        status, _, result = await day.actors.send_request("edge-2", *ask, idempotency_key="once")
        assert status == 200
        assert day.actors.records.executions["once"] == 1

    cluster.run_scenario(scenario)
