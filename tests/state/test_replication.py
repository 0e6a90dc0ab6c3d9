"""Replication: its cost depends on what changed, and replicas that differ are repaired."""

import asyncio

import cluster
import pytest

from irisstand.state import items, replica, versions


def filled_replica(count, first=1):
    local = replica.Replica("t")
    for number in range(first, first + count):
        version = versions.Version(number, "n")
        local.apply(items.Batch(version, local.applied, ((f"k{number}", number, False),)))
    return local


async def bytes_sent_for_changes(day, count):
    before = day.cluster.network.bytes_sent.total()
    for weight in range(count):
        await day.actors.order("agency-1", "change", [cluster.site_row(weight=weight + 1)])
        await asyncio.sleep(0.5)
    return day.cluster.network.bytes_sent.total() - before


def test_cost_of_a_change_does_not_grow_with_the_table():
    async def scenario(day):
        await asyncio.sleep(40)
        small = await bytes_sent_for_changes(day, 20)
        grants = [{"service": "content", "methods": ["GET"]}]
        rows = [{"kind": "path", "name": f"/x/{n}", "value": {"grants": grants}} for n in range(900)]
        await day.actors.order("agency-1", "change", rows)
        await asyncio.sleep(5)
        assert await bytes_sent_for_changes(day, 20) < 1.2 * small

    cluster.run_scenario(scenario)


def test_voter_with_a_lost_disk_learns_a_table_larger_than_any_frame():
    async def scenario(day):
        for step in range(11):
            keys = [f"{step}-{number}" for number in range(250)]
            claims = [(key, "a", "print") for key in keys]
            await asyncio.gather(*(day.actors.order("agency-1", "claim", claim) for claim in claims))
            results = [(key, "a", [200, [], b"x" * 4000]) for key in keys]
            await asyncio.gather(*(day.actors.order("agency-1", "settle", result) for result in results))
        node = day.cluster.nodes["agency-4"]
        node.kill()
        node.wipe()
        await node.start()
        await day.cluster.wait_until(
            lambda: all(node.program.participant.is_voter(table) for table in items.TABLES), 60
        )
        replicas = [cluster.context(day, f"agency-{n}").replicas[items.IDEMPOTENCY_KEYS] for n in (1, 4)]
        assert len(replicas[1].items) > 2750
        assert replicas[1].counts_by_prefix == replicas[0].counts_by_prefix

    cluster.run_scenario(scenario)


def test_changes_are_applied_only_if_the_outcome_equals_the_peers_replica():
    peer, behind = filled_replica(20), filled_replica(20)
    # The removal records are cleared, so the peer cannot report every removal to a replica that is behind.
    peer.apply(items.Batch(versions.Version(21, "n"), peer.applied, (("k3", None, True), ("k4", 5, False))))
    peer.removal_records.clear()
    changed, removed_keys = peer.changes_since(behind.applied)
    assert [item.key for item in changed] == ["k4"]
    assert not removed_keys
    before = behind.root_digest()
    assert not behind.apply_changes(peer.applied, peer.root_digest(), changed, removed_keys)
    assert behind.root_digest() == before
    assert behind.applied == versions.Version(20, "n")
    changed, _ = peer.changes_since(behind.applied)
    assert behind.apply_changes(peer.applied, peer.root_digest(), changed, ["k3"])
    assert behind.root_digest() == peer.root_digest()
    assert not behind.apply_changes(versions.Version(5, "n"), peer.root_digest(), [], [])


def test_replica_damaged_in_memory_is_repaired_range_by_range():
    async def scenario(day):
        local = cluster.context(day, "store-1").configuration
        original_item = local.items["service/content"]
        local.put(original_item._replace(value={"spoilt": True}))
        local.remove("path/vacancies/")
        await day.cluster.wait_until(lambda: local.items["service/content"] == original_item, 3)
        assert local.root_digest() == cluster.context(day, "agency-1").configuration.root_digest()
        assert cluster.context(day, "store-1").counters.total("ranges_mended") <= 4

    cluster.run_scenario(scenario)


def test_every_change_updates_version_order_counts_and_digests():
    local = filled_replica(30)
    for number in range(0, 30, 3):
        local.remove_and_record(f"k{number}", versions.Version(40 + number, "n"))
    local.put(items.Item("a/b", versions.Version(90, "n"), None))
    fresh = replica.Replica("t")
    for item in local.items.values():
        fresh.merge(item)
    assert fresh.root_digest() == local.root_digest()
    assert list(fresh.keys_by_version) == list(local.keys_by_version)
    assert local.counts_by_prefix["a"] == 1
    assert sum(local.counts_by_prefix.values()) == len(local.items)
    clone = local.clone()
    clone.put(items.Item("z", versions.Version(99, "n"), 1))
    assert clone.root_digest() != local.root_digest()
    assert "z" not in local.items


@pytest.mark.parametrize(
    "answer", [[], [[1, "n"], 0.1, b"x", ["rows"]], "nothing", [[[0, ""], None, b"", [7]]]]
)
def test_malformed_reply_changes_nothing(answer):
    async def scenario(day):
        node = day.cluster.nodes["store-1"]
        before = {name: local.root_digest() for name, local in node.program.context.replicas.items()}

        async def reply(*_):
            return answer

        original_call, node.program.context.transport.call = node.program.context.transport.call, reply
        await asyncio.sleep(1)
        assert {name: local.root_digest() for name, local in node.program.context.replicas.items()} == before
        assert not node.actor.dead
        assert node.program.context.counters.total("sync_failed") > 0
        node.program.context.transport.call = original_call
        await day.cluster.wait_until_ready()

    cluster.run_scenario(scenario)
