"""irisstand: the operators' commands, and the rehearsal."""

import asyncio
import contextlib
import json
import sys
import typing
import urllib.error
import urllib.request

import click

import irisstand
from irisstand.vetting import checker


def call(core: str, method: str, path: str, content: typing.Any = None) -> typing.Any:
    """Ask an agency over HTTP; an error answer goes to standard error and sets the exit code."""
    body = None if content is None else json.dumps(content).encode()
    request = urllib.request.Request(
        f"http://{core}{path}", body, {"Content-Type": "application/json"}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=15) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        click.echo(error.read().decode(errors="replace"), err=True)
        # Scripts must be able to tell what was rejected from what nobody knows the outcome of.
        sys.exit({409: 3, 422: 4, 404: 5}.get(error.code, 6 if error.code >= 500 else 1))
    except OSError as error:
        click.echo(f"irisstand: {core}: {error}; name an agency that runs, with --core", err=True)
        sys.exit(7)


def show(content: typing.Any) -> None:
    click.echo(json.dumps(content, indent=2))


core_option = click.option(
    "--core", default="127.0.0.1:8081", envvar="IRISSTAND_CORE", show_default=True,
    help="HTTP address of any agency",
)  # fmt: skip
change_option = click.option("--change", help="your id for this change; the same id again is harmless")


def read_rows(file: typing.BinaryIO) -> list[dict]:
    """A list of rows, or what `rows get` printed, edited and sent back as it is."""
    try:
        content = json.load(file)
    except ValueError as error:
        raise click.BadParameter(f"not JSON: {error}") from None
    given = content.get("rows") if isinstance(content, dict) else content
    if not isinstance(given, list) or not all(isinstance(row, dict) for row in given):
        raise click.BadParameter("not a list of rows")
    return given


@click.group(help="Operate an irisstand network, or rehearse one on this machine.")
@click.version_option(irisstand.VERSION, prog_name="irisstand")
def main() -> None:
    pass


@main.group(help="The table of operators' rows.")
def rows() -> None:
    pass


@rows.command("get", help="Show every row in force with its serial.")
@core_option
def rows_get(core: str) -> None:
    show(call(core, "GET", "/rows"))


@rows.command("send", help="Send changed rows from FILE ('-' for standard input): a JSON list of rows.")
@click.argument("file", type=click.File("rb"))
@change_option
@core_option
def rows_send(file: typing.BinaryIO, change: str | None, core: str) -> None:
    changed = []
    for row in read_rows(file):
        kept = {key: row[key] for key in row if key != "serial"}
        if "serial" in row:
            kept.setdefault("expected", row["serial"])
        changed.append(kept)
    show(call(core, "POST", "/changes", {"rows": changed, **({"change": change} if change else {})}))


@main.command(help="Purge cached objects by path or by tag.")
@click.option("--path", "paths", multiple=True, help="a whole path; may be given again")
@click.option("--tag", "tags", multiple=True, help="a tag; may be given again")
@change_option
@core_option
def purge(paths: tuple, tags: tuple, change: str | None, core: str) -> None:
    if not paths and not tags:
        raise click.UsageError("give at least one --path or --tag")
    content = {"paths": list(paths), "tags": list(tags), **({"change": change} if change else {})}
    show(call(core, "POST", "/purges", content))


@main.command(help="Send no new work to SITE.")
@click.argument("site")
@click.option("--insist", is_flag=True, help="even if the other sites cannot carry the load")
@core_option
def evacuate(site: str, insist: bool, core: str) -> None:
    show(call(core, "PUT", f"/sites/{site}/evacuation{'?insist=true' if insist else ''}"))


@main.command("return", help="Take SITE back after an evacuation.")
@click.argument("site")
@core_option
def take_back(site: str, core: str) -> None:
    show(call(core, "DELETE", f"/sites/{site}/evacuation"))


@main.command(help="Show which machines rest, why or why not, and the machine-hours saved.")
@core_option
def machines(core: str) -> None:
    found = call(core, "GET", "/machines")
    for name, entry in sorted(found["machines"].items()):
        state = "evacuated" if entry["evacuated"] else "rests" if entry["rests"] else "awake"
        click.echo(f"{name:<20} {entry['site']:<10} {state:<10} {entry['hours_saved']:>8} h  {entry['why']}")
    click.echo(f"machine-hours saved: {found['machine_hours_saved']}")


@main.command(help="Show the members that an agency knows.")
@core_option
def members(core: str) -> None:
    found = call(core, "GET", "/members")["members"]
    for member in sorted(found, key=lambda member: (member["role"], member["name"], member["state"])):
        click.echo(
            f"{member['name']:<20} {member['role']:<8} {member['state']:<8} {member['site']:<10} "
            f"{member['host']}:{member['port']} life {member['life']} incarnation {member['incarnation']}"
        )


