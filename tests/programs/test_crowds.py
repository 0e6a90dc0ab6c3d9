"""Crowds of clients that we do not control must not take a process over the memory of its machine."""

import asyncio

import crowds
import deployed_programs
import deployed_settings
import pytest

# The limits of the tests' own settings. The crowd sends more than twice the memory of the machine.
EDGE_MB = 100
CONTROL_MB = 110
BODY_BYTES = 5_000_000
CLIENTS = 45
LARGEST_BODY_BYTES = 67_108_864
DESCRIPTORS = 400
# A client is not idle before the test has ended.
IDLE_SECONDS = 60
HEADER_SECONDS = 40
# An ordinary client tries again for this long; the time depends on the machine and is not checked.
PATIENCE_SECONDS = 60
HOLD_SECONDS = 3
OPERATOR_BODY_BYTES = 4_000_000
FRAME_BYTES = 8_000_000


class CrowdedNetwork(deployed_programs.DeployedNetwork):
    """A network of machines with little memory, and clients with large limits."""

    def __init__(self, folder, edge_mb=EDGE_MB, body_bytes=BODY_BYTES):
        self.body_bytes = body_bytes
        limits = {
            "edge": deployed_settings.MachineLimits(edge_mb, DESCRIPTORS, enforced=False),
            "shield": deployed_settings.MachineLimits(CONTROL_MB, DESCRIPTORS, enforced=False),
        }
        super().__init__(folder, limits, crowds.LargeAnswerOrigin)

    def initial_configuration(self):
        configuration = super().initial_configuration()
        configuration["put"]["limits"] |= {
            "body_bytes": self.body_bytes,
            "idle": IDLE_SECONDS,
            "header": HEADER_SECONDS,
        }
        for route in configuration["put"]["routes"]:
            route["timeout"] = IDLE_SECONDS
        return configuration

    def front(self):
        return ("127.0.7.4", self.ports[2])

    def check_machine(self, name, memory_mb):
        """Check that a process lives and keeps within the memory and the descriptors of its machine."""
        assert self.exit_codes() == {}, self.log_of(name)
        pid = self.processes[name].pid
        assert crowds.peak_resident_mb(pid) < memory_mb
        assert crowds.open_descriptors(pid) < DESCRIPTORS

    async def check_ordinary_request(self):
        """Check that an ordinary client is served in the end, as calm clients are."""
        for path, method, body in (
            ("/reads/ordinary", "GET", None),
            ("/writes/ordinary", "POST", b"x" * 10_000),
        ):
            await self.wait_until(
                lambda path=path, method=method, body=body: self.responds_with(path, 200, method, body=body),
                PATIENCE_SECONDS,
            )


def run_crowd(folder, make_crowd, prepare=None):
    """Start a network and let a crowd come and stay; check an edge while the crowd is still connected."""

    async def scenario():
        async with CrowdedNetwork(folder) as network:
            await network.wait_until_serving()
            if prepare is not None:
                prepare(network)
            async with crowds.Crowd(network.front(), receive_buffer=4096) as crowd:
                await crowd.send(make_crowd())
                await asyncio.sleep(HOLD_SECONDS)
                network.check_machine("edge-1", EDGE_MB)
                await network.check_ordinary_request()
                network.check_machine("edge-1", EDGE_MB)

    asyncio.run(scenario())


def make_origins_slow(network):
    for origin in network.origins:
        origin.slow_seconds = 5.0


def test_many_whole_large_bodies_do_not_exhaust_an_edge(tmp_path):
    def crowd():
        return [crowds.sized_body("POST", "/writes/slow", BODY_BYTES, BODY_BYTES, n) for n in range(CLIENTS)]

    run_crowd(tmp_path, crowd, make_origins_slow)


def test_many_large_bodies_that_stop_short_of_their_end_do_not_exhaust_an_edge(tmp_path):
    def crowd():
        return [crowds.sized_body("POST", "/writes/1", BODY_BYTES, BODY_BYTES - 1, n) for n in range(CLIENTS)]

    run_crowd(tmp_path, crowd)


