"""Reads through object holders, also when a holder is silent, drains or has an older configuration."""

import asyncio

import departing_clients
import direct_edge
import pytest
from direct_edge import complete_answer

from irisstand import errors
from irisstand.simulator import virtual_time
from irisstand.state import items

LOOP_STEPS = 50


class Site:
    """Edges and holders that call each other's handlers without a network; `silent_nodes` never reply."""

    def __init__(self, edges=2, holders=1, **sites):
        self.nodes, self.silent_nodes, self.calls, self.reply_kinds = {}, set(), [], []
        for role, count in (("direct", edges), ("holder", holders)):
            for number in range(1, count + 1):
                name = f"{'edge' if role == 'direct' else 'holder'}-{number}"
                site = sites.get(name.replace("-", "_"), "north")
                settings = direct_edge.SETTINGS._replace(
                    name=name, role=role, site=site, region="two" if site == "east" else "one"
                )
                self.nodes[name] = direct_edge.DirectNodeHarness(settings=settings)
        for name, node in self.nodes.items():
            for other in self.nodes.values():
                if other is not node:
                    settings = other.context.settings
                    node.add_member(settings.name, settings.role, settings.site, settings.region)
            node.context.transport.call = self.caller_for(name)

    def caller_for(self, sender):
        async def call(address, name, kind, body, timeout_seconds, incarnation_id=""):
            self.calls.append((sender, name))
            if name in self.silent_nodes:
                await asyncio.sleep(timeout_seconds)
                raise errors.UnansweredError(name)
            reply = await self.nodes[name].context.transport.handlers[kind](sender, list(body))
            self.reply_kinds.append(reply[0])
            return reply

        return call

    def sent(self):
        return {name: len(node.sent) for name, node in self.nodes.items() if node.sent}

    def put(self, table, key, value, *names):
        for name in names or self.nodes:
            self.nodes[name].put(table, key, value)


def run_scenario(scenario, **fields):
    async def run():
        return await scenario(Site(**fields))

    return virtual_time.run(run())


def test_object_read_at_two_edges_is_fetched_once_by_the_holder_and_then_cached_at_each_edge():
    async def scenario(site):
        for number, name in enumerate(("edge-1", "edge-2", "edge-1")):
            answer = await site.nodes[name].ask("/objects/1", request_id=f"r{number}")
            assert answer.headers["x-request-id"] == f"r{number}"
            assert answer.body == b"whole"
        return site.sent(), site.calls

    assert run_scenario(scenario) == ({"holder-1": 1}, [("edge-1", "holder-1"), ("edge-2", "holder-1")])


def test_request_that_is_not_cacheable_is_never_sent_to_a_holder():
    async def scenario(site):
        await site.nodes["edge-1"].ask("/reads/1")
        await site.nodes["edge-1"].ask("/writes/1", "POST")
        return site.calls

    assert run_scenario(scenario) == []


def test_holder_that_does_not_answer_is_waited_for_once_and_the_edge_fetches_by_itself():
    async def scenario(site):
        site.silent_nodes = {"holder-1"}
        elapsed = []
        for number in range(3):
            started = asyncio.get_running_loop().time()
            assert (await site.nodes["edge-1"].ask(f"/objects/{number}")).status == 200
            elapsed.append(asyncio.get_running_loop().time() - started)
        return elapsed, site.sent(), len(site.calls)

    elapsed, sent, calls = run_scenario(scenario)
    assert elapsed[0] < 0.8
    assert max(elapsed[1:]) < 0.1
    assert sent == {"edge-1": 3}
    assert calls == 1


def test_edge_does_not_fetch_by_itself_when_its_holder_gets_no_token():
    """Guards against edges that use up scarce tokens: an edge's own fetch would serve that edge alone."""

    async def scenario(site):
        def refuse(*arguments):
            raise errors.LimitExceededError("the rate limit of s is used up")

        site.nodes["holder-1"].direct_node.endpoints.take_token = refuse
        with pytest.raises(errors.LimitExceededError):
            await site.nodes["edge-1"].ask("/objects/1")
        return site.sent()

    assert run_scenario(scenario) == {}


def test_purge_known_only_to_the_edge_makes_the_holder_fetch_again():
    async def scenario(site):
        holder, edge = site.nodes["holder-1"], site.nodes["edge-1"]
        holder.respond = lambda key, headers, body: complete_answer(
            headers["x-request-id"], b"n%d" % len(holder.sent)
        )
        first = (await site.nodes["edge-2"].ask("/objects/1")).body
        site.put(items.LEDGER, "purge/path/h/objects/1", {"purge": "path"}, "edge-1")
        assert holder.context.ledger.applied < edge.context.ledger.applied
        return first, (await edge.ask("/objects/1")).body

    assert run_scenario(scenario) == (b"n1", b"n2")


