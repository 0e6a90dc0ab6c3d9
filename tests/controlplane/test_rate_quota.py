"""Quota shares of services' rate limits: no share has two owners within a window, whichever node plans."""

import asyncio
import random

import direct_edge
import pytest

from irisstand.balancing import rate_quota
from irisstand.controlplane.singletons import rate_placement
from irisstand.simulator import virtual_time
from irisstand.state import items

# For so long after its last row an owner may start requests that fall into the same window of five seconds.
OVERLAP_SECONDS = rate_quota.USABLE_SECONDS + 5.0


class FakeTask:
    """A singleton task that always holds its lease, and whose rows are decided after `delay` seconds."""

    def __init__(self, fixture, delay=0.0):
        self.fixture, self.delay = fixture, delay

    def holds_lease(self):
        return True

    async def write_fenced(self, rows):
        await asyncio.sleep(self.delay)
        for key, value in rows:
            self.fixture.put(items.LEDGER, key, value)
            self.fixture.history.append((self.fixture.context.clock.now(), value["units"]))


class PlacementScenario(direct_edge.DirectNodeHarness):
    """A ledger, and one lease holder of the rate placement task after the other."""

    def __init__(self):
        super().__init__()
        self.put(items.LEDGER, rate_quota.ITEM_KEY, None)
        self.history = []
        self.change_holder()

    def change_holder(self, delay=0.0):
        self.placement, self.task = rate_placement.RatePlacement(self.context), FakeTask(self, delay)

    def remove_member(self, name):
        members = self.context.detector.member_list.members
        for identity in [identity for identity in members if identity.name == name]:
            del members[identity]

    async def run_for(self, seconds):
        end = self.context.clock.now() + seconds
        while self.context.clock.now() < end:
            await self.placement.work(self.task)
            await asyncio.sleep(0.2)

    def units(self):
        row = self.context.ledger.value(rate_quota.ITEM_KEY)
        return row["units"] if row else {}


def play(scenario):
    async def run():
        return await scenario(PlacementScenario())

    return virtual_time.run(run())


def largest_overlapping_units(history):
    """Return the largest sum, in any `OVERLAP_SECONDS`, of the most units that each owner had in them."""
    largest = 0
    for index, (time, _) in enumerate(history):
        most_held = {}
        for number, (_, units) in enumerate(history[: index + 1]):
            ended = history[number + 1][0] if number + 1 < len(history) else time
            if ended > time - OVERLAP_SECONDS or number == index:
                for name, share in units.items():
                    most_held[name] = max(most_held.get(name, 0), share)
        largest = max(largest, sum(most_held.values()))
    return largest


def test_sites_have_equal_quota_shares_and_an_owner_that_is_back_soon_keeps_its_share():
    async def scenario(fixture):
        for name, site in (("h1", "north"), ("h2", "north"), ("h3", "south")):
            fixture.add_member(name, "holder", site)
        await fixture.run_for(5)
        first = fixture.units()
        fixture.remove_member("h3")
        await fixture.run_for(4)
        fixture.add_member("h3", "holder", "south")
        await fixture.run_for(30)
        return first, fixture.units()

    expected = {"h1": 250, "h2": 250, "h3": 500}
    assert play(scenario) == (expected, expected)


def test_the_quota_share_of_a_lost_owner_is_given_out_only_after_the_owner_has_certainly_stopped():
    async def scenario(fixture):
        for name in ("h1", "h2"):
            fixture.add_member(name, "holder")
        await fixture.run_for(5)
        fixture.remove_member("h2")
        await fixture.run_for(60)
        return fixture.history

    history = play(scenario)
    assert [units for _, units in history] == [{"h1": 500, "h2": 500}, {"h1": 500}, {"h1": 1000}]
    assert history[2][0] - history[1][0] >= rate_quota.REASSIGNMENT_DELAY_SECONDS


@pytest.mark.parametrize("seed", range(12))
def test_no_quota_share_has_two_owners_within_a_window_whatever_members_and_lease_holders_do(seed):
    async def scenario(fixture):
        randomness = random.Random(seed)
        names = [f"holder-{number}" for number in range(8)]
        for name in names[:5]:
            fixture.add_member(name, "holder", randomness.choice(["north", "south"]))
        for _ in range(40):
            kind = randomness.choice(["lose", "lose", "come", "come", "holder", "nothing"])
            if kind == "lose":
                fixture.remove_member(randomness.choice(names))
            elif kind == "come":
                fixture.add_member(randomness.choice(names), "holder", randomness.choice(["north", "south"]))
            elif kind == "holder":
                fixture.change_holder(randomness.choice([0.0, 0.5, 3.0]))
            await fixture.run_for(randomness.uniform(0.5, 14))
        return fixture.history

    history = play(scenario)
    assert len(history) > 3
    assert all(sum(units.values()) <= rate_quota.TOTAL_UNITS for _, units in history)
    assert largest_overlapping_units(history) <= rate_quota.TOTAL_UNITS


def test_nothing_is_given_out_while_the_member_list_is_still_filling():
    async def scenario(fixture):
        for number in range(1, 9):
            fixture.add_member(f"holder-{number}", "holder", f"site-{number % 4}")
            for edge in range(10 if number == 1 else 0):
                for site in range(4):
                    fixture.add_member(f"edge-{site}-{edge}", "direct", f"site-{site}")
            await fixture.run_for(0.6)
        await fixture.run_for(rate_placement.STABLE_SECONDS + 1.0)
        return fixture.units()

    assert play(scenario) == {f"holder-{number}": 125 for number in range(1, 9)}


def test_edges_that_fetch_for_themselves_own_the_quota_shares_and_request_no_tokens():
    async def scenario(fixture):
        fixture.context.settings = fixture.context.settings._replace(holder_edges=5.0)
        for number in range(8):
            fixture.add_member(f"fetching-{number}", "direct", f"site-{number % 4}")
            fixture.add_member(f"holder-{number}", "holder", f"site-{number % 4}")
        await fixture.run_for(rate_placement.STABLE_SECONDS + 2.0)
        return fixture.units()

    assert play(scenario) == {f"fetching-{number}": 125 for number in range(8)}
