"""Clients download objects of 10 MiB through one edge, five a second; their links are fast, or those of phones."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2  # noqa: E402 - found by the path above

PIECE_BYTES = 64 * 1024
OBJECT_BYTES = 160 * PIECE_BYTES
DOWNLOADS = 40
GAP_SECONDS = 0.2
# The edges of a small deployment, as in its site file; the clients are all connected to the first of them.
EDGES = 8
# The pause of a client after each read of up to 64 KiB. With the disruption, a download takes about five seconds;
# a client never rests longer than this, where `idle` allows 15 s.
READ_PAUSE_SECONDS = 0.03 if stand_ins_2.has_trouble() else 0.0
# The windows of the clients' links are small, with and without the disruption.
WINDOW_BYTES = 64 * 1024
TIME_MS = 20_000
# The rule counts more than three requests on kept connections.
ALLOWED_CUTS = 3


def content_of(target: str) -> bytes:
    return (target.encode() * (OBJECT_BYTES // len(target) + 1))[:OBJECT_BYTES]


def pieces_of(target: str, _: bytes) -> list[bytes]:
    content = content_of(target) if "-" in target else b"small"
    return [content[at : at + PIECE_BYTES] for at in range(0, len(content), PIECE_BYTES)]


async def scenario(network, record) -> bool:
    for origin in network.origins:
        origin.plan = pieces_of
    for number in range(2, EDGES + 1):
        await network.start(f"edge-{number}", 3 + number, f"z{1 + number % 3}")
    network.version += 10
    # The timeout and the attempts of the route are those of the page's example but for the time that a
    # download may take; each origin accepts 110 connections, as the site files say.
    change = network.initial_configuration()
    for route in change["put"]["routes"]:
        route["timeout"] = 20
    for service in change["put"]["upstreams"]:
        service["connections"] = 110
    change["put"]["limits"].update(header_bytes=16384, body_bytes=67108864, header=3, idle=15)
    assert await network.accepts(change)
    # Later than `config_apply` and `contact`, so that the configuration is in force and all is calm.
    await asyncio.sleep(8)
    cuts = []

    async def download(number: int) -> None:
        client = stand_ins_2.Client(stand_ins_2.front(network), WINDOW_BYTES)
        await client.open()
        # The connection is a kept one: it has carried a request before.
        await client.send("GET", "/reads/first", f"first{number}", 2500)
        await asyncio.sleep(GAP_SECONDS * number)
        target, request_id = f"/reads/large-{number}", f"large{number}"
        record(f"client sends {request_id} GET {target}")
        answer = await client.send("GET", target, request_id, TIME_MS, read_pause=READ_PAUSE_SECONDS)
        client.close()
        record(f"client got for {request_id}: {answer}")
        if answer.status == 200 and not answer.is_whole:
            cuts.append(request_id)
            record(f"LOST: {request_id}: the connection ended after {len(answer.body)} of {OBJECT_BYTES} bytes")

    await asyncio.gather(*map(download, range(DOWNLOADS)))
    record(f"answers cut off: {len(cuts)} of {DOWNLOADS}")
    return len(cuts) <= ALLOWED_CUTS


if __name__ == "__main__":
    sys.exit(stand_ins_2.run_case(FOLDER, scenario))
