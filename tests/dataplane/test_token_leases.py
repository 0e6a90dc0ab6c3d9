"""Fleet-wide rate limits: how many requests all nodes send in five seconds, whatever members each knows."""

import asyncio
import random

import direct_edge
import pytest
import test_object_holders

from irisstand import errors
from irisstand.dataplane.ratelimit import token_leases
from irisstand.simulator import virtual_time
from irisstand.state import items

RATE = 40.0
WINDOW, OVERRUN, SLACK = 5.0, 1.1, 5
HOLDERS = {"holder-1": 250, "holder-2": 250, "holder-3": 250, "holder-4": 250}
SITES = {"edge_3": "south", "edge_4": "south", "holder_3": "south", "holder_4": "south"}


class Fleet(test_object_holders.Site):
    """Nodes at two sites whose links can fail in one direction, and that can be killed and restarted."""

    def __init__(self, edges=4, **more):
        super().__init__(edges=edges, holders=4, **SITES, **more)
        self.killed_nodes, self.blocked_links = [], set()
        for node in self.nodes.values():
            self.configure(node)

    def configure(self, node):
        item = {**direct_edge.UPSTREAM, "version": 9, "rate": RATE, "connections": 4000}
        node.put(items.CONFIGURATION, "upstream/s", {"version": 9, "item": item})
        node.put(items.LEDGER, "rate-parts", {"units": HOLDERS})
        node.confirm_current()

    def caller_for(self, sender):
        call_any = super().caller_for(sender)

        async def call(address, name, kind, body, timeout_seconds):
            if (sender, name) in self.blocked_links:
                await asyncio.sleep(timeout_seconds)
                raise errors.UnansweredError(name)
            return await call_any(address, name, kind, body, timeout_seconds)

        return call

    def restart(self, name):
        """Replace a node by a new process with empty memory, as after SIGKILL and an immediate restart."""
        old_node = self.nodes[name]
        self.killed_nodes.append(old_node)
        new_node = direct_edge.DirectNodeHarness(settings=old_node.context.settings)
        for other in self.nodes.values():
            settings = other.context.settings
            if settings.name != name:
                new_node.add_member(settings.name, settings.role, settings.site, settings.region)
        self.nodes[name] = new_node
        new_node.context.transport.call = self.caller_for(name)
        self.configure(new_node)

    def forget(self, name, other):
        """Remove the node `other` from the member list of the node `name`."""
        members = self.nodes[name].context.detector.member_list.members
        for identity in [key for key in members if key == other or getattr(key, "name", "") == other]:
            del members[identity]

    def send_times(self):
        nodes = [*self.nodes.values(), *self.killed_nodes]
        return sorted(sent[4] for node in nodes for sent in node.sent)


def max_in_window(times):
    most, first = 0, 0
    for last, sent_at in enumerate(times):
        while times[first] <= sent_at - WINDOW:
            first += 1
        most = max(most, last - first + 1)
    return most


async def send_requests(fleet, names, seconds, per_second, prefix=""):
    """Send requests for objects that no cache has, at a rate per node, and return the statuses."""
    loop = asyncio.get_running_loop()
    end, number, statuses = loop.time() + seconds, 0, []

    async def one(name, path):
        try:
            statuses.append((await fleet.nodes[name].ask(path, request_id=path)).status)
        except errors.IrisError as error:
            statuses.append(error.status)

    tasks = []
    while loop.time() < end:
        for name in names:
            number += 1
            tasks.append(asyncio.create_task(one(name, f"/objects/{prefix}{name}-{number}")))
        await asyncio.sleep(1 / per_second)
    await asyncio.gather(*tasks)
    return statuses


async def inject_faults(fleet, randomness):
    names = list(fleet.nodes)
    holders = list(HOLDERS)
    while True:
        kind = randomness.choice(["silent", "cut", "restart", "forget", "restart holders"])
        if kind == "silent":
            fleet.silent_nodes = set(randomness.sample(holders, randomness.randint(1, 3)))
        elif kind == "cut":
            fleet.blocked_links = {(randomness.choice(names), randomness.choice(names)) for _ in range(20)}
        elif kind == "restart":
            fleet.restart(randomness.choice(names))
        elif kind == "forget":
            fleet.forget(*randomness.sample(names, 2))
        else:
            for name in randomness.sample(holders, 2):
                fleet.restart(name)
        await asyncio.sleep(randomness.uniform(0.1, 1.5))


def run_scenario(scenario):
    async def run():
        return await scenario(Fleet())

    return virtual_time.run(run())


