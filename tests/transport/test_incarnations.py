"""Asks between nodes are bound to one life of the peer, and to one version of the messages."""

import asyncio
import random

import cluster
import pytest

import irisstand.controlplane.changes.orders as orders
import irisstand.counters as counting
import irisstand.errors as errors
import irisstand.state.items as items
import irisstand.transport.codec as codec
import irisstand.transport.peers as peers
from irisstand.simulator import memory_network, virtual_time

PLACE = ("10.0.0.2", 7000)


def play(scene, answer):
    """One asker, and one peer whose handler for "do" is `answer`."""

    async def whole():
        lines = memory_network.SimulatedNetwork(random.Random(1))
        actor = virtual_time.Actor("peer")
        asked = peers.Transport(memory_network.HostNetwork(lines, "10.0.0.2"), counting.Counters(), "peer")
        asker = peers.Transport(memory_network.HostNetwork(lines, "10.0.0.1"), counting.Counters(), "asker")
        asked.own_incarnation_id = lambda: "second"
        asked.handlers["do"] = answer
        await actor.start(asked.open(PLACE))
        return await scene(asker, asked)

    return virtual_time.run(whole())


def test_an_ask_for_an_earlier_life_is_refused_before_anything_runs():
    runs = []

    async def answer(sender, body):
        runs.append(body)
        return ("ran",)

    async def scene(asker, asked):
        with pytest.raises(errors.IncarnationEndedError) as raised:
            await asker.call(PLACE, "peer", "do", (), 1.0, "first")
        # Certainly not carried out, as every other kind that lets a caller ask elsewhere.
        assert isinstance(raised.value, errors.NotSentError) and not runs
        assert asked.counters.total("asks_for_ended_lives") == 1
        assert await asker.call(PLACE, "peer", "do", (), 1.0, "second") == ["ran"]
        assert await asker.call(PLACE, "peer", "do", (), 1.0) == ["ran"]
        # Falsely declared failed, it has a new life and is the same process still.
        asked.own_incarnation_id = lambda: "third"
        assert await asker.call(PLACE, "peer", "do", (), 1.0, "third") == ["ran"]
        assert await asker.call(PLACE, "peer", "do", (), 1.0, "second") == ["ran"]

    play(scene, answer)


def test_a_late_reply_to_a_withdrawn_ask_reaches_nobody_else():
    async def answer(sender, body):
        if body[0] == "slow":
            try:
                await asyncio.sleep(0.5)
            except asyncio.CancelledError:
                # Too late to be stopped: its reply comes all the same.
                pass
        return (body[0],)

    async def scene(asker, asked):
        with pytest.raises(errors.UnansweredError):
            await asker.call(PLACE, "peer", "do", ("slow",), 0.2)
        replies = await asyncio.gather(
            *(asker.call(PLACE, "peer", "do", (f"n{number}",), 1.0) for number in range(5))
        )
        assert [reply[0] for reply in replies] == [f"n{number}" for number in range(5)]

    play(scene, answer)


def test_a_frame_of_an_unknown_version_is_a_typed_error_and_counted():
    async def answer(sender, body):
        return ()

    packed = codec.encode(codec.Hello("asker", "life"))
    changed = bytes([packed[0], 9]) + packed[2:]
    with pytest.raises(codec.UnknownProtocolError):
        codec.decode(changed)

    async def scene(asker, asked):
        stream = await asker.net.connect(PLACE)
        stream.write(changed)
        with pytest.raises(ConnectionResetError):
            await stream.read()
        assert asked.counters.get("frames_dropped", reason="UnknownVersion") == 1

    play(scene, answer)


def test_every_message_comes_back_as_it_was():
    for message in (
        codec.Hello("n", "l"),
        codec.Request(1, "read", ["x"], "l"),
        codec.Request(1, "read", ["x"]),
        codec.Response(2, ["x"]),
        codec.ErrorResponse(3, errors.WireError("unreached", "text", "remedy", 1.0)),
        codec.Cancel(4),
    ):
        assert codec.decode(codec.encode(message)) == message
    # As the version before writes them, and reads an ask to a peer that told no life.
    assert codec.decode(codec.pack(("hello", 0, ("n",)))) == codec.Hello("n")
    assert codec.unpack(codec.encode(codec.Request(1, "read", ["x"]))) == ("ask", 1, ["read", ["x"]])


def test_an_order_whose_asker_has_gone_is_not_decided_later():
    async def scene(day):
        await asyncio.sleep(2)
        node, asker = day.cluster.nodes["agency-2"], day.cluster.nodes["agency-3"]
        proposer = node.program.proposers[items.CONFIGURATION]
        before = node.program.context.configuration.value("site/north")
        order = orders.Order("change", "", [cluster.site_row(weight=9)])
        # A ballot goes on for so long that the order is still queued when its asker gives up.
        async with proposer.ballot_lock:
            ask = asker.program.context.transport.call(
                (node.placement.host, 7000), "agency-2", "order", tuple(order), 0.3
            )
            with pytest.raises(errors.UnansweredError):
                await asker.do(ask, 5)
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
        assert node.program.context.configuration.value("site/north") == before
        assert node.program.context.in_flight == 0 and proposer.queue.empty()
        # What comes after it is decided as ever.
        assert await day.actors.order("agency-3", "change", [cluster.site_row(weight=4)])

    cluster.play(scene)
