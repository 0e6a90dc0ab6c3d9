"""The plan of a day: the expected failures one after another, on real processes."""

import asyncio
import collections.abc
import signal
import typing

Say = collections.abc.Callable[[str], None]
# The run of the cluster; its module imports the plans.
ClusterRun = typing.Any
HTTP_OK = 200
SERVICE_BACK_LIMIT_SECONDS = 15


async def herd(cluster_run: ClusterRun, say: Say) -> None:
    """Kill all processes of a site and restart them."""
    fleet = cluster_run.fleet
    site = cluster_run.shape.sites[1][0]
    names = [place.name for place in fleet.places.values() if place.site == site]
    say(f"site {site} goes: {', '.join(names)}")
    for name in names:
        fleet.kill(name)
    for name in names:
        await fleet.ended(name)
    await asyncio.sleep(3)
    for name in names:
        fleet.start(name)
    await fleet.ready(cluster_run.load.session, names)


async def evacuate(cluster_run: ClusterRun, say: Say) -> None:
    """Evacuate a site and return it; after five seconds none of its origins may get new work."""
    site = cluster_run.shape.sites[2][0]
    say(f"evacuating {site}")
    status, answer = await cluster_run.load.order("PUT", f"/sites/{site}/evacuation")
    cluster_run.checker.results[f"evacuation {status}"] += 1
    if status != HTTP_OK:
        say(f"not evacuated: {answer}")
        return
    await asyncio.sleep(5)
    origins = [origin for origin in cluster_run.origins if origin.site == site]
    before = {origin.instance: origin.requests for origin in origins}
    await asyncio.sleep(3)
    for origin in origins:
        new = origin.requests - before[origin.instance]
        rule = "an evacuated site gets no new work after 5 s"
        cluster_run.checker.check(rule, new == 0, f"{origin.instance} got {new}")
    say(f"returning {site}")
    await cluster_run.load.order("DELETE", f"/sites/{site}/evacuation")


async def leave(cluster_run: ClusterRun, say: Say) -> None:
    """List an origin as leaving; two seconds later it may get no new work."""
    for service in ("content", "application"):
        origin = next(one for one in cluster_run.origins if one.service == service)
        say(f"{origin.instance} is leaving")
        origin.state = "leaving"
        await asyncio.sleep(2)
        before = origin.requests
        await asyncio.sleep(2)
        rule = "a leaving origin gets no new work 2 s after the platform says so"
        new = origin.requests - before
        cluster_run.checker.check(rule, new == 0, f"{origin.instance} got {new}")
        # It is gone, and another comes in its place, cold.
        await origin.stop()
        await asyncio.sleep(1)
        origin.state, origin.warmup = "cold", 5.0
        await origin.start()


async def replace_core(cluster_run: ClusterRun, say: Say) -> None:
    """Wipe a core node and start it again."""
    say("agency-2 loses its disk")
    fleet = cluster_run.fleet
    fleet.kill("agency-2")
    await fleet.ended("agency-2")
    fleet.wipe("agency-2")
    fleet.start("agency-2")
    await fleet.ready(cluster_run.load.session, ["agency-2"])


async def pause(cluster_run: ClusterRun, say: Say) -> None:
    """Freeze an edge and a shield for a while."""
    fleet = cluster_run.fleet
    for name in ("edge-2", "shield-3"):
        say(f"freezing {name}")
        fleet.kill(name, signal.SIGSTOP)
    await asyncio.sleep(4)
    for name in ("edge-2", "shield-3"):
        fleet.kill(name, signal.SIGCONT)
    await asyncio.sleep(1)


async def spoil(cluster_run: ClusterRun, say: Say) -> None:
    """Let origins send wrong bytes, lose answers and slow down."""
    for fault, value in (("wrong-digest", 1), ("lose-answer", 1), ("delay", 0.4), ("no-seal", 1)):
        origin = cluster_run.origins[1]
        other = cluster_run.origins[-1]
        say(f"{origin.instance} and {other.instance}: {fault}")
        origin.faults[fault] = other.faults[fault] = value
        await asyncio.sleep(2)
        origin.faults.clear()
        other.faults.clear()


async def total_loss(cluster_run: ClusterRun, say: Say) -> None:
    """Kill all processes at once; the disks remain, and service must be back in time."""
    fleet = cluster_run.fleet
    # A process that is killed writes no event log, so each is asked for it before.
    for name in fleet.places:
        await cluster_run.load.ask_node(name, "POST", "/_irisstand/ring")
    say("everything is killed at once")
    for name in fleet.places:
        fleet.kill(name)
    for name in fleet.places:
        await fleet.ended(name)
    await asyncio.sleep(1)
    started = asyncio.get_running_loop().time()
    fleet.start_all()
    back = await cluster_run.served_again(20)
    rule = "after a total loss service is back within 15 s"
    took = asyncio.get_running_loop().time() - started
    cluster_run.checker.check(rule, back and took <= SERVICE_BACK_LIMIT_SECONDS, f"{took:.1f} s")
    say(f"service is back: {back}")


STEPS = (herd, evacuate, leave, replace_core, pause, spoil, total_loss)
