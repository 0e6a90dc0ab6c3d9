"""Plans of failures for a rehearsal. A plan is an entry in the registry."""

import asyncio
import signal
import typing

from irisstand.localcluster import day_plan


async def calm(rehearsal: typing.Any, seconds: float, say: typing.Callable) -> None:
    """No failure, only purges, so that every figure has something to be compared with."""
    await purges(rehearsal, seconds)


async def purges(rehearsal: typing.Any, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds - 3
    number = 0
    while loop.time() < end:
        path = f"/vacancies/{number % 5 + 1}"
        number += 1
        rehearsal.records.versions[path] += 1
        version = rehearsal.records.versions[path]
        status, _ = await rehearsal.load.order("POST", "/purges", {"paths": [path]})
        if status == 200:
            rehearsal.checker.purged(path, loop.time(), version)
        rehearsal.checker.results[f"purge {status}"] += 1
        await asyncio.sleep(0.5)


async def kills(rehearsal: typing.Any, seconds: float, say: typing.Callable) -> None:
    """One node after another is killed hard and started again: a shield, its core, a store, an edge."""
    streaming = asyncio.create_task(purges(rehearsal, seconds))
    fleet = rehearsal.fleet
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


async def wipes(rehearsal: typing.Any, seconds: float, say: typing.Callable) -> None:
    """A core node loses its disk and comes back empty."""
    streaming = asyncio.create_task(purges(rehearsal, seconds))
    fleet = rehearsal.fleet
    await asyncio.sleep(seconds * 0.2)
    say("killing and wiping agency-2")
    fleet.kill("agency-2")
    await fleet.ended("agency-2")
    fleet.wipe("agency-2")
    await asyncio.sleep(1)
    fleet.start("agency-2")
    await streaming


async def roll(rehearsal: typing.Any, seconds: float, say: typing.Callable) -> None:
    """Every process is asked to stop, one after another, and started again: nothing may be dropped."""
    fleet = rehearsal.fleet
    rehearsal.load.planned = True
    for name in list(fleet.places):
        say(f"restarting {name}")
        fleet.kill(name, signal.SIGTERM)
        code = await fleet.ended(name, 15)
        rehearsal.checker.check("SIGTERM drains and exits 0", code == 0, f"{name} exited {code}")
        fleet.start(name)
        await fleet.ready(rehearsal.load.session, [name])
        rehearsal.checker.check("a planned restart drops no answer under way", True)
    say("every process was restarted")


async def day(rehearsal: typing.Any, seconds: float, say: typing.Callable) -> None:
    """All of the brief's failures one after another, under purges, with calm between them."""
    streaming = asyncio.create_task(purges(rehearsal, seconds))
    share = seconds / (len(day_plan.STEPS) + 1)
    loop = asyncio.get_running_loop()
    for number, step in enumerate(day_plan.STEPS):
        began = loop.time()
        await step(rehearsal, say)
        rehearsal.checker.results[f"step {step.__name__}"] += 1
        if number < len(day_plan.STEPS) - 1:
            await asyncio.sleep(max(0.0, share - (loop.time() - began)))
    await streaming


async def weather(rehearsal: typing.Any, seconds: float, say: typing.Callable) -> None:
    """Nobody is killed: cuts, lost datagrams, stalled and full disks, clocks that jump, under purges."""
    fleet, streaming = rehearsal.fleet, asyncio.create_task(purges(rehearsal, seconds))
    sites = [site for site, _ in rehearsal.shape.sites]
    at = {site: [place.name for place in fleet.places.values() if place.site == site] for site in sites}
    machine = [p.name for p in fleet.places.values() if p.machine == "shield-machine-2"]
    steps = [
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
        rehearsal.checker.results[f"step: {what}"] += 1
        await asyncio.sleep(share * 0.5)
    await streaming


REGISTRY: dict[str, typing.Callable] = {
    "calm": calm,
    "kills": kills,
    "wipes": wipes,
    "roll": roll,
    "day": day,
    "weather": weather,
}