@main.command(help="Check proposed rows in FILE against the schema, the rules and the fleet as it is.")
@click.argument("file", type=click.File("rb"))
@click.option("--strict", is_flag=True, help="exit 8 for warnings too")
@core_option
def vet(file: typing.BinaryIO, strict: bool, core: str) -> None:
    proposed = read_rows(file)
    table = call(core, "GET", "/rows")["rows"]
    fleet = checker.fleet_from(
        call(core, "GET", "/members")["members"], call(core, "GET", "/ledger")["rows"]
    )
    found = checker.vet(table, proposed, fleet)
    for finding in found:
        click.echo(f"{finding.level}: {finding.kind} {finding.name}: {finding.field}: {finding.message}")
    levels = {finding.level for finding in found}
    click.echo(f"{len(found)} finding(s) for {len(proposed)} row(s); nothing was sent")
    sys.exit(4 if "fault" in levels else 8 if strict and levels else 0)


@main.command(help="Bring up a whole fleet on this machine, put it under load and trouble, and judge it.")
@click.option("--shape", type=click.Choice(["thin", "karbes", "kildespor"]), default="karbes",
              show_default=True)
@click.option("--seconds", type=click.FloatRange(1, 86400), default=30, show_default=True)
@click.option("--plan", default="calm", show_default=True, help="calm, kills, wipes, roll or day")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--folder", default="", help="keep settings, data and logs here")
def rehearse(shape: str, seconds: float, plan: str, seed: int, folder: str) -> None:
    from irisstand.rehearsal import plans
    from irisstand.rehearsal import rehearse as rehearsing

    if plan not in plans.REGISTRY:
        raise click.BadParameter(f"no such plan; use one of {', '.join(plans.REGISTRY)}")
    sys.exit(rehearsing.rehearse(shape, seconds, plan, seed, folder, click.echo))


@main.command("stand-ins", help="Run stand-in origins and a platform, to try a network by hand.")
@click.option("--platform-port", type=click.IntRange(1, 65535), default=9000, show_default=True)
@click.option("--site", default="north", show_default=True)
def stand_ins(platform_port: int, site: str) -> None:
    from irisstand.rehearsal import origin

    click.echo(f"content-1 and application-1 are listed by the platform at 127.0.0.1:{platform_port}")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(origin.stand_in(platform_port, site))


@main.command(help="Run days of random trouble in the simulator, in virtual time, and judge them.")
@click.option("--first", type=int, default=1, show_default=True, help="the first seed")
@click.option("--days", type=click.IntRange(1), default=8, show_default=True, help="how many seeds")
@click.option("--seconds", type=click.FloatRange(5, 86400), default=30, show_default=True)
@click.option("--workers", type=click.IntRange(1, 256), default=4, show_default=True)
@click.option("--log", is_flag=True, help="print each day's troubles")
@click.option("--kind", default="busy", show_default=True, help="busy or quiet")
def simulate(first: int, days: int, seconds: float, workers: int, log: bool, kind: str) -> None:
    from irisstand.rehearsal import day
    from irisstand.rehearsal import simulate as simulating

    if kind not in day.KINDS:
        raise click.BadParameter(f"no such kind of day; use one of {', '.join(day.KINDS)}")
    sys.exit(simulating.simulate(range(first, first + days), seconds, workers, log, click.echo, kind))


@main.command(help="Measure storms of changes and purges at all core nodes at once, in the simulator.")
@click.option("--clients", type=click.IntRange(1), default=20, show_default=True)
@click.option("--seconds", type=click.FloatRange(1), default=10, show_default=True)
@click.option("--seeds", type=click.IntRange(1), default=3, show_default=True)
@click.option("--rows", type=click.IntRange(0), default=0, show_default=True, help="rows that lie there")
def storm(clients: int, seconds: float, seeds: int, rows: int) -> None:
    from irisstand.rehearsal import storm as storming

    for seed in range(1, seeds + 1):
        figures = storming.measure(seed, clients, seconds, rows)
        click.echo(f"seed {seed}: " + ", ".join(f"{k} {v:.4g}" for k, v in figures._asdict().items()))


@main.command(help="Measure how soon a killed member is suspected, failed and known, in SWIM periods.")
@click.option("--kills", type=click.IntRange(1), default=30, show_default=True)
@click.option("--loss", type=click.FloatRange(0, 0.9), default=0.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def detection(kills: int, loss: float, seed: int) -> None:
    from irisstand.rehearsal import detection as detecting

    for line in detecting.measure(seed, kills, loss):
        click.echo(line)


if __name__ == "__main__":
    main()
