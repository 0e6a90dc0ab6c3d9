"""Commands that rehearse a network on this machine, and measure it in the simulator."""

import asyncio
import contextlib
import sys

import click


@click.command(help="Bring up a whole fleet on this machine, put it under load and trouble, and judge it.")
@click.option(
    "--shape", type=click.Choice(["thin", "karbes", "kildespor"]), default="karbes", show_default=True
)
@click.option("--seconds", type=click.FloatRange(1, 86400), default=30, show_default=True)
@click.option("--plan", default="calm", show_default=True, help="calm, kills, wipes, roll, day or weather")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", default="", help="keep settings, data and logs here")
def rehearse(shape: str, seconds: float, plan: str, seed: int, folder: str) -> None:
    from irisstand.fleet import plans
    from irisstand.fleet import rehearse as rehearsing

    if plan not in plans.REGISTRY:
        raise click.BadParameter(f"no such plan; use one of {', '.join(plans.REGISTRY)}")
    sys.exit(rehearsing.rehearse(shape, seconds, plan, seed, folder, click.echo))


@click.command("stand-ins", help="Run stand-in origins and a platform, to try a network by hand.")
@click.option("--platform-port", type=click.IntRange(1, 65535), default=9000, show_default=True)
@click.option("--site", default="north", show_default=True)
def stand_ins(platform_port: int, site: str) -> None:
    from irisstand.standins import origin

    click.echo(f"content-1 and application-1 are listed by the platform at 127.0.0.1:{platform_port}")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(origin.stand_in(platform_port, site))


@click.command(help="Run days of random trouble in the simulator, in virtual time, and judge them.")
@click.option("--first", type=int, default=1, show_default=True, help="the first seed")
@click.option("--days", type=click.IntRange(1), default=8, show_default=True, help="how many seeds")
@click.option("--seconds", type=click.FloatRange(5, 86400), default=30, show_default=True)
@click.option("--workers", type=click.IntRange(1, 256), default=4, show_default=True)
@click.option("--log", is_flag=True, help="print each day's troubles")
@click.option("--kind", default="busy", show_default=True, help="busy, kildespor, quiet, dark or planned")
def simulate(first: int, days: int, seconds: float, workers: int, log: bool, kind: str) -> None:
    from irisstand.simulator import day
    from irisstand.simulator import simulate as simulating

    if kind not in day.KINDS:
        raise click.BadParameter(f"no such kind of day; use one of {', '.join(day.KINDS)}")
    sys.exit(simulating.simulate(range(first, first + days), seconds, workers, log, click.echo, kind))


@click.command(help="Measure storms of changes and purges at all core nodes at once, in the simulator.")
@click.option("--clients", type=click.IntRange(1), default=20, show_default=True)
@click.option("--seconds", type=click.FloatRange(1), default=10, show_default=True)
@click.option("--seeds", type=click.IntRange(1), default=3, show_default=True)
@click.option("--rows", type=click.IntRange(0), default=0, show_default=True, help="rows that lie there")
def storm(clients: int, seconds: float, seeds: int, rows: int) -> None:
    from irisstand.simulator import storm as storming

    for seed in range(1, seeds + 1):
        figures = storming.measure(seed, clients, seconds, rows)
        click.echo(f"seed {seed}: " + ", ".join(f"{k} {v:.4g}" for k, v in figures._asdict().items()))


@click.command(help="Measure how soon a killed member is suspected, failed and known, in SWIM periods.")
@click.option("--kills", type=click.IntRange(1), default=30, show_default=True)
@click.option("--loss", type=click.FloatRange(0, 0.9), default=0.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def detection(kills: int, loss: float, seed: int) -> None:
    from irisstand.simulator import detection as detecting

    for line in detecting.measure(seed, kills, loss):
        click.echo(line)


@click.command(help="Measure what members, rows, objects and messages weigh, for docs/CAPACITY.md.")
def sizes() -> None:
    from irisstand.simulator import sizes as sizing

    for what, unit, figure in sizing.measure():
        click.echo(f"{what:<50} {figure:>12.4g} {unit}")


@click.command("big-configurations", help="Measure what a change of many routes costs each node.")
@click.option("--routes", type=click.IntRange(8), multiple=True, default=(100, 1500, 5000), show_default=True)
def big_configurations(routes: tuple[int, ...]) -> None:
    from irisstand.simulator import big_configurations as measuring

    for count in routes:
        for what, unit, figure in measuring.measure(count):
            click.echo(f"{count:>6} routes: {what:<50} {figure:>10.4g} {unit}")


@click.command("fuzz-origins", help="Play scripts of hostile origins against an edge, and judge them.")
@click.option("--scripts", type=click.IntRange(1), default=2000, show_default=True)
@click.option("--workers", type=click.IntRange(1, 256), default=4, show_default=True)
@click.option("--first", type=int, default=1, show_default=True, help="the first seed")
def fuzz_origins(scripts: int, workers: int, first: int) -> None:
    from irisstand.simulator import hostile_scripts

    figures = hostile_scripts.play_all(scripts, workers, first)
    for what in figures.broken[:20]:
        click.echo(what)
    click.echo(
        f"{figures.scripts} scripts, {figures.answered} answered, {figures.runs} runs at origins, "
        f"{len(figures.broken)} broken"
    )
    sys.exit(1 if figures.broken else 0)


@click.command("check-model", help="Explore what order, loss and crashes may do to the decision code.")
@click.option("--deviations", type=click.IntRange(0, 9), default=1, show_default=True)
@click.option("--scenarios", "wanted", default="", help="names with commas between them; all if left out")
@click.option("--workers", type=click.IntRange(1, 256), default=1, show_default=True)
@click.option("--walks", type=click.IntRange(0), default=0, show_default=True, help="random walks instead")
@click.option("--first", type=int, default=1, show_default=True, help="the first walk's seed")
@click.option("--replay", default="", help="one run by its choices, with what it did")
def check_model(deviations: int, wanted: str, workers: int, walks: int, first: int, replay: str) -> None:
    from irisstand.modelcheck import check, scenarios

    names = wanted.split(",") if wanted else list(scenarios.REGISTRY)
    if unknown := [name for name in names if name not in scenarios.REGISTRY]:
        raise click.BadParameter(f"no scenario {unknown[0]}; use one of {', '.join(scenarios.REGISTRY)}")
    if replay:
        choices = tuple(int(choice) for choice in replay.split(","))
        sys.exit(check.replay(names[0], choices, click.echo))
    seeds = range(first, first + walks)
    sys.exit(max(check.check(name, deviations, workers, seeds, click.echo) for name in names))


# Plug-in point: a command of the rehearsal is an entry here.
COMMANDS = [
    rehearse,
    stand_ins,
    simulate,
    storm,
    detection,
    sizes,
    big_configurations,
    fuzz_origins,
    check_model,
]
