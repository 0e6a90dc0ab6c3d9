"""Transfer of large changes: a slow link is never filled, and nothing is transferred over it twice."""

import asyncio

import pytest
import replicating_node

from irisstand import errors
from irisstand.simulator import virtual_time
from irisstand.state import items, replica, versions
from irisstand.state.replication import chunk_transfer, messages

ROUTE_COUNT = 1480
# What the clients of an edge leave free of its link of 11 Mbit/s.
LINK_BYTES_PER_SECOND = 700_000


def row(number):
    fields = {"host": "api.example", "prefix": f"/extra/{number}/", "kind": "idempotent", "timeout": 2.5}
    item = {"name": f"extra-{number:05d}", "version": 1, "service": "searchdesk", "attempts": 2, **fields}
    return f"route/extra-{number:05d}", {"version": 1, "item": item}, False


def far_behind(rate=LINK_BYTES_PER_SECOND, peers=6, routes=ROUTE_COUNT):
    """Return an edge that lacks a change of `routes` routes, and control plane nodes that have applied it."""
    edge = replicating_node.ReplicatingNode("edge", rate)
    control_nodes = [replicating_node.ReplicatingNode(f"core-{number}") for number in range(peers)]
    for node in (edge, *control_nodes):
        node.apply(1, [row(100_000)])
    for control_node in control_nodes:
        control_node.apply(2, [row(number) for number in range(routes)])
        edge.peers[control_node.name] = control_node
    return edge, control_nodes


