"""Tests that requests reach only the intended incarnation of a peer, and only over an accepted protocol."""

import asyncio
import contextlib
import random

import cluster
import pytest

from irisstand import counters, errors
from irisstand.controlplane.changes import orders
from irisstand.simulator import memory_network, simulated_network, virtual_time
from irisstand.state import items
from irisstand.transport import codec, peers

ADDRESS = ("10.0.0.2", 7000)


def run_scenario(scenario, handler):
    """Run `scenario(caller, callee)` on a simulated network.

    Args:
        scenario: A coroutine function that is given the transports of both nodes.
        handler: The callee's handler of "do" requests.
    """

    async def run():
        shared_network = simulated_network.SimulatedNetwork(random.Random(1))
        callee_network = memory_network.HostNetwork(shared_network, "10.0.0.2")
        caller_network = memory_network.HostNetwork(shared_network, "10.0.0.1")
        actor = virtual_time.Actor("peer")
        callee = peers.Transport(callee_network, counters.Counters(), "peer")
        caller = peers.Transport(caller_network, counters.Counters(), "caller")
        callee.own_incarnation_id = lambda: "second"
        callee.handlers["do"] = handler
        await actor.start(callee.open(ADDRESS))
        return await scenario(caller, callee)

    return virtual_time.run(run())


def test_request_for_an_earlier_incarnation_is_rejected_before_its_handler_runs():
    handled_bodies = []

    async def handler(sender, body):
        handled_bodies.append(body)
        return ("ran",)

    async def scenario(caller, callee):
        with pytest.raises(errors.IncarnationEndedError) as raised:
            await caller.call(ADDRESS, "peer", "do", (), 1.0, "first")
        # A NotSentError lets the caller send the request to another peer: it was certainly not executed.
        assert isinstance(raised.value, errors.NotSentError)
        assert not handled_bodies
        assert callee.counters.total("asks_for_ended_lives") == 1
        assert await caller.call(ADDRESS, "peer", "do", (), 1.0, "second") == ["ran"]
        assert await caller.call(ADDRESS, "peer", "do", (), 1.0) == ["ran"]
        # A process that was falsely declared failed takes a new incarnation id and keeps its state, so it
        # accepts requests for both ids.
        callee.own_incarnation_id = lambda: "third"
        assert await caller.call(ADDRESS, "peer", "do", (), 1.0, "third") == ["ran"]
        assert await caller.call(ADDRESS, "peer", "do", (), 1.0, "second") == ["ran"]

    run_scenario(scenario, handler)


def test_late_response_to_a_cancelled_request_reaches_no_other_call():
    async def handler(sender, body):
        if body[0] == "slow":
            # The handler ignores its cancellation, so its reply is sent although the caller has given up.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(0.5)
        return (body[0],)

    async def scenario(caller, callee):
        with pytest.raises(errors.UnansweredError):
            await caller.call(ADDRESS, "peer", "do", ("slow",), 0.2)
        replies = await asyncio.gather(
            *(caller.call(ADDRESS, "peer", "do", (f"n{number}",), 1.0) for number in range(5))
        )
        assert [reply[0] for reply in replies] == [f"n{number}" for number in range(5)]

    run_scenario(scenario, handler)


def test_frame_of_an_unknown_protocol_is_a_typed_error_and_counted():
    async def handler(sender, body):
        return ()

    packed = codec.encode(codec.Hello("caller", "life"))
    unknown_protocol_frame = bytes([packed[0], 9]) + packed[2:]
    with pytest.raises(codec.UnknownProtocolError):
        codec.decode(unknown_protocol_frame)

    async def scenario(caller, callee):
        stream = await caller.net.connect(ADDRESS)
        stream.write(unknown_protocol_frame)
        with pytest.raises(ConnectionResetError):
            await stream.read()
        assert callee.counters.get("frames_dropped", reason="UnknownVersion") == 1

    run_scenario(scenario, handler)


def test_every_message_decodes_to_what_was_encoded():
    for message in (
        codec.Hello("n", "l"),
        codec.Request(1, "read", ["x"], "l"),
        codec.Request(1, "read", ["x"]),
        codec.Response(2, ["x"]),
        codec.ErrorResponse(3, errors.WireError("unreached", "text", "remedy", 1.0)),
        codec.Cancel(4),
    ):
        assert codec.decode(codec.encode(message)) == message
    # Nodes of the previous version send no incarnation id in a hello, and requests to them contain none.
    assert codec.decode(codec.pack(("hello", 0, ("n",)))) == codec.Hello("n")
    assert codec.unpack(codec.encode(codec.Request(1, "read", ["x"]))) == ("ask", 1, ["read", ["x"]])


def test_order_whose_caller_has_gone_is_not_decided_later():
    async def scenario(day):
        await asyncio.sleep(2)
        node, caller = day.cluster.nodes["agency-2"], day.cluster.nodes["agency-3"]
        proposer = node.program.proposers[items.CONFIGURATION]
        before = node.program.context.configuration.value("site/north")
        order = orders.Order("change", "", [cluster.site_row(weight=9)])
        # The lock holds up the next ballot, so the order is still queued when its caller gives up.
        async with proposer.ballot_lock:
            call = caller.program.context.transport.call(
                (node.placement.host, 7000), "agency-2", "order", tuple(order), 0.3
            )
            with pytest.raises(errors.UnansweredError):
                await caller.run(call, 5)
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        assert node.program.context.configuration.value("site/north") == before
        assert node.program.context.in_flight == 0
        assert proposer.queue.empty()
        # The voters still decide later orders.
        assert await day.actors.order("agency-3", "change", [cluster.site_row(weight=4)])

    cluster.run_scenario(scenario)