@pytest.mark.parametrize("seed", range(12))
def test_rate_limit_holds_in_any_five_seconds_whatever_members_each_node_knows(seed):
    async def scenario(fleet):
        faults = asyncio.create_task(inject_faults(fleet, random.Random(seed)))
        await send_requests(fleet, list(fleet.nodes), 14, 12)
        faults.cancel()
        return fleet.send_times()

    assert max_in_window(run_scenario(scenario)) <= RATE * WINDOW * OVERRUN + SLACK


@pytest.mark.parametrize("name", ["holder-1", "edge-1"])
def test_only_busy_node_gets_most_of_the_rate_within_a_second(name):
    async def scenario(fleet):
        await send_requests(fleet, [name], 1, 100, "early")
        before = len(fleet.send_times())
        await send_requests(fleet, [name], 5, 100)
        return (len(fleet.send_times()) - before) / 5

    assert run_scenario(scenario) >= 0.85 * RATE


def test_edge_that_reaches_only_one_distant_holder_leases_tokens_from_it():
    async def scenario(fleet):
        fleet.blocked_links = {("edge-1", name) for name in ("holder-1", "holder-2", "holder-3")}
        await send_requests(fleet, ["edge-1"], 3, 20)
        before = len(fleet.nodes["edge-1"].sent)
        statuses = await send_requests(fleet, ["edge-1"], 4, 5, "late")
        return len(fleet.nodes["edge-1"].sent) - before, statuses

    sent, statuses = run_scenario(scenario)
    assert sent >= 18
    assert statuses.count(200) >= 18


def test_owner_with_an_old_ledger_neither_uses_nor_lends_its_quota_share():
    async def scenario(fleet):
        now = asyncio.get_running_loop().time()
        owner = fleet.nodes["holder-1"]
        owner.context.ledger.current_as_of = now
        await asyncio.sleep(5)
        leases = owner.direct_node.endpoints.token_leases
        early = await leases.on_lease_request("edge-1", ["s", 1, 0.1])
        used = leases.acquire("s", 0.1)
        await asyncio.sleep(1.5)
        with pytest.raises(errors.LimitExceededError):
            leases.acquire("s", 0.1)
        return early, used, await leases.on_lease_request("edge-1", ["s", 1, 0.1])

    early, used, late = run_scenario(scenario)
    assert early == ("places", 0.0)
    assert used == 0.0
    assert late == ("places",)


def test_leased_token_expires_after_the_lease_time():
    async def scenario(fleet):
        leases = fleet.nodes["edge-1"].direct_node.endpoints.token_leases
        await asyncio.sleep(1)
        await leases.wait_for_token("s", 0.1)
        await asyncio.sleep(token_leases.LEASE_SECONDS + 0.01)
        with pytest.raises(errors.LimitExceededError):
            leases.acquire("s", 0.1)
        await leases.wait_for_token("s", 0.1)
        return leases.acquire("s", 0.1)

    assert run_scenario(scenario) == 0.0


def test_process_restarted_many_times_gets_no_burst_after_each_start():
    async def scenario(fleet):
        fleet.blocked_links = {("holder-1", name) for name in fleet.nodes}
        used = 0
        for _ in range(40):
            await asyncio.sleep(0.05)
            for _ in range(20):
                try:
                    fleet.nodes["holder-1"].direct_node.endpoints.token_leases.acquire("s", 0.0)
                except errors.LimitExceededError:
                    break
                used += 1
            fleet.restart("holder-1")
        return used

    assert run_scenario(scenario) <= 40 * 0.05 * RATE / 4


@pytest.mark.parametrize("seed", range(6))
def test_cold_origin_gets_no_more_than_its_limit_whatever_members_each_node_knows(seed):
    async def scenario(fleet):
        randomness = random.Random(seed)
        for node in fleet.nodes.values():
            node.put(items.LEDGER, "origin/b", None)
            node.origin("a", state="cold", warmup=3)
        for name in fleet.nodes:
            for other in randomness.sample(list(fleet.nodes), 6):
                fleet.forget(name, other)
        await asyncio.sleep(4)
        tasks = []
        for number in range(400):
            name = randomness.choice(["edge-1", "edge-2", "edge-3", "edge-4"])
            path = f"/reads/{number}"
            tasks.append(asyncio.create_task(status(fleet.nodes[name], path)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        return fleet.send_times()

    async def status(node, path):
        try:
            return (await node.ask(path, request_id=path)).status
        except errors.IrisError as error:
            return error.status

    times = run_scenario(scenario)
    settings = direct_edge.SETTINGS
    bound = direct_edge.UPSTREAM["cold_rate"] * settings.cold_factor + settings.cold_burst
    assert len(times) > 5
    assert max(sum(start <= other < start + 1.0 for other in times) for start in times) <= bound