def test_answer_of_a_holder_with_an_older_configuration_is_not_used():
    async def scenario(site):
        # The edge has a new route, to another service; its holder still has the old route.
        edge = site.nodes["edge-1"]
        edge.put(items.CONFIGURATION, "upstream/t", {"version": 1, "item": {"name": "t", "version": 1}})
        edge.origin("c", service="t")
        edge.route("objects", kind="cacheable", service="t")
        assert (await edge.ask("/objects/1")).status == 200
        return site.sent(), edge.instances_asked()

    assert run_scenario(scenario) == ({"edge-1": 1}, ["c"])


def test_holder_confirms_an_object_that_the_edge_still_has_without_sending_its_body():
    async def scenario(site):
        holder = site.nodes["holder-1"]
        holder.respond = lambda key, headers, body: complete_answer(headers["x-request-id"], etag='"1"')
        for _ in range(2):
            assert (await site.nodes["edge-1"].ask("/objects/1")).body == b"whole"
            await asyncio.sleep(11)
        return site.reply_kinds

    assert run_scenario(scenario) == ["object", "same"]


@pytest.mark.parametrize(("edges", "calls"), [(3, 0), (9, 1)])
def test_holder_outside_a_routes_regions_is_asked_only_while_enough_edges_inside_are_up(edges, calls):
    async def scenario(site):
        for node in site.nodes.values():
            node.route("objects", kind="cacheable", regions=["one"])
        answer = await site.nodes["edge-1"].ask("/objects/1")
        return answer.status, len(site.calls)

    assert run_scenario(scenario, edges=edges, edge_1="east", holder_1="east") == (200, calls)


def test_scarce_rate_has_each_object_fetched_by_one_holder_and_no_request_forwarded_twice():
    async def scenario(site):
        for node in site.nodes.values():
            node.put(
                items.CONFIGURATION,
                "upstream/s",
                {"version": 9, "item": {"name": "s", "version": 9, "rate": 40.0, "connections": 50}},
            )
            node.direct_node.endpoints.is_scarce = lambda service: True
        for name in ("edge-1", "edge-2"):
            for number in range(6):
                assert (await site.nodes[name].ask(f"/objects/{number}")).status == 200
        return site.sent()

    sent = run_scenario(scenario, holders=2, edge_2="south", holder_2="south")
    assert sum(sent.values()) == 6
    assert set(sent) == {"holder-1", "holder-2"}


def test_fleet_of_few_edges_fetches_without_holders():
    async def scenario(site):
        for node in site.nodes.values():
            node.context.settings = node.context.settings._replace(holder_edges=3)
        assert (await site.nodes["edge-1"].ask("/objects/1")).status == 200
        return site.sent()

    assert run_scenario(scenario) == {"edge-1": 1}


def test_draining_holder_refuses_and_the_edge_fetches_by_itself():
    async def scenario(site):
        site.nodes["holder-1"].context.is_draining = True
        assert (await site.nodes["edge-1"].ask("/objects/1")).status == 200
        return site.sent()

    assert run_scenario(scenario) == {"edge-1": 1}


def test_holders_fetch_ends_with_the_last_edge_that_waits_for_it():
    async def scenario(site):
        origins = departing_clients.SlowOrigins(site.nodes["holder-1"])
        edges = [asyncio.create_task(site.nodes[f"edge-{n}"].ask("/objects/1")) for n in (1, 2)]
        await asyncio.sleep(0.05)
        cancelled_runs = []
        for edge in edges:
            edge.cancel()
            await asyncio.wait([edge])
            await asyncio.sleep(0.01)
            cancelled_runs.append(origins.cancelled())
        return cancelled_runs, site.sent()

    assert run_scenario(scenario) == ([[False], [True]], {"holder-1": 1})


def test_holder_that_fetches_a_purged_object_again_has_work_in_flight_without_a_gap():
    async def scenario(site):
        holder = site.nodes["holder-1"]
        # What a drain of the holder would see, at each step of the event loop after the first fetch.
        is_busy = []

        async def watch():
            for _ in range(LOOP_STEPS):
                is_busy.append(bool(holder.context.in_flight))
                await asyncio.sleep(0)

        async def purge_during_first_fetch(key, headers, body):
            await asyncio.sleep(0.1)
            if len(holder.sent) == 1:
                site.put(items.LEDGER, "purge/path/h/objects/1", {"purge": "path"}, "holder-1")
                holder.watching = asyncio.create_task(watch())
            return complete_answer(headers["x-request-id"], b"n%d" % len(holder.sent))

        holder.respond = purge_during_first_fetch
        response = await site.nodes["edge-1"].ask("/objects/1")
        await holder.watching
        return response.body, len(is_busy), all(is_busy)

    assert run_scenario(scenario) == (b"n2", LOOP_STEPS, True)
