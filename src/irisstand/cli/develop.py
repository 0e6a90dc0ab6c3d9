"""Commands that run a network on one machine or in the simulator, check it and measure it.

The modules that a command needs are imported when it runs, since operators need none of them.
"""

import asyncio
import contextlib
import sys
import typing

import click

# Number of violations that `fuzz-origins` prints.
EXAMPLES_LIMIT = 20

folder_option = click.option(
    "--folder",
    default="",
    metavar="DIRECTORY",
    show_default="a temporary one",
    help="Directory in which settings, data and logs are kept.",
)


@click.command(
    "start-cluster",
    help="Run a network on this machine and check it. Each node is a process; clients send requests, faults "
    "are injected by plan, and the invariants are checked.",
)
@click.option(
    "--shape",
    type=click.Choice(["thin", "karbes", "kildespor"]),
    default="karbes",
    help="Size of the network: thin has one node of each role.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(1, 86400),
    default=30,
    help="How long clients send, in seconds.",
)
@click.option(
    "--plan",
    default="calm",
    metavar="NAME",
    help="Plan of the injected faults: calm (none), kills, wipes, roll, day or weather.",
)
@click.option("--seed", type=int, default=1, help="Seed of the clients' random choices.")
@folder_option
def start_cluster(*, shape: str, seconds: float, plan: str, seed: int, folder: str) -> None:
    """Run a local cluster; exit with code 1 if an invariant was violated."""
    from irisstand.localcluster import fault_plans, runner

    if plan not in fault_plans.REGISTRY:
        raise click.BadParameter(f"no such fault plan; use one of {', '.join(fault_plans.REGISTRY)}")
    sys.exit(runner.run(shape, seconds, plan, seed, folder, click.echo))


@click.command(
    "start-emulators", help="Run emulators of origins and platform. A network started by hand can use them."
)
@click.option(
    "--platform-port",
    type=click.IntRange(1, 65535),
    default=9000,
    help="TCP port on 127.0.0.1 at which the emulated platform lists origins.",
)
@click.option("--site", default="north", help="Site of the origins in the platform's list.")
def start_emulators(*, platform_port: int, site: str) -> None:
    """Run the emulators of two origins and a platform until the user interrupts."""
    from irisstand.emulators import origin_emulator

    click.echo(f"origins content-1 and application-1 are listed by the platform at 127.0.0.1:{platform_port}")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(origin_emulator.run_emulators(platform_port, site))


@click.command(help="Simulate days with random faults. Each seed is one day; the invariants are checked.")
@click.option("--first", type=int, default=1, help="Seed of the first day.")
@click.option("--days", type=click.IntRange(1), default=8, help="How many days; each day has the next seed.")
@click.option(
    "--seconds", type=click.FloatRange(5, 86400), default=30, help="Length of a day, in virtual seconds."
)
@click.option("--workers", type=click.IntRange(1, 256), default=4, help="How many processes simulate days.")
@click.option("--log", is_flag=True, help="Print each day's faults with their virtual time.")
@click.option("--kind", default="busy", metavar="NAME", help="Kind of day, such as busy or stuttering.")
def simulate(  # noqa: PLR0913 - click passes each option as an argument
    *, first: int, days: int, seconds: float, workers: int, log: bool, kind: str
) -> None:
    """Run simulated days; exit with code 1 if one of them violated an invariant."""
    from irisstand.simulator import day_kinds, day_runner

    if kind not in day_kinds.KINDS:
        raise click.BadParameter(f"no such kind of day; use one of {', '.join(day_kinds.KINDS)}")
    seeds = range(first, first + days)
    sys.exit(day_runner.simulate(seeds, seconds, workers, log=log, print_line=click.echo, kind=kind))


@click.command("fuzz-origins", help="Test a node against hostile origins. The invariants are checked.")
@click.option("--scripts", type=click.IntRange(1), default=2000, help="How many scripts, one seed each.")
@click.option("--workers", type=click.IntRange(1, 256), default=4, help="How many processes run scripts.")
@click.option("--first", type=int, default=1, help="Seed of the first script.")
@click.option(
    "--kind", type=click.Choice(["hostile", "stuttering"]), default="hostile", help="Kind of origins."
)
def fuzz_origins(*, scripts: int, workers: int, first: int, kind: str) -> None:
    """Run scripts of a client and origins; exit with code 1 if one violated an invariant."""
    from irisstand.simulator import origin_scripts

    figures = origin_scripts.run_all(scripts, workers, first, kind=kind)
    for example in figures.violations[:EXAMPLES_LIMIT]:
        click.echo(example)
    click.echo(
        f"{figures.scripts} scripts, {figures.answered} answered, {figures.runs} runs at origins, "
        f"{len(figures.violations)} broken"
    )
    sys.exit(1 if figures.violations else 0)


