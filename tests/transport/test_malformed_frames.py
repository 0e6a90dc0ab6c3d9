"""Frames that make no sense: counted, answered or dropped; the process lives and its state stays."""

import asyncio
import pathlib
import random
import re

import cluster
from test_fuzz import value

import irisstand
import irisstand.errors as errors
import irisstand.state.items as items
import irisstand.transport.codec as codec
from irisstand.simulator import memory_network


async def connect(day, name):
    network = memory_network.HostNetwork(day.cluster.network, "10.0.9.9")
    return await network.connect((day.cluster.nodes[name].placement.host, 7000))


def test_malformed_streams_are_closed_and_counted():
    async def scene(day):
        bad = [
            b"",
            b"\xc1",
            codec.pack(("ask", 1, ("sync", ()))),
            codec.pack(("hello",)),
            codec.pack(("hello", 0, ())),
            codec.pack(("nonsense", 0, ())),
            b"\x93\x09" + b"x" * 30,
            b"x" * (codec.FRAME_LIMIT_BYTES + 1),
        ]
        for name in ("agency-2", "edge-1"):
            context = cluster.context(day, name)
            before = context.counters.total("frames_dropped")
            for payload in bad:
                stream = await connect(day, name)
                stream.write(payload)
                try:
                    async with asyncio.timeout(5):
                        while True:
                            await stream.read()
                except ConnectionResetError:
                    pass
            assert context.counters.total("frames_dropped") - before == len(bad)
        assert (await day.actors.ask("edge-1", "GET", "/vacancies/1"))[0] == 200

    cluster.play(scene)


def test_random_bodies_to_every_kind_of_ask_kill_nobody_and_change_no_table():
    async def scene(day):
        randomness = random.Random(9)
        await asyncio.sleep(20)
        asked = 0
        for name in ("agency-3", "shield-1", "store-1", "edge-2"):
            node = day.cluster.nodes[name]
            before = {table: copy.root_digest() for table, copy in node.program.context.replicas.items()}
            applied_versions = {table: copy.applied for table, copy in node.program.context.replicas.items()}
            kinds = [
                kind for kind in node.program.context.transport.handlers if kind not in ("roster", "order")
            ]
            for kind in [*kinds, "no-such-kind"]:
                for _ in range(8):
                    body = tuple(value(randomness) for _ in range(randomness.randrange(10)))
                    source = day.cluster.nodes["edge-1"]
                    address = (node.placement.host, 7000)
                    ask = source.program.context.transport.call(address, name, kind, body, 0.3)
                    try:
                        await source.do(ask, 5)
                    except errors.IrisError:
                        asked += 1
            assert not node.program.context.crashed.done()
            for table, copy in node.program.context.replicas.items():
                if copy.applied == applied_versions[table]:
                    assert copy.root_digest() == before[table]
        assert asked > 80
        await day.cluster.wait_until_ready()
        assert await day.actors.order("agency-3", "change", [cluster.site_row(weight=4)])

    cluster.play(scene)


def test_neighbours_one_protocol_apart_understand_one_another_and_no_others():
    packed = codec.pack(("ping", 1))
    for protocol in range(0, 6):
        changed = bytes([packed[0], protocol]) + packed[2:]
        try:
            assert codec.unpack(changed) == ("ping", 1)
            assert abs(protocol - codec.PROTOCOL) <= 1
        except errors.MalformedFrameError:
            assert abs(protocol - codec.PROTOCOL) > 1


def test_no_code_of_the_daemons_reads_a_wall_clock():
    """Clocks jump at Kildespor; whatever reads one would be wrong there."""
    source = pathlib.Path(irisstand.__file__).parent
    daemons = [path for path in source.rglob("*.py") if "rehearsal" not in path.parts]
    assert len(daemons) > 40 and items.TABLES
    for path in daemons:
        found = re.findall(r"time\.time\(|datetime|time\.localtime|time\.gmtime", path.read_text())
        assert not found, (path, found)
