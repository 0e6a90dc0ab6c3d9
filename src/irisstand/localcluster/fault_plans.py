"""Fault plans: which faults are injected, and when, during a run of a local cluster.

`REGISTRY` names the plans that the command line offers.
"""

import asyncio
import collections.abc
import signal
import typing

from irisstand.localcluster import day_plan


async def calm(cluster_run: day_plan.ClusterRun, seconds: float, print_line: day_plan.PrintLine) -> None:
    """Inject no fault and only purge paths, so that the figures of other plans can be compared with these."""
    await purges(cluster_run, seconds)


async def purges(cluster_run: day_plan.ClusterRun, seconds: float) -> None:
    """Purge one of five paths after another, twice a second, until three seconds before the end.

    Each purge is preceded by a new version of the content, and confirmed purges are reported to the checker.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds - 3
    number = 0
    while loop.time() < end:
        path = f"/vacancies/{number % 5 + 1}"
        number += 1
        cluster_run.records.versions[path] += 1
        version = cluster_run.records.versions[path]
        status, _ = await cluster_run.load.call_control_plane("POST", "/purges", {"paths": [path]})
        if status == day_plan.HTTP_OK:
            cluster_run.checker.record_confirmed_purge(path, loop.time(), version)
        cluster_run.checker.results[f"purge {status}"] += 1
        await asyncio.sleep(0.5)


async def kills(cluster_run: day_plan.ClusterRun, seconds: float, print_line: day_plan.PrintLine) -> None:
    """Kill and restart a shield, two control plane nodes and a store, one after another, during purges."""
    purging = asyncio.create_task(purges(cluster_run, seconds))
    cluster = cluster_run.cluster
    node_names = ["shield-2", "agency-1", "store-1", "agency-3"]
    interval_seconds = seconds / (len(node_names) + 1)
    for name in node_names:
        await asyncio.sleep(interval_seconds * 0.3)
        print_line(f"killing {name}")
        cluster.kill(name)
        await cluster.wait_for_exit(name)
        await asyncio.sleep(interval_seconds * 0.7)
        cluster.start(name)
    await purging


async def wipes(cluster_run: day_plan.ClusterRun, seconds: float, print_line: day_plan.PrintLine) -> None:
    """Kill a control plane node, delete its data and restart it, during purges."""
    purging = asyncio.create_task(purges(cluster_run, seconds))
    cluster = cluster_run.cluster
    await asyncio.sleep(seconds * 0.2)
    print_line("killing control plane node agency-2 and deleting its data")
    cluster.kill("agency-2")
    await cluster.wait_for_exit("agency-2")
    cluster.wipe("agency-2")
    await asyncio.sleep(1)
    cluster.start("agency-2")
    await purging


async def rolling_restart(
    cluster_run: day_plan.ClusterRun, seconds: float, print_line: day_plan.PrintLine
) -> None:
    """Shut down each process gracefully with SIGTERM and restart it; no pending request may be dropped."""
    cluster = cluster_run.cluster
    cluster_run.load.expects_no_drops = True
    for name in list(cluster.placements):
        print_line(f"restarting {name}")
        cluster.kill(name, signal.SIGTERM)
        code = await cluster.wait_for_exit(name, 15)
        cluster_run.checker.check(
            "a process that receives SIGTERM drains and exits with status 0",
            code == 0,
            f"{name} exited with status {code}",
        )
        cluster.start(name)
        await cluster.wait_until_ready(cluster_run.load.session, [name])
        cluster_run.checker.check("a planned restart drops no request in progress", holds=True)
    print_line("every process was shut down and restarted")


async def run_all_steps(
    cluster_run: day_plan.ClusterRun, seconds: float, print_line: day_plan.PrintLine
) -> None:
    """Run the steps of `day_plan`, spread evenly over the run and one after another, during purges."""
    purging = asyncio.create_task(purges(cluster_run, seconds))
    step_seconds = seconds / (len(day_plan.STEPS) + 1)
    loop = asyncio.get_running_loop()
    for number, step in enumerate(day_plan.STEPS):
        began = loop.time()
        await step(cluster_run, print_line)
        cluster_run.checker.results[f"step {step.__name__}"] += 1
        if number < len(day_plan.STEPS) - 1:
            await asyncio.sleep(max(0.0, step_seconds - (loop.time() - began)))
    await purging


async def inject_environment_faults(
    cluster_run: day_plan.ClusterRun, seconds: float, print_line: day_plan.PrintLine
) -> None:
    """Inject partitions, datagram loss, faulty disks and clock jumps, during purges; no process is killed."""
    cluster = cluster_run.cluster
    purging = asyncio.create_task(purges(cluster_run, seconds))
    sites = [site for site, _ in cluster_run.shape.sites]
    names_by_site = {
        site: [placement.name for placement in cluster.placements.values() if placement.site == site]
        for site in sites
    }
    names_on_machine = [p.name for p in cluster.placements.values() if p.machine == "shield-machine-2"]
    steps: list[tuple[str, dict[str, typing.Any]]] = [
        ("a tenth of all datagrams is lost", {"loss": 0.1}),
        (f"site {sites[1]} is partitioned from the other sites", {"cuts": [names_by_site[sites[1]]]}),
        (
            "a partition separates two sites from the other two",
            {"cuts": [names_by_site[sites[0]] + names_by_site[sites[1]]]},
        ),
        ("one machine is partitioned from all others", {"cuts": [names_on_machine]}),
        (
            "the disks of two control plane nodes stall",
            {"disks": {"agency-1": "stalled", "agency-2": "stalled"}},
        ),
        (
            "the disks of two control plane nodes are full",
            {"disks": {"agency-3": "full", "agency-4": "full"}},
        ),
        ("the wall clocks jump an hour ahead", {"jump": 3600.0}),
        ("the wall clocks jump two days back", {"jump": -172800.0}),
    ]
    step_seconds = (seconds - 4) / len(steps)
    for what, change in steps:
        print_line(what)
        cluster.set_faults(**change)
        await asyncio.sleep(step_seconds * 0.5)
        cluster.set_faults(cuts=[], loss=0.0, disks={})
        cluster_run.checker.results[f"step: {what}"] += 1
        await asyncio.sleep(step_seconds * 0.5)
    await purging


Plan = collections.abc.Callable[
    [day_plan.ClusterRun, float, day_plan.PrintLine], collections.abc.Coroutine[typing.Any, typing.Any, None]
]
REGISTRY: dict[str, Plan] = {
    "calm": calm,
    "kills": kills,
    "wipes": wipes,
    "roll": rolling_restart,
    "day": run_all_steps,
    "weather": inject_environment_faults,
}
