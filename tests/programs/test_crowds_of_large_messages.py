"""Crowds that send or ask for messages near the largest size must not take an edge over its memory."""

import asyncio
import hashlib

import crowds
import pytest
import test_crowds

SMALL_EDGE_MB = 100
TRIAL_EDGE_MB = 300
# The limit of bodies, and somewhat less than that.
LARGEST_BYTES = test_crowds.LARGEST_BODY_BYTES
NEAR_LARGEST_BYTES = 60_000_000
STAY_SECONDS = 8
DROPS = 6

# Memory of the edge, clients and size of the answers: the two of the trials, and few clients on a small edge.
CROWDS = [(TRIAL_EDGE_MB, 56, 9_000_000), (SMALL_EDGE_MB, 8, NEAR_LARGEST_BYTES)]


class Network(test_crowds.CrowdedNetwork):
    """A network whose clients may send bodies of the largest size."""

    def __init__(self, folder, edge_mb):
        super().__init__(folder, edge_mb, LARGEST_BYTES)
        self.edge_mb = edge_mb

    def set_answer_bytes(self, answer_bytes):
        for origin in self.origins:
            origin.answer_bytes = answer_bytes

    def check_edge(self):
        self.check_machine("edge-1", self.edge_mb)

    async def check_edge_serves(self):
        self.check_edge()
        await self.check_ordinary_request()
        self.check_edge()


def get(path, number):
    return crowds.request_head("GET", f"{path}-{number}", f"Attempt-Id: c{number}")


async def slow_readers(network, clients, path="/reads/large"):
    await asyncio.gather(
        *(crowds.read_slowly(network.front(), get(path, n), STAY_SECONDS) for n in range(clients))
    )


async def clients_that_drop(network, clients, path="/reads/large"):
    await asyncio.gather(
        *(
            crowds.drop_answers(network.front(), [get(path, n * DROPS + i) for i in range(DROPS)])
            for n in range(clients)
        )
    )


async def bodies_that_stop_short(network, clients):
    async with crowds.Crowd(network.front()) as crowd:
        await crowd.send(
            crowds.sized_body("POST", "/writes/1", NEAR_LARGEST_BYTES, NEAR_LARGEST_BYTES - 1, n)
            for n in range(clients)
        )
        await asyncio.sleep(test_crowds.HOLD_SECONDS)


def run(folder, edge_mb, scenario):
    async def play():
        async with Network(folder, edge_mb) as network:
            await network.wait_until_serving()
            await scenario(network)
            await network.check_edge_serves()

    asyncio.run(play())


@pytest.mark.parametrize(("edge_mb", "clients", "answer_bytes"), CROWDS)
@pytest.mark.parametrize("path", ["/reads/large", "/objects/large"])
def test_slow_readers_of_large_answers_do_not_exhaust_an_edge(edge_mb, clients, answer_bytes, path, tmp_path):
    async def scenario(network):
        network.set_answer_bytes(answer_bytes)
        await slow_readers(network, clients, path)

    run(tmp_path, edge_mb, scenario)


@pytest.mark.parametrize(("edge_mb", "clients", "answer_bytes"), CROWDS)
@pytest.mark.parametrize("path", ["/reads/large", "/objects/large"])
def test_clients_that_drop_large_answers_do_not_exhaust_an_edge(
    edge_mb, clients, answer_bytes, path, tmp_path
):
    async def scenario(network):
        network.set_answer_bytes(answer_bytes)
        await clients_that_drop(network, clients, path)

    run(tmp_path, edge_mb, scenario)


@pytest.mark.parametrize(("edge_mb", "clients", "answer_bytes"), CROWDS)
def test_slow_readers_beside_clients_that_drop_do_not_exhaust_an_edge(
    edge_mb, clients, answer_bytes, tmp_path
):
    async def scenario(network):
        network.set_answer_bytes(answer_bytes)
        await asyncio.gather(
            slow_readers(network, clients // 2),
            clients_that_drop(network, clients // 2, "/objects/large"),
        )

    run(tmp_path, edge_mb, scenario)


def test_crowds_that_come_and_go_do_not_exhaust_an_edge(tmp_path):
    async def scenario(network):
        for answer_bytes in (NEAR_LARGEST_BYTES, 9_000_000, 900_000):
            network.set_answer_bytes(answer_bytes)
            await slow_readers(network, 12, "/objects/large")
            await clients_that_drop(network, 12)
            await bodies_that_stop_short(network, 12)
            await network.check_edge_serves()

    run(tmp_path, SMALL_EDGE_MB, scenario)


def test_large_answers_that_are_held_and_dropped_do_not_exhaust_an_edge(tmp_path):
    async def scenario(network):
        network.set_answer_bytes(900_000)
        await asyncio.gather(
            slow_readers(network, 120),
            clients_that_drop(network, 40),
            clients_that_drop(network, 40, "/objects/large"),
        )

    run(tmp_path, SMALL_EDGE_MB, scenario)


@pytest.mark.parametrize("path", ["/reads/endless", "/objects/endless"])
def test_origins_that_answer_without_end_do_not_exhaust_an_edge(path, tmp_path):
    async def scenario(network):
        await asyncio.gather(slow_readers(network, 8, path), clients_that_drop(network, 8, path))

    run(tmp_path, SMALL_EDGE_MB, scenario)


@pytest.mark.parametrize("missing_bytes", [0, 1])
def test_many_bodies_of_the_largest_size_do_not_exhaust_an_edge(missing_bytes, tmp_path):
    async def scenario(network):
        test_crowds.make_origins_slow(network)
        async with crowds.Crowd(network.front()) as crowd:
            await crowd.send(
                crowds.sized_body("POST", "/writes/slow", LARGEST_BYTES, LARGEST_BYTES - missing_bytes, n)
                for n in range(8)
            )
            await asyncio.sleep(test_crowds.HOLD_SECONDS)
            await network.check_edge_serves()

    run(tmp_path, SMALL_EDGE_MB, scenario)


# The memory of an edge in each deployment, and the limit of bodies in all of them.
@pytest.mark.parametrize("edge_mb", [260, 300, 200, 88])
@pytest.mark.parametrize("path", ["/reads/large", "/objects/large"])
def test_single_answer_of_the_largest_size_is_served_in_calm(path, edge_mb, tmp_path):
    async def scenario(network):
        network.set_answer_bytes(LARGEST_BYTES)
        status, headers, body = await network.send_request(path, **{"Time-Remaining": "60000"})
        assert (status, len(body)) == (200, LARGEST_BYTES)
        assert headers["Answer-Seal"] == hashlib.sha256(body).hexdigest()[:16]

    run(tmp_path, edge_mb, scenario)


def test_ordinary_callers_are_answered_beside_bodies_of_tiny_chunks(tmp_path):
    async def scenario(network):
        async with crowds.Crowd(network.front()) as crowd:
            sending = asyncio.gather(
                *(crowd.send_one(crowds.chunked_body("POST", "/writes/1", 1, 200_000, n)) for n in range(56))
            )
            await asyncio.sleep(1)
            for _ in range(8):
                await network.check_ordinary_request()
            await sending
            await network.check_edge_serves()

    run(tmp_path, TRIAL_EDGE_MB, scenario)
