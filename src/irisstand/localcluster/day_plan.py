"""The plan of a day: the expected failures one after another, on real processes."""

import asyncio
import collections.abc
import signal
import typing

PrintLine = collections.abc.Callable[[str], None]
# The run of the cluster; its module imports the plans.
ClusterRun = typing.Any
HTTP_OK = 200
SERVICE_BACK_LIMIT_SECONDS = 15


async def herd(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Kill all processes of a site and restart them."""
    cluster = cluster_run.cluster
    site = cluster_run.shape.sites[1][0]
    names = [placement.name for placement in cluster.placements.values() if placement.site == site]
    print_line(f"site {site} goes: {', '.join(names)}")
    for name in names:
        cluster.kill(name)
    for name in names:
        await cluster.wait_for_exit(name)
    await asyncio.sleep(3)
    for name in names:
        cluster.start(name)
    await cluster.wait_until_ready(cluster_run.load.session, names)


async def evacuate(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Evacuate a site and return it; after five seconds none of its origins may get new work."""
    site = cluster_run.shape.sites[2][0]
    print_line(f"evacuating {site}")
    status, answer = await cluster_run.load.call_control_plane("PUT", f"/sites/{site}/evacuation")
    cluster_run.checker.results[f"evacuation {status}"] += 1
    if status != HTTP_OK:
        print_line(f"not evacuated: {answer}")
        return
    await asyncio.sleep(5)
    origins = [origin for origin in cluster_run.origins if origin.site == site]
    before = {origin.instance: origin.requests for origin in origins}
    await asyncio.sleep(3)
    for origin in origins:
        new = origin.requests - before[origin.instance]
        invariant = "an evacuated site gets no new work after 5 s"
        cluster_run.checker.check(invariant, new == 0, f"{origin.instance} got {new}")
    print_line(f"returning {site}")
    await cluster_run.load.call_control_plane("DELETE", f"/sites/{site}/evacuation")


async def leave(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """List an origin as leaving; two seconds later it may get no new work."""
    for service in ("content", "application"):
        origin = next(origin for origin in cluster_run.origins if origin.service == service)
        print_line(f"{origin.instance} is leaving")
        origin.state = "leaving"
        await asyncio.sleep(2)
        before = origin.requests
        await asyncio.sleep(2)
        invariant = "a leaving origin gets no new work 2 s after the platform says so"
        new = origin.requests - before
        cluster_run.checker.check(invariant, new == 0, f"{origin.instance} got {new}")
        # It is gone, and another comes in its place, cold.
        await origin.stop()
        await asyncio.sleep(1)
        origin.state, origin.warmup = "cold", 5.0
        await origin.start()


async def replace_core(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Wipe a core node and start it again."""
    print_line("agency-2 loses its disk")
    cluster = cluster_run.cluster
    cluster.kill("agency-2")
    await cluster.wait_for_exit("agency-2")
    cluster.wipe("agency-2")
    cluster.start("agency-2")
    await cluster.wait_until_ready(cluster_run.load.session, ["agency-2"])


async def pause(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Freeze an edge and a shield for a while."""
    cluster = cluster_run.cluster
    for name in ("edge-2", "shield-3"):
        print_line(f"freezing {name}")
        cluster.kill(name, signal.SIGSTOP)
    await asyncio.sleep(4)
    for name in ("edge-2", "shield-3"):
        cluster.kill(name, signal.SIGCONT)
    await asyncio.sleep(1)


async def spoil(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Let origins send wrong bytes, lose answers and slow down."""
    for fault, value in (("wrong-digest", 1), ("lose-answer", 1), ("delay", 0.4), ("no-seal", 1)):
        origin = cluster_run.origins[1]
        other = cluster_run.origins[-1]
        print_line(f"{origin.instance} and {other.instance}: {fault}")
        origin.faults[fault] = other.faults[fault] = value
        await asyncio.sleep(2)
        origin.faults.clear()
        other.faults.clear()


async def total_loss(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Kill all processes at once; the disks remain, and service must be back in time."""
    cluster = cluster_run.cluster
    # A process that is killed writes no event log, so each is asked for it before.
    for name in cluster.placements:
        await cluster_run.load.call_node(name, "POST", "/_irisstand/ring")
    print_line("everything is killed at once")
    for name in cluster.placements:
        cluster.kill(name)
    for name in cluster.placements:
        await cluster.wait_for_exit(name)
    await asyncio.sleep(1)
    started_at = asyncio.get_running_loop().time()
    cluster.start_all()
    back = await cluster_run.wait_until_served(20)
    invariant = "after a total loss service is back within 15 s"
    took = asyncio.get_running_loop().time() - started_at
    cluster_run.checker.check(invariant, back and took <= SERVICE_BACK_LIMIT_SECONDS, f"{took:.1f} s")
    print_line(f"service is back: {back}")


STEPS = (herd, evacuate, leave, replace_core, pause, spoil, total_loss)
