"""One soak run: origins, platform, processes, clients and schedule, and the report of what was seen."""

import asyncio
import collections
import collections.abc
import contextlib
import pathlib
import tempfile
import typing

import aiohttp

from irisstand.soak import clients, fleet, records, schedule, shape, slow_origin, verdict

CONTENT_ORIGINS = 2
APPLICATION_ORIGINS = 4
SLOTS = 32
ORDER_TIMEOUT_SECONDS = 3.0
MAX_VIOLATIONS_PRINTED = 12

PrintLine = collections.abc.Callable[[str], object]


class SoakReport(typing.NamedTuple):
    """The findings of a run, and its figures by name."""

    violations: list[verdict.Violation]
    figures: dict[str, object]


def make_origins(plan: shape.SoakShape, run_records: records.Records) -> list[slow_origin.SlowOrigin]:
    """Return the origins of a run."""
    origins = []
    for service, count in (("content", CONTENT_ORIGINS), ("app", APPLICATION_ORIGINS)):
        for number in range(count):
            site = f"z{number % plan.zones + 1}"
            origin = slow_origin.SlowOrigin(service, f"{service}-{number + 1}", site, plan, SLOTS)
            origin.records = run_records
            origins.append(origin)
    return origins


async def run_seed(plan: shape.SoakShape, folder: pathlib.Path) -> SoakReport:
    """Play one run.

    Raises:
        TimeoutError: The processes did not get ready.
    """
    run_records = records.Records()
    origins = make_origins(plan, run_records)
    for origin in origins:
        await origin.start()
    platform = slow_origin.Platform(origins)
    await platform.start()
    processes = fleet.Fleet(plan, folder, platform.port, run_records)
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            operator = schedule.Operator(plan, processes, session)
            await processes.start_all()
            if not await operator.submit_configuration(is_first=True):
                raise TimeoutError("no control plane node took the configuration")
            await operator.wait_ready()
            await send_load(plan, processes, operator)
    finally:
        await processes.stop_all()
        platform.stop()
        for origin in origins:
            origin.stop()
    return SoakReport(verdict.Verdict(run_records).violations, summarize(run_records))


async def send_load(plan: shape.SoakShape, processes: fleet.Fleet, operator: schedule.Operator) -> None:
    """Let clients send while the schedule is carried out."""
    until = asyncio.get_running_loop().time() + plan.seconds
    client_runs = [clients.Client(number, plan, processes).run(until) for number in range(plan.clients)]
    await asyncio.gather(schedule.Schedule(plan, processes, operator).run(), *client_runs)


def summarize(run_records: records.Records) -> dict[str, object]:
    """Return what a run did, in figures."""
    ends = collections.Counter(str(request.end) for request in run_records.requests)
    codes = collections.Counter(request.code for request in run_records.requests if request.code)
    stop_seconds = [
        stop.ended_at - stop.sent_at for stop in run_records.stops.values() if stop.code is not None
    ]
    return {
        "requests": len(run_records.requests),
        **ends,
        "own answers": dict(codes),
        "runs at origins": sum(map(len, run_records.runs.values())),
        "stops": len(run_records.stops),
        "longest stop": round(max(stop_seconds, default=0.0), 2),
        "SIGHUPs": run_records.sighups,
        "changes": run_records.changes,
        "longest lag of the run itself": round(run_records.longest_lag_seconds, 3),
        "peak MB": {role: round(used) for role, used in run_records.peak_memory_mb.items()},
    }


def run(
    seeds: collections.abc.Iterable[int],
    edges: int | None,
    seconds: float,
    folder: str,
    print_line: PrintLine,
) -> int:
    """Play one run for each seed and return the exit status: 1 if there was a finding.

    Args:
        seeds: The seeds, one run each.
        edges: How many edges; None to draw them.
        seconds: How long clients send in each run.
        folder: Where settings, data and logs are kept; empty for a temporary directory.
        print_line: Prints one line.
    """
    failed_runs = 0
    for seed in seeds:
        with contextlib.ExitStack() as stack:
            base = folder or stack.enter_context(tempfile.TemporaryDirectory(prefix="irisstand-soak-"))
            path = pathlib.Path(base) / f"seed-{seed}"
            path.mkdir(parents=True, exist_ok=True)
            plan = shape.draw(seed, edges, seconds)
            print_line(f"seed {seed}: {plan}")
            report = asyncio.run(run_seed(plan, path))
        print_line(f"seed {seed}: {report.figures}")
        kinds = collections.Counter(violation.kind for violation in report.violations)
        print_line(f"seed {seed}: " + (f"FAILED {dict(kinds)}" if kinds else "nothing found"))
        for violation in report.violations[:MAX_VIOLATIONS_PRINTED]:
            print_line(f"  {violation.kind}: {violation.detail}")
        failed_runs += bool(report.violations)
    return 1 if failed_runs else 0
