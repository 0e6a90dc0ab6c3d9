"""The counter of a node's own error responses, and the event that reports work left at the end of a drain."""

import asyncio

import eliot
from departing_clients import run_scenario


def test_own_answers_are_counted_by_code_stage_of_the_shutdown_and_lateness():
    async def scenario(harness):
        harness.origins.seconds = 9
        harness.node.route("reads", kind="idempotent", timeout=1.0)
        await harness.start_request("/nowhere/1")
        harness.context.is_lame_duck = True
        await harness.start_request("/reads/1")
        get = harness.context.counters.get
        return (
            get("own_answers", code="unknown-path", stage="serving", late="False"),
            get("own_answers", code="deadline-passed", stage="lame-duck", late="True"),
            harness.context.counters.total("own_answers"),
        )

    assert run_scenario(scenario) == (1, 1, 2)


def test_end_of_a_drain_says_what_was_left_unanswered():
    async def scenario(harness):
        harness.origins.seconds = 9
        harness.context.settings = harness.context.settings._replace(drain=0.5)
        harness.context.detector.leave = lambda: None
        client = harness.start_request("/writes/1", "POST")
        await asyncio.sleep(0.01)
        events = []
        eliot.add_destinations(events.append)
        # The first destination of a process also gets the events of earlier tests.
        events.clear()
        await harness.context.drain()
        eliot.remove_destination(events.append)
        client.cancel()
        await asyncio.wait([client])
        return [
            (event["seconds"], event["in_flight"], event["connections"])
            for event in events
            if event["message_type"] == "drained"
        ]

    # The one request is counted twice: as in flight at the listener, and as an exchange with an origin.
    assert run_scenario(scenario) == [(0.5, 2, False)]
