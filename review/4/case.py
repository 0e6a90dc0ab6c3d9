"""An origin that leaves while its service is at its rate: whether it still gets requests past `drain`."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import stand_ins

RATE_PER_S = 20.0
# Clients' requests a second: under the rate, and twice the rate.
USUAL_PER_S = 14
BURST_PER_S = 40
BURST_SECONDS = 8.0
# When the origin begins to leave, from the start of the load.
LEAVES_AFTER_SECONDS = 5.0
REMAINING_MS = 15000


async def play(fleet, record, trouble):
    fleet.version = 9
    service = {
        "name": "content", "probe": "/health", "connections": 110, "protocol": "h1", "tls": False,
        "warmup": 3.0, "cold_rate": 9.8, "rate": RATE_PER_S, "version": 9,
    }
    route = fleet.route("reports", "non_idempotent", "content", timeout=15.0, target=8.0)
    status = await fleet.order_until_taken(
        "POST", "/amendments", {"put": {"upstreams": [service], "routes": [route]}}
    )
    if status != 200:
        raise stand_ins.CannotRun(f"the route was not taken: {status}")
    await asyncio.sleep(2.5)
    leaving = next(one for one in fleet.origins if one.service == "content")
    others = [one for one in fleet.origins if one.service == "content" and one is not leaving]
    answers = []

    async def send(number):
        edge = fleet.edge_names()[number % len(fleet.edge_names())]
        attempt = stand_ins.new_id()
        status, _, _ = await fleet.ask(
            edge, "POST", f"/reports/{number}", attempt, body=b"report", remaining_ms=REMAINING_MS
        )
        record.add(f"POST /reports/{number} id {attempt} at {edge} gets {status or 'no answer'}")
        answers.append(status)

    started = time.monotonic()
    shown_at = 0.0
    tasks = []
    per_second = BURST_PER_S if trouble else USUAL_PER_S
    while (now := time.monotonic() - started) < BURST_SECONDS:
        if not shown_at and now >= LEAVES_AFTER_SECONDS:
            leaving.state = "draining"
            shown_at = time.monotonic()
            record.add(f"the platform's list shows {leaving.instance} as draining")
        tasks.append(asyncio.ensure_future(send(len(tasks))))
        await asyncio.sleep(1 / per_second)
    await asyncio.gather(*tasks)
    drain = stand_ins.BOUNDS["drain"]
    late = [run.at - shown_at for run in leaving.arrivals if run.at > shown_at + drain]
    elsewhere = [run for one in others for run in one.arrivals if run.at > shown_at + drain]
    record.add(f"answers: { {status: answers.count(status) for status in set(answers)} }")
    record.add(
        f"{len(late)} requests reached {leaving.instance} later than {drain} s after that, the last"
        f" {max(late, default=0):.1f} s after it; {len(elsewhere)} reached the other origins then"
    )
    return not late


if __name__ == "__main__":
    stand_ins.main(HERE, play)
