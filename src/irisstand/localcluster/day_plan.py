"""Steps of the fault plan `day`: failures to be expected in operation, one at a time, on real processes."""

import asyncio
import collections.abc
import signal
import typing

PrintLine = collections.abc.Callable[[str], None]
# A `runner.LocalClusterRun`; `Any`, because `runner` imports the fault plans and could not be imported here.
ClusterRun = typing.Any
HTTP_OK = 200
# After the loss of all processes, requests must be served again within this time.
SERVICE_BACK_LIMIT_SECONDS = 15


async def herd(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Kill all processes of one site at once, and restart them three seconds after the last has exited."""
    cluster = cluster_run.cluster
    site = cluster_run.shape.sites[1][0]
    names = [placement.name for placement in cluster.placements.values() if placement.site == site]
    print_line(f"killing all processes of site {site}: {', '.join(names)}")
    for name in names:
        cluster.kill(name)
    for name in names:
        await cluster.wait_for_exit(name)
    await asyncio.sleep(3)
    for name in names:
        cluster.start(name)
    await cluster.wait_until_ready(cluster_run.load.session, names)


async def evacuate(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Evacuate a site, check that its origins get no requests after five seconds, and end the evacuation."""
    site = cluster_run.shape.sites[2][0]
    print_line(f"evacuating {site}")
    status, answer = await cluster_run.load.call_control_plane("PUT", f"/sites/{site}/evacuation")
    cluster_run.checker.results[f"evacuation {status}"] += 1
    if status != HTTP_OK:
        print_line(f"the evacuation of the site was not confirmed: {answer}")
        return
    await asyncio.sleep(5)
    origins = [origin for origin in cluster_run.origins if origin.site == site]
    before = {origin.instance: origin.requests for origin in origins}
    await asyncio.sleep(3)
    for origin in origins:
        new = origin.requests - before[origin.instance]
        invariant = "an evacuated site gets no new work after 5 s"
        cluster_run.checker.check(invariant, new == 0, f"origin {origin.instance} got {new} requests")
    print_line(f"ending the evacuation of {site}")
    await cluster_run.load.call_control_plane("DELETE", f"/sites/{site}/evacuation")


async def leave(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Let one origin of each service leave, check that it gets no requests after two seconds, and replace it.

    The platform lists the origin as leaving, as it would before the origin is shut down.
    """
    for service in ("content", "application"):
        origin = next(origin for origin in cluster_run.origins if origin.service == service)
        print_line(f"the platform lists origin {origin.instance} as leaving")
        origin.state = "leaving"
        await asyncio.sleep(2)
        before = origin.requests
        await asyncio.sleep(2)
        invariant = "a leaving origin gets no new work 2 s after the platform says so"
        new = origin.requests - before
        cluster_run.checker.check(invariant, new == 0, f"origin {origin.instance} got {new} requests")
        # The origin stops, and a replacement with empty caches (state `cold`) starts at the same address.
        await origin.stop()
        await asyncio.sleep(1)
        origin.state, origin.warmup = "cold", 5.0
        await origin.start()


async def replace_core(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Kill a control plane node, delete its data, and start it again, as after the loss of its disk."""
    print_line("killing control plane node agency-2 and deleting its data")
    cluster = cluster_run.cluster
    cluster.kill("agency-2")
    await cluster.wait_for_exit("agency-2")
    cluster.wipe("agency-2")
    cluster.start("agency-2")
    await cluster.wait_until_ready(cluster_run.load.session, ["agency-2"])


async def pause(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Suspend an edge and a shield with SIGSTOP for four seconds, and then let them continue."""
    cluster = cluster_run.cluster
    for name in ("edge-2", "shield-3"):
        print_line(f"suspending {name} with SIGSTOP")
        cluster.kill(name, signal.SIGSTOP)
    await asyncio.sleep(4)
    for name in ("edge-2", "shield-3"):
        cluster.kill(name, signal.SIGCONT)
    await asyncio.sleep(1)


async def spoil(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Inject faults at two origins, two seconds each: wrong digest, lost or slow response, no digest."""
    for fault, value in (("wrong-digest", 1), ("lose-answer", 1), ("delay", 0.4), ("no-seal", 1)):
        origin = cluster_run.origins[1]
        other = cluster_run.origins[-1]
        print_line(f"injecting the fault {fault} at origins {origin.instance} and {other.instance}")
        origin.faults[fault] = other.faults[fault] = value
        await asyncio.sleep(2)
        origin.faults.clear()
        other.faults.clear()


async def total_loss(cluster_run: ClusterRun, print_line: PrintLine) -> None:
    """Kill all processes at once and restart them; requests must be served again within 15 s.

    The data on the disks remains.
    """
    cluster = cluster_run.cluster
    # A killed process cannot write its event log any more, so each writes it now on request.
    for name in cluster.placements:
        await cluster_run.load.call_node(name, "POST", "/_irisstand/ring")
    print_line("killing all processes at once")
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
    cluster_run.checker.check(
        invariant,
        back and took <= SERVICE_BACK_LIMIT_SECONDS,
        f"waited {took:.1f} s for a served request",
    )
    print_line(f"requests are served again: {back}")


STEPS = (herd, evacuate, leave, replace_core, pause, spoil, total_loss)
