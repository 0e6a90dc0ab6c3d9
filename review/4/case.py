"""Origins replaced one after the other while their service is at its rate: whether the old ones get requests past `drain`."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import stand_ins

RATE_PER_S = 20.0
# Clients' requests a second, all the time: over a quarter of them more than the service may get.
LOAD_PER_S = 28
LOAD_SECONDS = 28.0
# Three of eight origins are replaced; when the first one is, from the start of the load, and the pause between two.
REPLACED = 3
FIRST_AFTER_SECONDS = 16.0
PAUSE_SECONDS = 2.5
COLD_SECONDS = 3.0
REMAINING_MS = 15000


async def play(fleet, record, trouble):
    fleet.version = 9
    service = {
        "name": "content", "probe": "/health", "connections": 110, "protocol": "h1", "tls": False,
        "warmup": 3.0, "cold_rate": 9.8, "rate": RATE_PER_S, "version": 9,
    }
    route = fleet.route("reports", "non_idempotent", "content", timeout=15.0, target=10.0)
    status = await fleet.order_until_taken(
        "POST", "/amendments", {"put": {"upstreams": [service], "routes": [route]}}
    )
    if status != 200:
        raise stand_ins.CannotRun(f"the route was not taken: {status}")
    await asyncio.sleep(2.5)
    old = [one for one in fleet.origins if one.service == "content"][:REPLACED]
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
    # By origin, when the platform's list shows it as draining.
    shown_at = {}
    tasks = []
    while (now := time.monotonic() - started) < LOAD_SECONDS:
        if trouble and len(shown_at) < REPLACED and now >= FIRST_AFTER_SECONDS + len(shown_at) * PAUSE_SECONDS:
            leaving = old[len(shown_at)]
            new = stand_ins.Origin(
                record, "content", f"new-{len(shown_at)}", leaving.zone, objects=fleet.objects["content"]
            )
            new.cold_until = time.monotonic() + COLD_SECONDS
            await new.start()
            fleet.origins.append(new)
            leaving.state = "draining"
            shown_at[leaving] = time.monotonic()
            record.add(f"the platform's list shows {leaving.instance} as draining, and {new.instance}")
        tasks.append(asyncio.ensure_future(send(len(tasks))))
        await asyncio.sleep(max(0.0, started + len(tasks) / LOAD_PER_S - time.monotonic()))
    await asyncio.gather(*tasks)
    record.add(f"answers: { {status: answers.count(status) for status in set(answers)} }")
    if not trouble:
        return True
    drain = stand_ins.BOUNDS["drain"]
    total = 0
    for leaving, since in shown_at.items():
        late = [run.at - since for run in leaving.arrivals if run.at > since + drain]
        total += len(late)
        record.add(
            f"{len(late)} requests reached {leaving.instance} later than {drain} s after it was shown as draining,"
            f" the last {max(late, default=0):.1f} s after it"
        )
    return total == 0


if __name__ == "__main__":
    # Four origins of each of two services.
    stand_ins.main(HERE, play, origins_each=4)
