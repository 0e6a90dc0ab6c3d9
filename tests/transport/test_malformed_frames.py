"""Tests that malformed frames are counted and rejected, and neither crash a node nor change its state."""

import asyncio
import pathlib
import random
import re

import cluster
import random_values

import irisstand
from irisstand import errors
from irisstand.simulator import memory_network
from irisstand.state import items
from irisstand.transport import codec


async def connect(day, name):
    network = memory_network.HostNetwork(day.cluster.network, "10.0.9.9")
    return await network.connect((day.cluster.nodes[name].placement.host, 7000))


def test_malformed_streams_are_closed_and_counted():
    async def scenario(day):
        malformed_payloads = [
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
            for payload in malformed_payloads:
                stream = await connect(day, name)
                stream.write(payload)
                try:
                    async with asyncio.timeout(5):
                        while True:
                            await stream.read()
                except ConnectionResetError:
                    pass
            assert context.counters.total("frames_dropped") - before == len(malformed_payloads)
        assert (await day.actors.send_request("edge-1", "GET", "/vacancies/1"))[0] == 200

    cluster.run_scenario(scenario)


def test_random_bodies_of_every_kind_of_request_crash_no_node_and_change_no_table():
    async def scenario(day):
        randomness = random.Random(9)
        await asyncio.sleep(20)
        rejected = 0
        for name in ("agency-3", "shield-1", "store-1", "edge-2"):
            node = day.cluster.nodes[name]
            before = {
                table: replica.root_digest() for table, replica in node.program.context.replicas.items()
            }
            applied_versions = {
                table: replica.applied for table, replica in node.program.context.replicas.items()
            }
            kinds = [
                kind for kind in node.program.context.transport.handlers if kind not in ("roster", "order")
            ]
            for kind in [*kinds, "no-such-kind"]:
                for _ in range(8):
                    body = tuple(
                        random_values.random_value(randomness) for _ in range(randomness.randrange(10))
                    )
                    source = day.cluster.nodes["edge-1"]
                    address = (node.placement.host, 7000)
                    call = source.program.context.transport.call(address, name, kind, body, 0.3)
                    try:
                        await source.run(call, 5)
                    except errors.IrisError:
                        rejected += 1
            assert not node.program.context.crashed.done()
            for table, replica in node.program.context.replicas.items():
                if replica.applied == applied_versions[table]:
                    assert replica.root_digest() == before[table]
        assert rejected > 80
        await day.cluster.wait_until_ready()
        assert await day.actors.order("agency-3", "change", [cluster.site_row(weight=4)])

    cluster.run_scenario(scenario)


def test_protocols_one_version_apart_are_accepted_and_no_others():
    packed = codec.pack(("ping", 1))
    for protocol in range(0, 6):
        packed_with_protocol = bytes([packed[0], protocol]) + packed[2:]
        try:
            assert codec.unpack(packed_with_protocol) == ("ping", 1)
            assert abs(protocol - codec.PROTOCOL) <= 1
        except errors.MalformedFrameError:
            assert abs(protocol - codec.PROTOCOL) > 1


def test_no_program_reads_a_wall_clock():
    """Wall clocks jump at some sites, so a program that read one would use wrong times there."""
    source = pathlib.Path(irisstand.__file__).parent
    source_files = [path for path in source.rglob("*.py") if "rehearsal" not in path.parts]
    assert len(source_files) > 40
    assert items.TABLES
    for path in source_files:
        found = re.findall(r"time\.time\(|datetime|time\.localtime|time\.gmtime", path.read_text())
        assert not found, (path, found)
