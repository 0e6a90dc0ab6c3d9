"""Tests of the choice of the target voters, and of the order that changes the voter set of a table."""

import asyncio

import pytest
from voter_cluster import (
    BUILD_SECONDS,
    CATCH_UP_SECONDS,
    has_full_voters,
    kill_and_wipe,
    run_scenario,
    voters,
)

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import voter_target
from irisstand.state import items, quorum


def test_two_newcomers_for_one_lost_voter_leave_the_same_voters_in_all_tables():
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        lost_node = simulation.nodes["agency-5"]
        kill_and_wipe(lost_node)
        simulation.retire(lost_node)
        for number in (8, 9):
            placement = lost_node.placement._replace(
                name=f"agency-{number}", machine=f"m-{number}", host=f"10.0.0.9{number}"
            )
            await simulation.add(placement).start()
        await simulation.wait_until(lambda: has_full_voters(simulation), CATCH_UP_SECONDS)
        assert len(voters(simulation)) == 5

    run_scenario(scenario, "abcab")


def test_tables_with_different_voters_are_given_the_same():
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        await asyncio.sleep(2)
        node = simulation.nodes[voters(simulation)[0].name]
        claims_replica = node.program.context.replicas[items.IDEMPOTENCY_KEYS]
        three_voters = tuple(
            tuple(voter) for voter in {voter.site: voter for voter in voters(simulation)}.values()
        )
        payload = (str(claims_replica.version(items.VOTERS_KEY)), three_voters)
        await node.run(node.program.submitter.submit(orders.Order("voters-claims", "", payload)), 3)
        assert len(voters(simulation, items.IDEMPOTENCY_KEYS)) == 3
        await simulation.wait_until(lambda: has_full_voters(simulation), CATCH_UP_SECONDS)

    run_scenario(scenario, "abcabc")


def test_voter_change_from_an_older_set_or_to_a_weaker_one_is_refused():
    async def scenario(simulation):
        await simulation.wait_until(lambda: has_full_voters(simulation), BUILD_SECONDS)
        node = simulation.nodes[voters(simulation)[0].name]
        version = str(node.program.context.replicas[items.LEDGER].version(items.VOTERS_KEY))
        in_force = [tuple(voter) for voter in voters(simulation)]
        one_zone = [voter for voter in in_force if voter[2] == "a"]
        for payload, error_class in (
            (("1@founding", tuple(in_force)), errors.StaleVersionError),
            ((version, tuple(one_zone)), errors.InvalidChangeError),
            ((version, tuple([*in_force, in_force[0]])), errors.InvalidChangeError),
            ((version, ()), errors.InvalidChangeError),
        ):
            with pytest.raises(error_class):
                await node.run(node.program.submitter.submit(orders.Order("voters-ledger", "", payload)), 3)
        assert [tuple(voter) for voter in voters(simulation)] == in_force

    run_scenario(scenario, "abcab")


def voters_in_zones(zones, first_number=0):
    names = [f"n{number + first_number:02}" for number in range(len(zones))]
    return [
        quorum.Voter(name, f"disk-{name}", zone, "h", 1, name)
        for name, zone in zip(names, zones, strict=True)
    ]


def test_target_spans_most_sites_with_fewest_changes_and_is_never_smaller():
    for zones in ("abc", "aabbc", "aaabbcc", "abcdabcd", "aaaabcd", "abcdeabcdea"):
        pool = voters_in_zones(zones)
        for current in (pool[:3], pool[-3:], []):
            target = voter_target.target_voters(pool, current, set(), 5)
            assert quorum.survives_any_site_loss(target), zones
            assert len(target) == min(5, len(pool)), zones
            # Once the target is reached, it stays the target, in whatever order the candidates are given.
            assert voter_target.target_voters(pool[::-1], target, set(), 5) == target
    five_voters = voters_in_zones("abcab")
    assert (
        voter_target.target_voters(five_voters[1:], five_voters, {five_voters[0].disk_id}, 5) == five_voters
    )
    spare = voters_in_zones("b", 7)
    repaired = voter_target.target_voters(
        [*five_voters[1:], *spare], five_voters, {five_voters[4].disk_id}, 5
    )
    assert set(five_voters[:4]) < set(repaired)
    assert spare[0] in repaired
    # A lost voter is not replaced by a node of a zone whose loss would then end the majority.
    assert (
        voter_target.target_voters(
            [*five_voters[:2], *five_voters[3:], *voters_in_zones("a", 8)],
            five_voters,
            {five_voters[2].disk_id},
            5,
        )
        == five_voters
    )
    voter_with_new_disk = five_voters[0]._replace(disk_id="new")
    assert voter_with_new_disk in voter_target.target_voters(
        [voter_with_new_disk, *five_voters[1:]], five_voters, set(), 5
    )
