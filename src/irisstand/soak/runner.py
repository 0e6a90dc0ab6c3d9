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
FINDINGS_SHOWN = 12

Say = collections.abc.Callable[[str], object]


class SoakReport(typing.NamedTuple):
    """The findings of a run, and its figures by name."""

    findings: list[verdict.Finding]
    figures: dict[str, object]


def make_origins(plan: shape.SoakShape, seen: records.Records) -> list[slow_origin.SlowOrigin]:
    """Return the origins of a run."""
    origins = []
    for service, count in (("content", CONTENT_ORIGINS), ("app", APPLICATION_ORIGINS)):
        for number in range(count):
            site = f"z{number % plan.zones + 1}"
            origin = slow_origin.SlowOrigin(service, f"{service}-{number + 1}", site, plan, SLOTS)
            origin.records = seen
            origins.append(origin)
    return origins


async def play(plan: shape.SoakShape, folder: pathlib.Path) -> SoakReport:
    """Play one run.

    Raises:
        TimeoutError: The processes did not get ready.
    """
    seen = records.Records()
    origins = make_origins(plan, seen)
    for origin in origins:
        await origin.start()
    platform = slow_origin.Platform(origins)
    await platform.start()
    processes = fleet.Fleet(plan, folder, platform.port, seen)
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_SECONDS)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            operator = schedule.Operator(plan, processes, session)
            await processes.start_all()
            if not await operator.amend(patient=True):
                raise TimeoutError("no control plane node took the configuration")
            await operator.wait_ready()
            await load(plan, processes, operator)
    finally:
        await processes.stop_all()
        platform.stop()
        for origin in origins:
            origin.stop()
    return SoakReport(verdict.Verdict(seen).findings, figures_of(seen))


async def load(plan: shape.SoakShape, processes: fleet.Fleet, operator: schedule.Operator) -> None:
    """Let clients send while the schedule is carried out."""
    until = asyncio.get_running_loop().time() + plan.seconds
    everyone = [clients.Client(number, plan, processes).run(until) for number in range(plan.clients)]
    await asyncio.gather(schedule.Schedule(plan, processes, operator).run(), *everyone)


def figures_of(seen: records.Records) -> dict[str, object]:
    """Return what a run did, in figures."""
    ends = collections.Counter(str(ask.end) for ask in seen.asks)
    codes = collections.Counter(ask.code for ask in seen.asks if ask.code)
    took = [stop.ended_at - stop.sent_at for stop in seen.stops.values() if stop.code is not None]
    return {
        "requests": len(seen.asks),
        **ends,
        "own answers": dict(codes),
        "runs at origins": sum(map(len, seen.runs.values())),
        "stops": len(seen.stops),
        "longest stop": round(max(took, default=0.0), 2),
        "SIGHUPs": seen.hangups,
        "changes": seen.changes,
        "longest lag of the run itself": round(seen.longest_lag_seconds, 3),
        "peak MB": {role: round(used) for role, used in seen.peak_memory_mb.items()},
    }


def run(
    seeds: collections.abc.Iterable[int], edges: int | None, seconds: float, folder: str, say: Say
) -> int:
    """Play one run for each seed and return the exit status: 1 if there was a finding.

    Args:
        seeds: The seeds, one run each.
        edges: How many edges; None to draw them.
        seconds: How long clients send in each run.
        folder: Where settings, data and logs are kept; empty for a temporary directory.
        say: Prints one line.
    """
    broken = 0
    for seed in seeds:
        with contextlib.ExitStack() as stack:
            base = folder or stack.enter_context(tempfile.TemporaryDirectory(prefix="irisstand-soak-"))
            path = pathlib.Path(base) / f"seed-{seed}"
            path.mkdir(parents=True, exist_ok=True)
            plan = shape.draw(seed, edges, seconds)
            say(f"seed {seed}: {plan}")
            report = asyncio.run(play(plan, path))
        say(f"seed {seed}: {report.figures}")
        rules = collections.Counter(finding.rule for finding in report.findings)
        say(f"seed {seed}: " + (f"FAILED {dict(rules)}" if rules else "nothing found"))
        for finding in report.findings[:FINDINGS_SHOWN]:
            say(f"  {finding.rule}: {finding.detail}")
        broken += bool(report.findings)
    return 1 if broken else 0
