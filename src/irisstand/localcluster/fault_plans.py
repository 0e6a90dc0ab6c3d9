"""Fault plans for a run of a local cluster. A plan is an entry in the registry."""

import asyncio
import collections.abc
import signal
import typing

from irisstand.localcluster import day_plan


async def calm(cluster_run: day_plan.ClusterRun, seconds: float, say: day_plan.Say) -> None:
    """Inject no fault, only purge, for figures that others can be compared with."""
    await purges(cluster_run, seconds)


async def purges(cluster_run: day_plan.ClusterRun, seconds: float) -> None:
    """Purge one path after another."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds - 3
    number = 0
    while loop.time() < end:
        path = f"/vacancies/{number % 5 + 1}"
        number += 1
        cluster_run.records.versions[path] += 1
        version = cluster_run.records.versions[path]
        status, _ = await cluster_run.load.order("POST", "/purges", {"paths": [path]})
        if status == day_plan.HTTP_OK:
            cluster_run.checker.purged(path, loop.time(), version)
        cluster_run.checker.results[f"purge {status}"] += 1
        await asyncio.sleep(0.5)


async def kills(cluster_run: day_plan.ClusterRun, seconds: float, say: day_plan.Say) -> None:
    """Kill one node after another and restart it."""
    streaming = asyncio.create_task(purges(cluster_run, seconds))
    fleet = cluster_run.fleet
    victims = ["shield-2", "agency-1", "store-1", "agency-3"]
    pause = seconds / (len(victims) + 1)
    for name in victims:
        await asyncio.sleep(pause * 0.3)
        say(f"killing {name}")
        fleet.kill(name)
        await fleet.ended(name)
        await asyncio.sleep(pause * 0.7)
        fleet.start(name)
    await streaming


async def wipes(cluster_run: day_plan.ClusterRun, seconds: float, say: day_plan.Say) -> None:
    """Wipe a core node and restart it."""
    streaming = asyncio.create_task(purges(cluster_run, seconds))
    fleet = cluster_run.fleet
    await asyncio.sleep(seconds * 0.2)
    say("killing and wiping agency-2")
    fleet.kill("agency-2")
    await fleet.ended("agency-2")
    fleet.wipe("agency-2")
    await asyncio.sleep(1)
    fleet.start("agency-2")
    await streaming


async def roll(cluster_run: day_plan.ClusterRun, seconds: float, say: day_plan.Say) -> None:
    """Stop every process in order, one after another, and restart it: no answer may be dropped."""
    fleet = cluster_run.fleet
    cluster_run.load.planned = True
    for name in list(fleet.places):
        say(f"restarting {name}")
        fleet.kill(name, signal.SIGTERM)
        code = await fleet.ended(name, 15)
        cluster_run.checker.check("SIGTERM drains and exits 0", code == 0, f"{name} exited {code}")
        fleet.start(name)
        await fleet.ready(cluster_run.load.session, [name])
        cluster_run.checker.check("a planned restart drops no answer under way", holds=True)
    say("every process was restarted")


async def day(cluster_run: day_plan.ClusterRun, seconds: float, say: day_plan.Say) -> None:
    """Run the steps of the day plan one after another, during purges."""
    streaming = asyncio.create_task(purges(cluster_run, seconds))
    share = seconds / (len(day_plan.STEPS) + 1)
    loop = asyncio.get_running_loop()
    for number, step in enumerate(day_plan.STEPS):
        began = loop.time()
        await step(cluster_run, say)
        cluster_run.checker.results[f"step {step.__name__}"] += 1
        if number < len(day_plan.STEPS) - 1:
            await asyncio.sleep(max(0.0, share - (loop.time() - began)))
    await streaming


async def weather(cluster_run: day_plan.ClusterRun, seconds: float, say: day_plan.Say) -> None:
    """Inject partitions, loss, bad disks and jumps of the clock, during purges; no process is killed."""
    fleet = cluster_run.fleet
    streaming = asyncio.create_task(purges(cluster_run, seconds))
    sites = [site for site, _ in cluster_run.shape.sites]
    at = {site: [place.name for place in fleet.places.values() if place.site == site] for site in sites}
    machine = [p.name for p in fleet.places.values() if p.machine == "shield-machine-2"]
    steps: list[tuple[str, dict[str, typing.Any]]] = [
        ("a tenth of all datagrams is lost", {"loss": 0.1}),
        (f"site {sites[1]} is cut off", {"cuts": [at[sites[1]]]}),
        ("the sites are split two and two", {"cuts": [at[sites[0]] + at[sites[1]]]}),
        ("one machine is isolated", {"cuts": [machine]}),
        ("two core disks stall", {"disks": {"agency-1": "stalled", "agency-2": "stalled"}}),
        ("two core disks are full", {"disks": {"agency-3": "full", "agency-4": "full"}}),
        ("clocks jump an hour ahead", {"jump": 3600.0}),
        ("clocks jump two days back", {"jump": -172800.0}),
    ]
    share = (seconds - 4) / len(steps)
    for what, change in steps:
        say(what)
        fleet.forecast(**change)
        await asyncio.sleep(share * 0.5)
        fleet.forecast(cuts=[], loss=0.0, disks={})
        cluster_run.checker.results[f"step: {what}"] += 1
        await asyncio.sleep(share * 0.5)
    await streaming


Plan = collections.abc.Callable[
    [day_plan.ClusterRun, float, day_plan.Say], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
REGISTRY: dict[str, Plan] = {
    "calm": calm,
    "kills": kills,
    "wipes": wipes,
    "roll": roll,
    "day": day,
    "weather": weather,
}
