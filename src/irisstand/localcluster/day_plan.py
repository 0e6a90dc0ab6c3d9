"""A day's plan for the rehearsal: the brief's failures one after another, on real processes."""

import asyncio
import collections.abc
import signal
import typing

Say = collections.abc.Callable[[str], None]
Rehearsal = typing.Any


async def herd(rehearsal: Rehearsal, say: Say) -> None:
    """A whole site loses its power, and comes back."""
    fleet = rehearsal.fleet
    site = rehearsal.shape.sites[1][0]
    names = [place.name for place in fleet.places.values() if place.site == site]
    say(f"site {site} goes: {', '.join(names)}")
    for name in names:
        fleet.kill(name)
    for name in names:
        await fleet.ended(name)
    await asyncio.sleep(3)
    for name in names:
        fleet.start(name)
    await fleet.ready(rehearsal.load.session, names)


async def evacuate(rehearsal: Rehearsal, say: Say) -> None:
    """A site is evacuated and returned; after five seconds none of its origins gets new work."""
    site = rehearsal.shape.sites[2][0]
    say(f"evacuating {site}")
    status, answer = await rehearsal.load.order("PUT", f"/sites/{site}/evacuation")
    rehearsal.checker.results[f"evacuation {status}"] += 1
    if status != 200:
        say(f"not evacuated: {answer}")
        return
    await asyncio.sleep(5)
    origins = [origin for origin in rehearsal.origins if origin.site == site]
    before = {origin.instance: origin.requests for origin in origins}
    await asyncio.sleep(3)
    for origin in origins:
        new = origin.requests - before[origin.instance]
        rule = "an evacuated site gets no new work after 5 s"
        rehearsal.checker.check(rule, new == 0, f"{origin.instance} got {new}")
    say(f"returning {site}")
    await rehearsal.load.order("DELETE", f"/sites/{site}/evacuation")


async def leave(rehearsal: Rehearsal, say: Say) -> None:
    """The platform says that an origin leaves; two seconds later it gets no new work."""
    for service in ("content", "application"):
        origin = next(one for one in rehearsal.origins if one.service == service)
        say(f"{origin.instance} is leaving")
        origin.state = "leaving"
        await asyncio.sleep(2)
        before = origin.requests
        await asyncio.sleep(2)
        rule = "a leaving origin gets no new work 2 s after the platform says so"
        new = origin.requests - before
        rehearsal.checker.check(rule, new == 0, f"{origin.instance} got {new}")
        # It is gone, and another comes in its place, cold.
        await origin.stop()
        await asyncio.sleep(1)
        origin.state, origin.warmup = "cold", 5.0
        await origin.start()


async def replace_core(rehearsal: Rehearsal, say: Say) -> None:
    say("agency-2 loses its disk")
    fleet = rehearsal.fleet
    fleet.kill("agency-2")
    await fleet.ended("agency-2")
    fleet.wipe("agency-2")
    fleet.start("agency-2")
    await fleet.ready(rehearsal.load.session, ["agency-2"])


async def pause(rehearsal: Rehearsal, say: Say) -> None:
    """An edge and a shield are frozen for a while; woken, they must not speak from the past."""
    fleet = rehearsal.fleet
    for name in ("edge-2", "shield-3"):
        say(f"freezing {name}")
        fleet.kill(name, signal.SIGSTOP)
    await asyncio.sleep(4)
    for name in ("edge-2", "shield-3"):
        fleet.kill(name, signal.SIGCONT)
    await asyncio.sleep(1)


async def spoil(rehearsal: Rehearsal, say: Say) -> None:
    """Origins send wrong bytes, lose answers and slow down."""
    for fault, value in (("wrong-digest", 1), ("lose-answer", 1), ("delay", 0.4), ("no-seal", 1)):
        origin = rehearsal.origins[1]
        other = rehearsal.origins[-1]
        say(f"{origin.instance} and {other.instance}: {fault}")
        origin.faults[fault] = other.faults[fault] = value
        await asyncio.sleep(2)
        origin.faults.clear()
        other.faults.clear()


async def total_loss(rehearsal: Rehearsal, say: Say) -> None:
    """Everything at once; the disks are left. Service has 15 seconds to be back."""
    fleet = rehearsal.fleet
    # What is killed hard writes no ring, so each is asked for it first.
    for name in fleet.places:
        await rehearsal.load.ask_node(name, "POST", "/_irisstand/ring")
    say("everything is killed at once")
    for name in fleet.places:
        fleet.kill(name)
    for name in fleet.places:
        await fleet.ended(name)
    await asyncio.sleep(1)
    started = asyncio.get_running_loop().time()
    fleet.start_all()
    back = await rehearsal.served_again(20)
    rule = "after a total loss service is back within 15 s"
    took = asyncio.get_running_loop().time() - started
    rehearsal.checker.check(rule, back and took <= 15, f"{took:.1f} s")
    say(f"service is back: {back}")


STEPS = (herd, evacuate, leave, replace_core, pause, spoil, total_loss)
