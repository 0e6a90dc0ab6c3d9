"""Clients read and submit through one edge; the origins' answers are a little over 1 MiB and sent in chunks."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
# What was sent, answered and run.
RECORD = FOLDER / "record.txt"
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2  # noqa: E402 - found by the path above

MIB = 1024 * 1024
PIECE_BYTES = 16 * 1024
# Sizes of answers, below and above 1 MiB.
SIZES = (400_000, MIB - 20_000, MIB + 1, MIB + 5_000, MIB + 12_000, 2 * MIB)
ROUNDS = 4
TIME_MS = 2500


def content_of(target: str) -> bytes:
    """Return the content of `/ROUTE/SIZE-NUMBER`: as many bytes as the target says, different for each."""
    size = int(target.rpartition("/")[2].partition("-")[0]) if "-" in target else 100
    return (target.encode() * (size // len(target) + 1))[:size]


def pieces_of(target: str, _: bytes) -> list[bytes]:
    content = content_of(target)
    return [content[at : at + PIECE_BYTES] for at in range(0, len(content), PIECE_BYTES)]


async def scenario(network, record) -> bool:
    for origin in network.origins:
        origin.plan = pieces_of
        # The disruption: the origins do not announce the lengths of their answers.
        origin.in_chunks = stand_ins_2.has_trouble()
    wrong = collections.Counter()
    for number in range(ROUNDS):
        for size in SIZES:
            for route, method in (("reads", "GET"), ("writes", "POST"), ("objects", "GET")):
                target = f"/{route}/{size}-{number}"
                request_id = f"q-{route}-{size}-{number}"
                client = stand_ins_2.Client(stand_ins_2.front(network))
                await client.open()
                body = b"an application" if method == "POST" else None
                record(f"client sends {request_id} {method} {target}")
                answer = await client.send(method, target, request_id, TIME_MS, body)
                client.close()
                is_right = answer.body == content_of(target)
                runs = sum(run[0] == request_id for origin in network.origins for run in origin.runs)
                record(f"client got for {request_id}: {answer}; body right: {is_right}; run {runs} times")
                if 200 <= answer.status < 300 and answer.is_whole and not is_right:
                    wrong[route] += 1
                    record(f"MIXED: {request_id}: a complete success of {len(answer.body)} bytes, the origin's has {size}")
                await asyncio.sleep(0.02)
    record(f"complete successes with another body than the origin's, by route: {dict(wrong)}")
    return not wrong


if __name__ == "__main__":
    sys.exit(stand_ins_2.run_case(RECORD, scenario))
