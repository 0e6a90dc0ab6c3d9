"""Two routes that share host and prefix but for the case of letters: whether the call is refused."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import stand_ins

# Past `config_apply` (2 s) after the acknowledgement.
AFTER_SECONDS = 2.5
REQUESTS = 10


async def play(fleet, record, trouble):
    # In force: route `lists`, host shop.example, prefix /lists/, to the service `app`.
    host = "Shop.Example" if trouble else "other.example"
    fleet.version = 9
    added = fleet.route("z-lists", "idempotent", "content", host=host, prefix="/lists/")
    status = await fleet.order_until_taken("POST", "/amendments", {"put": {"routes": [added]}})
    record.add(f"a route for host {host} and prefix /lists/, to the service content: {status}")
    await asyncio.sleep(AFTER_SECONDS)
    elsewhere = 0
    for number in range(REQUESTS):
        attempt = stand_ins.new_id()
        edge = fleet.edge_names()[number % len(fleet.edge_names())]
        status_of_request, _, _ = await fleet.ask(edge, "GET", f"/lists/{number}", attempt, host=host)
        ran = [one.service for one in fleet.origins for run in one.runs if run.attempt == attempt]
        record.add(f"GET /lists/{number}, Host: {host}, gets {status_of_request}; run by {ran}")
        elsewhere += "app" in ran
    _, standing = await fleet.order("GET", "/items")
    routes = [(route["name"], route["host"], route["prefix"]) for route in (standing or {}).get("routes", [])]
    record.add(f"read back: {routes}")
    record.add(f"{elsewhere} of {REQUESTS} requests ran at a service that the route of their host does not name")
    return not (status == 200 and elsewhere)


if __name__ == "__main__":
    stand_ins.main(HERE, play)
