"""The target set of voters as a decision, and the order that changes a whole set."""

import asyncio

import pytest
from voter_cluster import (
    BUILD_SECONDS,
    CATCH_UP_SECONDS,
    has_full_voters,
    kill_and_wipe,
    play,
    voters,
)

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import voter_target
from irisstand.state import items, quorum


def test_two_newcomers_for_one_lost_voter_leave_the_same_voters_in_all_tables():
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        lost = world.nodes["agency-5"]
        kill_and_wipe(lost)
        world.retire(lost)
        for number in (8, 9):
            plan = lost.placement._replace(
                name=f"agency-{number}", machine=f"m-{number}", host=f"10.0.0.9{number}"
            )
            await world.add(plan).start()
        await world.wait_until(lambda: has_full_voters(world), CATCH_UP_SECONDS)
        assert len(voters(world)) == 5

    play(scene, "abcab")


def test_tables_with_different_voters_are_given_the_same():
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        await asyncio.sleep(2)
        node = world.nodes[voters(world)[0].name]
        copy = node.program.context.replicas[items.IDEMPOTENCY_KEYS]
        fewer = tuple(tuple(voter) for voter in {voter.site: voter for voter in voters(world)}.values())
        payload = (str(copy.version(items.VOTERS_KEY)), fewer)
        await node.do(node.program.submitter.submit(orders.Order("voters-claims", "", payload)), 3)
        assert len(voters(world, items.IDEMPOTENCY_KEYS)) == 3
        await world.wait_until(lambda: has_full_voters(world), CATCH_UP_SECONDS)

    play(scene, "abcabc")


def test_voter_change_from_an_older_set_or_to_a_weaker_one_is_refused():
    async def scene(world):
        await world.wait_until(lambda: has_full_voters(world), BUILD_SECONDS)
        node = world.nodes[voters(world)[0].name]
        version = str(node.program.context.replicas[items.LEDGER].version(items.VOTERS_KEY))
        in_force = [tuple(voter) for voter in voters(world)]
        one_zone = [voter for voter in in_force if voter[2] == "a"]
        for payload, kind in (
            (("1@founding", tuple(in_force)), errors.StaleVersionError),
            ((version, tuple(one_zone)), errors.InvalidChangeError),
            ((version, tuple([*in_force, in_force[0]])), errors.InvalidChangeError),
            ((version, ()), errors.InvalidChangeError),
        ):
            with pytest.raises(kind):
                await node.do(node.program.submitter.submit(orders.Order("voters-ledger", "", payload)), 3)
        assert [tuple(voter) for voter in voters(world)] == in_force

    play(scene, "abcab")


def made(zones, start=0):
    names = [f"n{number + start:02}" for number in range(len(zones))]
    return [
        quorum.Voter(name, f"disk-{name}", zone, "h", 1, name)
        for name, zone in zip(names, zones, strict=True)
    ]


def test_target_spans_most_sites_with_fewest_changes_and_is_never_smaller():
    for zones in ("abc", "aabbc", "aaabbcc", "abcdabcd", "aaaabcd", "abcdeabcdea"):
        pool = made(zones)
        for seeds in (pool[:3], pool[-3:], []):
            found = voter_target.target_voters(pool, seeds, set(), 5)
            assert quorum.survives_any_site_loss(found), zones
            assert len(found) == min(5, len(pool)), zones
            # Reached once, it is left alone, in whatever order the candidates are told.
            assert voter_target.target_voters(pool[::-1], found, set(), 5) == found
    five = made("abcab")
    assert voter_target.target_voters(five[1:], five, {five[0].disk_id}, 5) == five
    spare = made("b", 7)
    repaired = voter_target.target_voters([*five[1:], *spare], five, {five[4].disk_id}, 5)
    assert set(five[:4]) < set(repaired)
    assert spare[0] in repaired
    # A place lost in one zone is not filled by one more of a zone whose loss would end the majority.
    assert (
        voter_target.target_voters([*five[:2], *five[3:], *made("a", 8)], five, {five[2].disk_id}, 5) == five
    )
    renewed = five[0]._replace(disk_id="new")
    assert renewed in voter_target.target_voters([renewed, *five[1:]], five, set(), 5)