@pytest.mark.parametrize(("chunk_bytes", "chunks"), [(1_000_000, 4), (2, 40_000)])
def test_many_chunked_bodies_that_stop_short_of_their_end_do_not_exhaust_an_edge(
    chunk_bytes, chunks, tmp_path
):
    def crowd():
        return [crowds.chunked_body("POST", "/writes/1", chunk_bytes, chunks, n) for n in range(CLIENTS)]

    run_crowd(tmp_path, crowd)


def test_many_slow_readers_of_long_answers_do_not_exhaust_an_edge(tmp_path):
    def make_answers_large(network):
        for origin in network.origins:
            origin.answer_bytes = BODY_BYTES

    def crowd():
        return [
            [crowds.request_head("GET", f"/reads/large-{n}", f"Attempt-Id: c{n}")] for n in range(CLIENTS)
        ]

    run_crowd(tmp_path, crowd, make_answers_large)


def test_more_unfinished_heads_than_descriptors_do_not_exhaust_an_edge(tmp_path):
    def crowd():
        return [crowds.unfinished_head(8000, n) for n in range(DESCRIPTORS + 100)]

    run_crowd(tmp_path, crowd)


# The memory of an edge in each deployment, and the limit of bodies in all of them.
@pytest.mark.parametrize("edge_mb", [260, 300, 200, 88])
def test_single_body_of_the_largest_size_is_served_in_calm(edge_mb, tmp_path):
    async def scenario():
        async with CrowdedNetwork(tmp_path, edge_mb, LARGEST_BODY_BYTES) as network:
            await network.wait_until_serving()
            for origin in network.origins:
                origin.answer_bytes = 1000
            body = b"x" * LARGEST_BODY_BYTES
            status, _, _ = await network.send_request(
                "/writes/large", "POST", body, **{"Time-Remaining": "60000"}
            )
            assert status == 200
            assert [len(run.body) for run in network.origin_runs("app") if run.method == "POST"] == [
                len(body)
            ]
            network.check_machine("edge-1", edge_mb)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("name", "memory_mb", "path"),
    [("shield-1", CONTROL_MB, "/amendments"), ("edge-1", EDGE_MB, "/_irisstand/ring")],
)
def test_many_large_operator_bodies_that_stop_short_do_not_exhaust_a_process(name, memory_mb, path, tmp_path):
    async def scenario():
        async with CrowdedNetwork(tmp_path) as network:
            await network.wait_until_serving()
            address = network.address_of_pages(name)
            async with crowds.Crowd(address) as crowd:
                length = OPERATOR_BODY_BYTES
                await crowd.send(
                    crowds.sized_body("POST", path, length, length - 1, n) for n in range(CLIENTS)
                )
                await asyncio.sleep(HOLD_SECONDS)
                network.check_machine(name, memory_mb)
                await network.wait_until(lambda: network.shows_pages(name), PATIENCE_SECONDS)
                await network.check_ordinary_request()
                network.check_machine(name, memory_mb)

    asyncio.run(scenario())


@pytest.mark.parametrize(("name", "memory_mb"), [("shield-1", CONTROL_MB), ("edge-1", EDGE_MB)])
def test_many_unfinished_frames_do_not_exhaust_a_process(name, memory_mb, tmp_path):
    def frame():
        yield FRAME_BYTES.to_bytes(4, "big")
        for _ in range(FRAME_BYTES // crowds.PIECE_BYTES):
            yield b"x" * crowds.PIECE_BYTES

    async def scenario():
        async with CrowdedNetwork(tmp_path) as network:
            await network.wait_until_serving()
            async with crowds.Crowd(network.address_of_frames(name)) as crowd:
                await crowd.send(frame() for _ in range(CLIENTS))
                await asyncio.sleep(HOLD_SECONDS)
                network.check_machine(name, memory_mb)
                await network.check_ordinary_request()
                assert await network.accepts(network.initial_configuration())
                network.check_machine(name, memory_mb)

    asyncio.run(scenario())
