"""Object holders: what edges get from them, also when a holder fails or has an older configuration."""

import asyncio

import departing_clients
import direct_edge
import pytest
from direct_edge import whole

from irisstand import errors
from irisstand.simulator import virtual_time
from irisstand.state import items


class Site:
    """Edges and holders that call each other's handlers directly; `silent` ones answer nothing."""

    def __init__(self, edges=2, holders=1, **places):
        self.nodes, self.silent, self.asked, self.replies = {}, set(), [], []
        for role, count in (("direct", edges), ("holder", holders)):
            for number in range(1, count + 1):
                name = f"{'edge' if role == 'direct' else 'holder'}-{number}"
                site = places.get(name.replace("-", "_"), "north")
                settings = direct_edge.SETTINGS._replace(
                    name=name, role=role, site=site, region="two" if site == "east" else "one"
                )
                self.nodes[name] = direct_edge.Scene(settings=settings)
        for name, node in self.nodes.items():
            for other in self.nodes.values():
                if other is not node:
                    settings = other.context.settings
                    node.member(settings.name, settings.role, settings.site, settings.region)
            node.context.transport.call = self.asker(name)

    def asker(self, sender):
        async def ask(address, name, kind, body, patience, life=""):
            self.asked.append((sender, name))
            if name in self.silent:
                await asyncio.sleep(patience)
                raise errors.UnansweredError(name)
            reply = await self.nodes[name].context.transport.handlers[kind](sender, list(body))
            self.replies.append(reply[0])
            return reply

        return ask

    def sent(self):
        return {name: len(node.sent) for name, node in self.nodes.items() if node.sent}

    def put(self, table, key, value, *names):
        for name in names or self.nodes:
            self.nodes[name].put(table, key, value)


def play(scene, **fields):
    async def run():
        return await scene(Site(**fields))

    return virtual_time.run(run())


def test_object_read_at_two_edges_is_fetched_once_by_the_holder_and_then_cached_at_each_edge():
    async def scene(site):
        for number, name in enumerate(("edge-1", "edge-2", "edge-1")):
            answer = await site.nodes[name].ask("/objects/1", request_id=f"r{number}")
            assert answer.headers["x-request-id"] == f"r{number}"
            assert answer.body == b"whole"
        return site.sent(), site.asked

    assert play(scene) == ({"holder-1": 1}, [("edge-1", "holder-1"), ("edge-2", "holder-1")])


def test_request_that_is_not_cacheable_is_never_sent_to_a_holder():
    async def scene(site):
        await site.nodes["edge-1"].ask("/reads/1")
        await site.nodes["edge-1"].ask("/writes/1", "POST")
        return site.asked

    assert play(scene) == []


def test_holder_that_does_not_answer_is_waited_for_once_and_the_edge_fetches_by_itself():
    async def scene(site):
        site.silent = {"holder-1"}
        took = []
        for number in range(3):
            started = asyncio.get_running_loop().time()
            assert (await site.nodes["edge-1"].ask(f"/objects/{number}")).status == 200
            took.append(asyncio.get_running_loop().time() - started)
        return took, site.sent(), len(site.asked)

    took, sent, asked = play(scene)
    assert took[0] < 0.8
    assert max(took[1:]) < 0.1
    assert sent == {"edge-1": 3}
    assert asked == 1


def test_edge_does_not_fetch_by_itself_when_its_holder_gets_no_token():
    """Each edge's own fetch would take a token from the owners of all, and serve that edge alone."""

    async def scene(site):
        def full(*arguments):
            raise errors.LimitExceededError("s is at its ceiling")

        site.nodes["holder-1"].part.endpoints.take_token = full
        with pytest.raises(errors.LimitExceededError):
            await site.nodes["edge-1"].ask("/objects/1")
        return site.sent()

    assert play(scene) == {}


