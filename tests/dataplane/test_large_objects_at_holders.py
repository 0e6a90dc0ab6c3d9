"""Large objects are not sent between nodes: a holder says so, and the edge fetches them itself."""

import direct_edge

from irisstand import errors
from irisstand.dataplane.cache import holder_messages
from irisstand.state import versions


class EndlessSource:
    """The body of a large response that is still arriving."""

    length, retained_bytes = None, 0

    def __init__(self):
        self.is_closed = False

    async def read(self):
        return b"x"

    def close(self):
        self.is_closed = True


def object_request():
    return holder_messages.ObjectRequest(
        "objects", "s", "h", b"/objects/1", {}, 2.0, versions.NONE, "", versions.NONE, False
    )


def test_holder_gives_up_a_large_response_and_says_so():
    source = EndlessSource()

    async def scenario(harness):
        harness.respond = lambda key, headers, body: direct_edge.complete_answer("", source)
        server = harness.direct_node.object_server
        return await server.on_object_request("edge-1", list(object_request().to_wire()))

    body = direct_edge.run_scenario(scenario)
    assert holder_messages.TooLarge.is_in(body)
    assert source.is_closed


def test_edge_does_not_ask_a_holder_again_for_a_large_object():
    async def scenario(harness):
        harness.add_member("holder-1", "holder")
        asked = []

        async def call(address, name, kind, body, timeout_seconds):
            asked.append(kind)
            return list(holder_messages.TooLarge().to_wire())

        harness.context.transport.call = call
        harness.direct_node.endpoints.fleet.uses_holders = lambda: True
        harness.direct_node.endpoints.fleet.may_hold = lambda route: True
        first = await harness.ask("/objects/1")
        asked_once = len(asked)
        harness.direct_node.reader.cache.shrink(0)
        second = await harness.ask("/objects/1")
        return first.body, second.body, asked_once, len(asked)

    assert direct_edge.run_scenario(scenario) == (b"whole", b"whole", 1, 1)


def test_fetches_that_follow_a_holder_stay_within_the_retry_budget():
    """Guards against BUDGET: each new large object is run twice, for its holder and for the edge."""
    objects_read = 100

    async def scenario(harness):
        async def call(address, name, kind, body, timeout_seconds):
            return list(holder_messages.TooLarge().to_wire())

        harness.add_member("holder-1", "holder")
        harness.context.transport.call = call
        harness.direct_node.endpoints.fleet.uses_holders = lambda: True
        harness.direct_node.endpoints.fleet.may_hold = lambda route: True
        statuses = []
        for number in range(objects_read):
            try:
                statuses.append((await harness.ask(f"/objects/{number}")).status)
            except errors.LimitExceededError as error:
                statuses.append(error.status)
        again = (await harness.ask(f"/objects/{objects_read - 1}")).status
        budget = harness.direct_node.origins.budget("s")
        return statuses.count(200), again, budget.allowance + budget.share * objects_read

    served, again, allowed = direct_edge.run_scenario(scenario)
    assert 0 < served <= allowed
    assert again == 200
