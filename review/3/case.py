"""A machine that is stopped in order while a service is at its rate: whether requests that it read are answered."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand_ins

RATE_PER_S = 20.0
# Clients' requests a second, all the time: a quarter of them more than the service may get.
LOAD_PER_S = 25
LOAD_SECONDS = 27.0
# When the machine gets SIGTERM, from the start of the load.
STOPPED_AFTER_SECONDS = 22.0
# Clients' entry takes a node out after two misses, a second apart.
ENTRY_SECONDS = 2.0
REMAINING_MS = 20000


async def play(fleet, record, trouble):
    fleet.version = 9
    service = {
        "name": "content", "probe": "/health", "connections": 110, "protocol": "h1", "tls": False,
        "warmup": 3.0, "cold_rate": 9.8, "rate": RATE_PER_S, "version": 9,
    }
    route = fleet.route("reports", "non_idempotent", "content", timeout=20.0, target=12.0)
    status = await fleet.order_until_taken(
        "POST", "/amendments", {"put": {"upstreams": [service], "routes": [route]}}
    )
    if status != 200:
        raise stand_ins.CannotRun(f"the route was not taken: {status}")
    await asyncio.sleep(2.5)
    stopped, *others = fleet.edge_names()
    state = {"stopped_at": 0.0}
    lost = []

    async def send(number, edge):
        attempt = stand_ins.new_id()
        sent_at = time.monotonic()
        address = (fleet.machines[edge][0], fleet.front)
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            record.add(f"POST /reports/{number} id {attempt}: {edge} takes no connection")
            return
        body = b"report"
        writer.write(
            (
                f"POST /reports/{number} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\n"
                f"Time-Remaining: {REMAINING_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        status = 0
        try:
            async with asyncio.timeout(REMAINING_MS / 1000):
                status, _, _ = await stand_ins.read_answer(reader, "POST")
            ending = "the connection ended"
        except TimeoutError:
            ending = "the deadline came"
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            ending = "the connection ended"
        writer.close()
        held = time.monotonic() - sent_at
        arrived = any(run.attempt == attempt for one in fleet.origins for run in one.arrivals)
        record.add(
            f"POST /reports/{number} id {attempt} at {edge} gets {status or 'no answer: ' + ending}"
            f" after {held:.2f} s{'' if arrived else ', and reached no origin'}"
        )
        if not status and ending == "the connection ended" and held > stand_ins.BOUNDS["loss_slack"]:
            # At work at an origin in the second half of `grace`: not counted.
            if not arrived:
                lost.append(attempt)

    started = time.monotonic()
    tasks = []
    while (now := time.monotonic() - started) < LOAD_SECONDS:
        if trouble and not state["stopped_at"] and now >= STOPPED_AFTER_SECONDS:
            state["stopped_at"] = time.monotonic()
            record.add(f"{stopped} gets SIGTERM")
            fleet.processes[stopped].send_signal(signal.SIGTERM)
        is_out = state["stopped_at"] and time.monotonic() - state["stopped_at"] > ENTRY_SECONDS
        edges = others if is_out else [stopped, *others]
        tasks.append(asyncio.ensure_future(send(len(tasks), edges[len(tasks) % len(edges)])))
        await asyncio.sleep(max(0.0, started + len(tasks) / LOAD_PER_S - time.monotonic()))
    await asyncio.gather(*tasks)
    record.add(f"ends of {stopped}: {fleet.ends[stopped]}")
    record.add(
        f"{len(lost)} requests were read by {stopped}, passed on to no origin, and ended without an answer"
    )
    return not lost


if __name__ == "__main__":
    # One edge of three is stopped.
    stand_ins.main(HERE, play, edges=3)
