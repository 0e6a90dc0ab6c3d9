"""Which reply of a peer ends a round of requests for changes."""

import asyncio

import pytest
import replicating_node

from irisstand.simulator import virtual_time


@pytest.mark.parametrize(("age", "is_enough"), [(0.0, True), (0.8, True), (1.0, False), (1.4, False)])
def test_answer_ends_the_round_only_if_it_is_younger_than_most_of_the_freshness_bound(age, is_enough):
    async def scenario():
        edge = replicating_node.ReplicatingNode("edge")
        peer = replicating_node.ReplicatingNode("peer")
        edge.peers["peer"] = peer
        for node in (edge, peer):
            node.apply(1, [("site/north", {"weight": 1}, False)])
        await asyncio.sleep(age)
        return await edge.pull("peer")

    assert virtual_time.run(scenario()) == is_enough


def test_answer_of_a_peer_of_unknown_age_does_not_end_the_round():
    async def scenario():
        edge = replicating_node.ReplicatingNode("edge")
        peer = replicating_node.ReplicatingNode("peer")
        edge.peers["peer"] = peer
        for node in (edge, peer):
            node.apply(1, [("site/north", {"weight": 1}, False)])
        peer.replica.current_as_of = None
        return await edge.pull("peer")

    assert not virtual_time.run(scenario())