def test_big_change_over_a_slow_link_arrives_in_time_though_several_peers_are_asked():
    async def scenario():
        edge, control_nodes = far_behind(rate=LINK_BYTES_PER_SECOND // 2)
        while edge.replica.root_digest() != control_nodes[0].replica.root_digest():
            await edge.round(list(edge.peers))
            assert edge.context.clock.now() < 60
        return edge.context.clock.now(), max(size for *_, size in edge.replies)

    seconds, largest = virtual_time.run(scenario())
    assert seconds < 1.0
    assert largest < 40_000


def test_items_staged_from_a_peer_that_falls_silent_are_not_requested_again():
    async def scenario():
        edge, control_nodes = far_behind(peers=2)
        original = control_nodes[0].handlers["part"]
        sent_chunks = []

        async def falls_silent(sender, body):
            if len(sent_chunks) == 3:
                await asyncio.sleep(60)
            sent_chunks.append(await original(sender, body))
            return sent_chunks[-1]

        control_nodes[0].handlers["part"] = falls_silent
        task = asyncio.create_task(edge.pull("core-0"))
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.sleep(0)
        before = len(edge.replies)
        await edge.pull("core-1")
        chunk_replies = [entry for entry in edge.replies[before:] if entry[1] == "part"]
        items_per_chunk = len(chunk_transfer.unpack_items(sent_chunks[0][3]))
        return (
            edge.replica.root_digest() == control_nodes[1].replica.root_digest(),
            len(chunk_replies),
            -(-(ROUTE_COUNT - 3 * items_per_chunk) // items_per_chunk),
        )

    is_same, chunk_count, wanted = virtual_time.run(scenario())
    assert is_same
    assert chunk_count <= wanted + 1


def test_chunks_requested_by_many_nodes_are_cut_once(monkeypatch):
    async def scenario():
        edges = [replicating_node.ReplicatingNode(f"edge-{number}") for number in range(20)]
        control_node = replicating_node.ReplicatingNode("core")
        control_node.apply(1, [row(number) for number in range(ROUTE_COUNT)])
        cuts = []
        original = chunk_transfer.build_chunk
        monkeypatch.setattr(
            chunk_transfer,
            "build_chunk",
            lambda local, cursor: cuts.append(cursor) or original(local, cursor),
        )
        for edge in edges:
            edge.peers["core"] = control_node
            await edge.pull("core")
            assert edge.replica.root_digest() == control_node.replica.root_digest()
        return len(cuts), len([1 for _, kind, _ in edges[0].replies if kind == "part"])

    cuts, chunk_count = virtual_time.run(scenario())
    assert cuts == chunk_count


@pytest.mark.parametrize("seed", range(8))
def test_changes_during_a_transfer_end_with_a_replica_equal_to_the_peers(seed):
    async def scenario():
        edge, (control_node,) = far_behind(peers=1, rate=None)
        original, number = control_node.handlers["part"], [2]

        async def changing(sender, body):
            reply = await original(sender, body)
            if number[0] < 9:
                number[0] += 1
                place = (seed * 7919 + number[0] * 104_729) % ROUTE_COUNT
                rows = [row(place), (row(place + 1)[0], None, False), (row(place + 2)[0], None, True)]
                control_node.apply(number[0], rows)
            return reply

        control_node.handlers["part"] = changing
        for _ in range(12):
            await edge.pull("core-0")
        kinds = {kind for _, kind, _ in edge.replies}
        return (
            edge.replica.root_digest() == control_node.replica.root_digest(),
            dict(edge.replica.items) == dict(control_node.replica.items),
            kinds,
        )

    is_same, are_equal, kinds = virtual_time.run(scenario())
    assert is_same
    assert are_equal
    assert "ranges" not in kinds


def test_peer_without_chunks_is_compared_range_by_range():
    async def scenario():
        edge, (control_node,) = far_behind(peers=1, rate=None)
        del control_node.handlers["part"]
        await edge.pull("core-0")
        return edge.replica.root_digest() == control_node.replica.root_digest(), edge.replies[-1][1]

    assert virtual_time.run(scenario()) == (True, "ranges")


def test_peer_older_than_the_staged_items_refuses_and_nothing_changes():
    async def scenario():
        edge, control_nodes = far_behind(peers=2, rate=None)
        control_nodes[1].replica.replace_content(replica.Replica(items.CONFIGURATION))
        control_nodes[1].apply(1, [row(100_000)])
        before = edge.replica.root_digest()
        cursor = messages.Cursor(versions.Version(2, "n"), "route/extra-00100")
        edge.replicator.chunks.staged_items(edge.replica).cursor = cursor
        with pytest.raises(errors.StaleConfigurationError):
            await edge.replicator.chunks.transfer(("", 0), "core-1", edge.replica)
        return edge.replica.root_digest() == before

    assert virtual_time.run(scenario())


def test_staged_items_that_differ_from_the_peers_are_not_applied():
    async def scenario():
        edge, (control_node,) = far_behind(peers=1, rate=None)
        staged = edge.replicator.chunks.staged_items(edge.replica)
        wrong = items.Item("route/other", versions.Version(2, "n"), {"version": 1, "item": None})
        staged.items["route/other"] = wrong
        is_applied = await edge.replicator.chunks.transfer(("", 0), "core-0", edge.replica)
        untouched = edge.replica.applied == versions.Version(1, "n")
        await edge.pull("core-0")
        return is_applied, untouched, edge.replica.root_digest() == control_node.replica.root_digest()

    assert virtual_time.run(scenario()) == (False, True, True)


def test_replica_advanced_during_a_transfer_drops_staged_items_and_is_not_set_back():
    async def scenario():
        edge, (control_node,) = far_behind(peers=1, rate=None)
        original = control_node.handlers["part"]

        async def overtaken(sender, body):
            reply = await original(sender, body)
            if edge.replica.applied == versions.Version(1, "n"):
                edge.apply(3, [row(number) for number in range(5)])
            return reply

        control_node.handlers["part"] = overtaken
        is_settled = await edge.replicator.chunks.transfer(("", 0), "core-0", edge.replica)
        left_over = dict(edge.replicator.chunks.staged)
        await edge.pull("core-0")
        return is_settled, left_over, edge.replica.applied, {kind for _, kind, _ in edge.replies}

    is_settled, left_over, applied, kinds = virtual_time.run(scenario())
    assert is_settled
    assert not left_over
    assert applied == versions.Version(3, "n")
    assert "ranges" not in kinds
