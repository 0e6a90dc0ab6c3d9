"""The budget of bytes and connections of a process, and the rule that derives it."""

import asyncio

import pytest

from irisstand import budget_rule, counters, node_settings, resource_budget

MB = 1_000_000


class Client:
    """A connection that remembers whether it was evicted."""

    def __init__(self, is_waiting=True):
        self.is_waiting = is_waiting
        self.is_evicted = False

    def is_evictable(self):
        return self.is_waiting

    def evict(self):
        self.is_evicted = True


class Harness:
    def __init__(self, limit=10 * MB, connections=4):
        self.now = 100.0
        self.counters = counters.Counters()
        self.budget = resource_budget.ResourceBudget(limit, connections, lambda: self.now, self.counters)

    def hold(self, size, is_waiting=True):
        client = Client(is_waiting)
        holding = self.budget.open(client)
        assert holding.try_set(size)
        return client, holding


def test_request_that_does_not_fit_is_refused_and_changes_nothing():
    harness = Harness()
    _, first = harness.hold(6 * MB)
    second = harness.budget.open(Client())
    assert not second.try_set(5 * MB)
    assert harness.budget.held == 6 * MB
    first.close()
    assert second.try_set(5 * MB)


def test_slowest_connection_that_waits_for_its_client_gives_way():
    harness = Harness()
    stalled, stalled_holding = harness.hold(4 * MB)
    moving, moving_holding = harness.hold(4 * MB)
    working, _ = harness.hold(1 * MB, is_waiting=False)
    harness.now += 5
    moving_holding.speed.add(MB)
    newcomer = harness.budget.open(Client())
    # The room is there only once the evicted connection has ended.
    assert not newcomer.try_set(3 * MB)
    assert (stalled.is_evicted, moving.is_evicted, working.is_evicted) == (True, False, False)
    stalled_holding.close()
    assert newcomer.try_set(3 * MB)
    assert not moving.is_evicted


def test_young_connection_is_not_evicted():
    harness = Harness()
    young, _ = harness.hold(9 * MB)
    harness.now += 0.5
    assert not harness.budget.open(Client()).try_set(3 * MB)
    assert not young.is_evicted


def test_cache_gives_way_before_any_connection():
    class Cache:
        size = 8 * MB

        def shrink(self, limit):
            self.size = min(self.size, limit)

    harness = Harness()
    cache = Cache()
    harness.budget.caches.append(cache)
    client, _ = harness.hold(2 * MB)
    harness.now += 5
    assert harness.budget.open(Client()).try_set(5 * MB)
    assert cache.size == 3 * MB
    assert not client.is_evicted


def test_too_many_connections_evict_the_slowest_or_are_refused():
    harness = Harness()
    clients = [Client(is_waiting=number > 0) for number in range(4)]
    assert all(harness.budget.open_connection(client) for client in clients)
    assert harness.budget.open_connection(Client()) is None
    harness.now += 5
    assert harness.budget.open_connection(Client()) is not None
    assert [client.is_evicted for client in clients] == [False, True, False, False]


def test_those_that_wait_are_granted_in_order_as_room_is_freed():
    async def scenario():
        harness = Harness()
        _, first = harness.hold(9 * MB, is_waiting=False)
        granted = []
        for name in "ab":
            waiting = harness.budget.open()
            assert not harness.budget.set_when_possible(
                waiting, 6 * MB, lambda name=name: granted.append(name)
            )
        first.close()
        assert granted == ["a"]
        assert harness.budget.held == 6 * MB

    asyncio.run(scenario())


def test_body_that_several_connections_send_counts_once():
    async def scenario():
        harness = Harness()
        body = b"x" * MB
        harness.budget.bodies.hand_over(body)
        assert harness.budget.held == MB
        harness.budget.bodies.retain(body)
        harness.budget.bodies.retain(body)
        assert harness.budget.held == MB
        harness.budget.bodies.release(body)
        assert harness.budget.held == MB
        harness.budget.bodies.release(body)
        assert harness.budget.held == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("memory_mb", [88, 200, 260, 296, 300, 552])
def test_process_with_a_full_budget_stays_within_its_machine(memory_mb):
    given = {"name": "n", "machine": "m", "site": "s", "region": "r", "host": "127.0.0.1", "port": 1}
    given |= {"http_port": 2, "seeds": ["127.0.0.1:3"], "role": "edge"}
    settings = node_settings.check(given, "dataplane")
    settings = settings._replace(memory_bytes=memory_mb * MB, descriptors=4100)
    budget = budget_rule.derive(settings, lambda: 0.0, counters.Counters())
    assert budget_rule.PROCESS_BYTES + budget.limit < memory_mb * MB
    assert budget.connection_limit < 4100
    assert budget.connection_limit * resource_budget.CONNECTION_BYTES <= budget.limit
