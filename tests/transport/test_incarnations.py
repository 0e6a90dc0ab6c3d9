"""Requests between nodes are meant for one incarnation of the peer and one version of the protocol."""

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


def play(scenario, handler):
    """Run a scenario with a caller and a peer whose handler of "do" requests is `handler`."""

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
    runs = []

    async def handler(sender, body):
        runs.append(body)
        return ("ran",)

    async def scenario(caller, callee):
        with pytest.raises(errors.IncarnationEndedError) as raised:
            await caller.call(ADDRESS, "peer", "do", (), 1.0, "first")
        # Certainly not carried out, as every other kind that lets a caller ask elsewhere.
        assert isinstance(raised.value, errors.NotSentError)
        assert not runs
        assert callee.counters.total("asks_for_ended_lives") == 1
        assert await caller.call(ADDRESS, "peer", "do", (), 1.0, "second") == ["ran"]
        assert await caller.call(ADDRESS, "peer", "do", (), 1.0) == ["ran"]
        # Falsely declared failed, it has a new incarnation and is the same process still.
        callee.own_incarnation_id = lambda: "third"
        assert await caller.call(ADDRESS, "peer", "do", (), 1.0, "third") == ["ran"]
        assert await caller.call(ADDRESS, "peer", "do", (), 1.0, "second") == ["ran"]

    play(scenario, handler)


def test_late_response_to_a_cancelled_request_reaches_no_other_call():
    async def handler(sender, body):
        if body[0] == "slow":
            # Too late to be stopped: its reply comes all the same.
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

    play(scenario, handler)


def test_frame_of_an_unknown_protocol_is_a_typed_error_and_counted():
    async def handler(sender, body):
        return ()

    packed = codec.encode(codec.Hello("caller", "life"))
    changed = bytes([packed[0], 9]) + packed[2:]
    with pytest.raises(codec.UnknownProtocolError):
        codec.decode(changed)

    async def scenario(caller, callee):
        stream = await caller.net.connect(ADDRESS)
        stream.write(changed)
        with pytest.raises(ConnectionResetError):
            await stream.read()
        assert callee.counters.get("frames_dropped", reason="UnknownVersion") == 1

    play(scenario, handler)


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
    # As the version before writes them, and reads a request to a peer without an incarnation.
    assert codec.decode(codec.pack(("hello", 0, ("n",)))) == codec.Hello("n")
    assert codec.unpack(codec.encode(codec.Request(1, "read", ["x"]))) == ("ask", 1, ["read", ["x"]])


def test_order_whose_caller_has_gone_is_not_decided_later():
    async def scenario(day):
        await asyncio.sleep(2)
        node, caller = day.cluster.nodes["agency-2"], day.cluster.nodes["agency-3"]
        proposer = node.program.proposers[items.CONFIGURATION]
        before = node.program.context.configuration.value("site/north")
        order = orders.Order("change", "", [cluster.site_row(weight=9)])
        # A ballot goes on for so long that the order is still queued when its caller gives up.
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
        # What comes after it is decided as ever.
        assert await day.actors.order("agency-3", "change", [cluster.site_row(weight=4)])

    cluster.play(scenario)