def test_purge_known_only_to_the_edge_makes_the_holder_fetch_again():
    async def scene(site):
        holder, edge = site.nodes["holder-1"], site.nodes["edge-1"]
        holder.play = lambda key, headers, body: whole(headers["x-request-id"], b"n%d" % len(holder.sent))
        first = (await site.nodes["edge-2"].ask("/objects/1")).body
        site.put(items.LEDGER, "purge/path/h/objects/1", {"purge": "path"}, "edge-1")
        assert holder.context.ledger.applied < edge.context.ledger.applied
        return first, (await edge.ask("/objects/1")).body

    assert play(scene) == (b"n1", b"n2")


def test_answer_of_a_holder_with_an_older_configuration_is_not_used():
    async def scene(site):
        # The edge's route goes to another service now; its holder still has the old one.
        edge = site.nodes["edge-1"]
        edge.put(items.CONFIGURATION, "upstream/t", {"version": 1, "item": {"name": "t", "version": 1}})
        edge.origin("c", service="t")
        edge.route("objects", kind="cacheable", service="t")
        assert (await edge.ask("/objects/1")).status == 200
        return site.sent(), edge.instances_asked()

    assert play(scene) == ({"edge-1": 1}, ["c"])


def test_holder_confirms_an_object_that_the_edge_still_has_without_sending_its_body():
    async def scene(site):
        holder = site.nodes["holder-1"]
        holder.play = lambda key, headers, body: whole(headers["x-request-id"], etag='"1"')
        for _ in range(2):
            assert (await site.nodes["edge-1"].ask("/objects/1")).body == b"whole"
            await asyncio.sleep(11)
        return site.replies

    assert play(scene) == ["object", "same"]


@pytest.mark.parametrize(("edges", "asked"), [(3, 0), (9, 1)])
def test_holder_outside_a_routes_regions_is_asked_only_while_enough_edges_inside_are_up(edges, asked):
    async def scene(site):
        for node in site.nodes.values():
            node.route("objects", kind="cacheable", regions=["one"])
        answer = await site.nodes["edge-1"].ask("/objects/1")
        return answer.status, len(site.asked)

    assert play(scene, edges=edges, edge_1="east", holder_1="east") == (200, asked)


def test_scarce_rate_has_each_object_fetched_by_one_holder_and_no_request_forwarded_twice():
    async def scene(site):
        for node in site.nodes.values():
            node.put(
                items.CONFIGURATION,
                "upstream/s",
                {"version": 9, "item": {"name": "s", "version": 9, "rate": 40.0, "connections": 50}},
            )
            node.part.endpoints.is_scarce = lambda service: True
        for name in ("edge-1", "edge-2"):
            for number in range(6):
                assert (await site.nodes[name].ask(f"/objects/{number}")).status == 200
        return site.sent()

    sent = play(scene, holders=2, edge_2="south", holder_2="south")
    assert sum(sent.values()) == 6
    assert set(sent) == {"holder-1", "holder-2"}


def test_fleet_of_few_edges_fetches_without_holders():
    async def scene(site):
        for node in site.nodes.values():
            node.context.settings = node.context.settings._replace(holder_edges=3)
        assert (await site.nodes["edge-1"].ask("/objects/1")).status == 200
        return site.sent()

    assert play(scene) == {"edge-1": 1}


def test_draining_holder_refuses_and_the_edge_fetches_by_itself():
    async def scene(site):
        site.nodes["holder-1"].context.is_draining = True
        assert (await site.nodes["edge-1"].ask("/objects/1")).status == 200
        return site.sent()

    assert play(scene) == {"edge-1": 1}


def test_holders_fetch_ends_with_the_last_edge_that_waits_for_it():
    async def scene(site):
        origins = departing_clients.WorkingOrigins(site.nodes["holder-1"])
        edges = [asyncio.create_task(site.nodes[f"edge-{n}"].ask("/objects/1")) for n in (1, 2)]
        await asyncio.sleep(0.05)
        cut = []
        for edge in edges:
            edge.cancel()
            await asyncio.wait([edge])
            await asyncio.sleep(0.01)
            cut.append(origins.cut())
        return cut, site.sent()

    assert play(scene) == ([[False], [True]], {"holder-1": 1})
