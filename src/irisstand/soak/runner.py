"""Soak runs: starts origins, platform, processes and clients of each run, and reports the violations."""

import asyncio
import collections
import collections.abc
import contextlib
import pathlib
import tempfile
import typing

import aiohttp

from irisstand.emulators import object_records
from irisstand.soak import (
    clients,
    final_check,
    fleet,
    kills,
    object_changes,
    operator_client,
    records,
    schedule,
    shape,
    slow_origin,
    verdict,
)

# Number of origin instances of the services "content" and "app".
CONTENT_ORIGINS = 2
APPLICATION_ORIGINS = 4
# Requests that one origin instance works on at the same time.
SLOTS = 32
# Timeout of one HTTP request to a node, for changes of the configuration and readiness.
ORDER_TIMEOUT_SECONDS = 3.0
MAX_VIOLATIONS_PRINTED = 12

PrintLine = collections.abc.Callable[[str], object]


class SoakOptions(typing.NamedTuple):
    """What all runs of a series have in common.

    Attributes:
        edges: Number of edges; None to draw it from the seed.
        seconds: How long clients send requests in each run, in seconds.
        kills: Whether processes are killed, too, and lose their disks.
        series: Whether there are overlapping series of all actions, and clients that never pause.
        stutter: Whether origins answer some requests more than once, while objects change and are purged.
    """

    edges: int | None
    seconds: float
    kills: bool
    series: bool
    stutter: bool


class SoakReport(typing.NamedTuple):
    """Violations that a run found, and its figures by name."""

    violations: list[verdict.Violation]
    figures: dict[str, object]


def make_origins(plan: shape.SoakShape, run_records: records.Records) -> list[slow_origin.SlowOrigin]:
    """Return the origin instances of both services, spread over the sites of the run."""
    origins = []
    for service, count in (("content", CONTENT_ORIGINS), ("app", APPLICATION_ORIGINS)):
        for number in range(count):
            site = f"z{number % plan.zones + 1}"
            origin = slow_origin.SlowOrigin(service, f"{service}-{number + 1}", site, plan, SLOTS)
            origin.records = run_records
            origins.append(origin)
    return origins


async def run_seed(plan: shape.SoakShape, folder: pathlib.Path) -> SoakReport:
    """Play one soak run in a folder and return its report.

    Raises:
        TimeoutError: The control plane accepted no configuration, or the edges did not become ready in time.
    """
    run_records = records.Records(objects=object_records.ObjectRecords(plan.object_bytes))
    origins = make_origins(plan, run_records)
    for origin in origins:
        await origin.start()
    platform = slow_origin.Platform(origins)
    await platform.start()
    processes = fleet.Fleet(plan, folder, platform.port, run_records)
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            operator = operator_client.Operator(plan, processes, session)
            await processes.start_all()
            if not await operator.submit_configuration(is_first=True):
                raise TimeoutError("no control plane node accepted the first configuration")
            await operator.wait_ready()
            await send_load(plan, processes, operator)
            await final_check.FinalCheck(processes, session).run(operator.accepted_version)
    finally:
        await processes.stop_all()
        platform.stop()
        for origin in origins:
            origin.stop()
    return SoakReport(verdict.Verdict(run_records).violations, summarize(run_records))


async def send_load(
    plan: shape.SoakShape, processes: fleet.Fleet, operator: operator_client.Operator
) -> None:
    """Run all clients and the schedule of signals and changes at the same time."""
    end_at = asyncio.get_running_loop().time() + plan.seconds
    client_runs = [clients.Client(number, plan, processes).run(end_at) for number in range(plan.clients)]
    troubles = [
        schedule.Schedule(plan, processes, operator).run(),
        kills.Kills(plan, processes).run(),
        object_changes.ObjectChanges(plan, processes, operator).run(),
    ]
    await asyncio.gather(*troubles, *client_runs)


def summarize(run_records: records.Records) -> dict[str, object]:
    """Return the figures of a run that its report prints."""
    ends = collections.Counter(str(request.end) for request in run_records.requests)
    codes = collections.Counter(request.code for request in run_records.requests if request.code)
    stop_seconds = [
        stop.ended_at - stop.sent_at for stop in run_records.stops.values() if stop.code is not None
    ]
    return {
        "requests": len(run_records.requests),
        **ends,
        "error codes of node responses": dict(codes),
        "runs at origins": sum(map(len, run_records.runs.values())),
        "stops": len(run_records.stops),
        "longest shutdown in seconds": round(max(stop_seconds, default=0.0), 2),
        "kills": len(run_records.kills),
        "SIGHUPs": run_records.sighups,
        "changes": run_records.changes,
        "confirmed purges": sum(map(len, run_records.purges.values())),
        "surplus responses": run_records.surplus_count,
        "longest event loop lag in seconds": round(run_records.longest_lag_seconds, 3),
        "peak resident MB by role": {role: round(used) for role, used in run_records.peak_memory_mb.items()},
        "peak descriptors by role": run_records.peak_descriptors,
    }


def run(
    seeds: collections.abc.Iterable[int], options: SoakOptions, folder: str, print_line: PrintLine
) -> int:
    """Play one run for each seed and return the exit status: 1 if any run had a violation.

    Args:
        seeds: Seeds of the runs.
        options: What the runs have in common.
        folder: Directory for settings, data and logs; empty for a temporary directory.
        print_line: Prints one line of the report.
    """
    failed_runs = 0
    for seed in seeds:
        with contextlib.ExitStack() as stack:
            base = folder or stack.enter_context(tempfile.TemporaryDirectory(prefix="irisstand-soak-"))
            path = pathlib.Path(base) / f"seed-{seed}"
            path.mkdir(parents=True, exist_ok=True)
            plan = shape.draw(seed, **options._asdict())
            print_line(f"seed {seed}: {plan}")
            report = asyncio.run(run_seed(plan, path))
        print_line(f"seed {seed}: {report.figures}")
        kinds = collections.Counter(violation.kind for violation in report.violations)
        print_line(f"seed {seed}: " + (f"FAILED {dict(kinds)}" if kinds else "no violations"))
        for violation in report.violations[:MAX_VIOLATIONS_PRINTED]:
            print_line(f"  {violation.kind}: {violation.detail}")
        failed_runs += bool(report.violations)
    return 1 if failed_runs else 0