@click.command(help="Stop real processes one after another. Origins are slow, and a rate limit is tight.")
@click.option("--first", type=int, default=1, help="Seed of the first run.")
@click.option("--runs", type=click.IntRange(1), default=1, help="How many runs; each has the next seed.")
@click.option("--edges", type=click.IntRange(2, 300), help="How many edges.", show_default="random")
@click.option("--seconds", type=click.FloatRange(5, 3600), default=60, help="Length of a run, in seconds.")
@click.option("--kills", is_flag=True, help="Kill processes, too; some lose their disks.")
@click.option("--series", is_flag=True, help="Add overlapping series of signals, restarts and changes.")
@click.option("--stutter", is_flag=True, help="Origins answer twice, late; objects change and are purged.")
@folder_option
def soak(*, first: int, runs: int, folder: str, **options: typing.Any) -> None:
    """Run soak tests; exit with code 1 if one of them found a failure."""
    from irisstand.soak import runner

    sys.exit(runner.run(range(first, first + runs), runner.SoakOptions(**options), folder, click.echo))


@click.command(
    "check-model",
    help="Explore the consensus code. Tries message orders, losses and crashes in small networks.",
)
@click.option(
    "--deviations",
    type=click.IntRange(0, 9),
    default=1,
    help="How many steps of a run may differ from the regular order, at most.",
)
@click.option(
    "--scenarios",
    "wanted",
    default="",
    metavar="NAMES",
    show_default="all",
    help="Names of scenarios, with commas between.",
)
@click.option("--workers", type=click.IntRange(1, 256), default=1, help="How many processes explore.")
@click.option(
    "--walks", type=click.IntRange(0), default=0, help="Random walks to run instead of exploring; 0: explore."
)
@click.option("--first", type=int, default=1, help="Seed of the first random walk.")
@click.option(
    "--replay",
    default="",
    metavar="CHOICES",
    show_default="none",
    help="Repeat one run by its choices (numbers with commas between) and print its steps.",
)
def check_model(  # noqa: PLR0913 - click passes each option as an argument
    *, deviations: int, wanted: str, workers: int, walks: int, first: int, replay: str
) -> None:
    """Explore scenarios; exit with code 1 if a run violated an invariant."""
    from irisstand.modelcheck import check, scenarios

    names = wanted.split(",") if wanted else list(scenarios.REGISTRY)
    if unknown := [name for name in names if name not in scenarios.REGISTRY]:
        raise click.BadParameter(f"no scenario {unknown[0]}; use one of {', '.join(scenarios.REGISTRY)}")
    if replay:
        choices = tuple(int(choice) for choice in replay.split(","))
        sys.exit(check.replay(names[0], choices, click.echo))
    seeds = range(first, first + walks)
    sys.exit(max(check.check(name, deviations, workers, seeds, click.echo) for name in names))


@click.group("benchmark", help="Measure the software in the simulator.")
def benchmark_group() -> None:
    """Group the commands that measure and print figures; they check no invariants."""


@benchmark_group.command(
    "propagation",
    help="Measure many changes at once. All control plane nodes are sent changes.",
)
@click.option("--clients", type=click.IntRange(1), default=20, help="Operators that send changes at once.")
@click.option("--seconds", type=click.FloatRange(1), default=10, help="Length of a run, in virtual seconds.")
@click.option("--seeds", type=click.IntRange(1), default=3, help="How many runs; each has the next seed.")
@click.option("--rows", type=click.IntRange(0), default=0, help="Configuration entries at the start.")
def benchmark_propagation(*, clients: int, seconds: float, seeds: int, rows: int) -> None:
    """Print one line of figures on the propagation of changes for each seed."""
    from irisstand.simulator import propagation_benchmark

    for seed in range(1, seeds + 1):
        figures = propagation_benchmark.measure(seed, clients, seconds, rows)
        click.echo(f"seed {seed}: " + ", ".join(f"{k} {v:.4g}" for k, v in figures._asdict().items()))


@benchmark_group.command(
    "failure-detection",
    help="Measure time to detect a failure. In SWIM periods: until suspected, failed and known everywhere.",
)
@click.option("--kills", type=click.IntRange(1), default=30, help="How many members are killed, one by one.")
@click.option(
    "--loss", type=click.FloatRange(0, 0.9), default=0.0, help="Share of datagrams that are lost, 0 to 0.9."
)
@click.option("--seed", type=int, default=1, help="Seed of the run.")
def benchmark_failure_detection(*, kills: int, loss: float, seed: int) -> None:
    """Print the measured detection times, one line each."""
    from irisstand.simulator import failure_detection_benchmark

    for line in failure_detection_benchmark.measure(seed, kills, loss):
        click.echo(line)


@benchmark_group.command("sizes", help="Measure bytes in memory and messages. See docs/CAPACITY.md.")
def benchmark_sizes() -> None:
    """Print the size of each measured object or message."""
    from irisstand.simulator import sizes

    for what, unit, figure in sizes.measure():
        click.echo(f"{what:<50} {figure:>12.4g} {unit}")


@benchmark_group.command(
    "large-configurations",
    help="Measure configurations of many routes. The figures are the cost to each node.",
)
@click.option(
    "--routes",
    type=click.IntRange(8),
    multiple=True,
    default=(100, 1500, 5000),
    help="How many routes the configuration has; may be repeated.",
)
def benchmark_large_configurations(*, routes: tuple[int, ...]) -> None:
    """Print one line for each measured step and number of routes."""
    from irisstand.simulator import large_configurations

    for count in routes:
        for what, unit, figure in large_configurations.measure(count):
            click.echo(f"{count:>6} routes: {what:<50} {figure:>10.4g} {unit}")


COMMANDS = [start_cluster, start_emulators, simulate, fuzz_origins, soak, check_model, benchmark_group]
