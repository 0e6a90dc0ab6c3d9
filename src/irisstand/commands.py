"""irisstand: the operators' commands, and the rehearsal."""

import json
import sys
import typing
import urllib.error
import urllib.parse
import urllib.request

import click

import irisstand
from irisstand import errors
from irisstand import simulation_commands as rehearsing
from irisstand.validation import checker, formats


def call(core: str, method: str, path: str, content: typing.Any = None) -> typing.Any:
    """Ask a control plane node over HTTP; an error answer goes to standard error and sets the exit code."""
    body = None if content is None else json.dumps(content).encode()
    request = urllib.request.Request(
        f"http://{core}{path}", body, {"Content-Type": "application/json"}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=15) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        click.echo(error.read().decode(errors="replace"), err=True)
        # Scripts must be able to tell what was refused from what nobody knows the outcome of.
        sys.exit({409: 3, 422: 4, 404: 5}.get(error.code, 6 if error.code >= 500 else 1))
    except OSError as error:
        click.echo(f"irisstand: {core}: {error}; name an agency that runs, with --core", err=True)
        sys.exit(7)


def show(content: typing.Any) -> None:
    click.echo(json.dumps(content, indent=2))


core_option = click.option(
    "--core",
    default="127.0.0.1:8081",
    envvar="IRISSTAND_CORE",
    show_default=True,
    help="HTTP address of any agency",
)
change_option = click.option("--change", help="your id for this change; the same id again is harmless")


format_option = click.option(
    "--format", "form", default="", help="rows (JSON) or objects (YAML); by the file's ending if not given"
)


def read_rows(file: typing.BinaryIO, form: str = "") -> list[dict]:
    """The file's rows in whatever format; every fault of it is printed, and then nothing is sent."""
    if form and form not in formats.REGISTRY:
        raise click.BadParameter(f"no format {form!r}; use one of {', '.join(formats.REGISTRY)}")
    try:
        return formats.read(getattr(file, "name", ""), file.read(), form)
    except errors.InvalidChangeError as error:
        for fault in error.faults:
            place = "" if fault["document"] is None else f"document {fault['document'] + 1}: "
            click.echo(f"fault: {place}{fault['field']}: {fault['message']}", err=True)
        click.echo(f"{len(error.faults)} fault(s); nothing was sent", err=True)
        sys.exit(4)


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


@rows.command("send", help="Send changed rows from FILE ('-' for standard input), JSON rows or YAML objects.")
@click.argument("file", type=click.File("rb"))
@change_option
@format_option
@core_option
def rows_send(file: typing.BinaryIO, change: str | None, form: str, core: str) -> None:
    changed = []
    for row in read_rows(file, form):
        kept = {key: row[key] for key in row if key != "serial"}
        if "serial" in row:
            kept.setdefault("expected", row["serial"])
        changed.append(kept)
    show(call(core, "POST", "/changes", {"rows": changed, **({"change": change} if change else {})}))


@rows.command("compare", help="Compare the table in force with FILE; exit 9 where they differ.")
@click.argument("file", type=click.File("rb"))
@format_option
@core_option
def rows_compare(file: typing.BinaryIO, form: str, core: str) -> None:
    found = formats.differences(read_rows(file, form), call(core, "GET", "/rows")["rows"])
    for line in found:
        click.echo(line)
    click.echo(f"{len(found)} difference(s)")
    sys.exit(9 if found else 0)


@main.command(help="Show what became of a change: its rows, what superseded them, and who has it in force.")
@click.argument("change")
@core_option
def change(change: str, core: str) -> None:
    show(call(core, "GET", "/changes/" + urllib.parse.quote(change, safe="")))


@main.group(help="The core's voters.")
def voters() -> None:
    pass


@voters.command("show", help="Show each table's voters, which of them answer, and the spare core nodes.")
@core_option
def voters_show(core: str) -> None:
    show(call(core, "GET", "/voters"))


@voters.command("replace", help="Vote the spare core node NEW in for the voter OLD.")
@click.argument("old")
@click.argument("new")
@core_option
def voters_replace(old: str, new: str, core: str) -> None:
    show(call(core, "PUT", "/voters/" + urllib.parse.quote(new, safe=""), {"replaces": old}))


@voters.command("retire", help="Take the voter NAME out without another in its place.")
@click.argument("name")
@core_option
def voters_retire(name: str, core: str) -> None:
    show(call(core, "DELETE", "/voters/" + urllib.parse.quote(name, safe="")))


@main.command(help="Put and drop the versioned items in FILE (JSON: put, drop; lists by kind), whole or not.")
@click.argument("file", type=click.File("rb"))
@core_option
def amend(file: typing.BinaryIO, core: str) -> None:
    try:
        content = json.load(file)
    except ValueError as error:
        raise click.ClickException(f"{file.name}: {error}; give whole JSON") from None
    show(call(core, "POST", "/amendments", content))


@main.command("items", help="Show all versioned items that stand, laid out as an amendment.")
@core_option
def show_items(core: str) -> None:
    show(call(core, "GET", "/items"))


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
@format_option
@core_option
def vet(file: typing.BinaryIO, strict: bool, form: str, core: str) -> None:
    proposed = read_rows(file, form)
    table = call(core, "GET", "/rows")["rows"]
    fleet = checker.fleet_from(call(core, "GET", "/members")["members"], call(core, "GET", "/ledger")["rows"])
    found = checker.vet(table, proposed, fleet)
    for finding in found:
        click.echo(f"{finding.level}: {finding.kind} {finding.name}: {finding.field}: {finding.message}")
    levels = {finding.level for finding in found}
    click.echo(f"{len(found)} finding(s) for {len(proposed)} row(s); nothing was sent")
    sys.exit(4 if "fault" in levels else 8 if strict and levels else 0)


for command in rehearsing.COMMANDS:
    main.add_command(command)

if __name__ == "__main__":
    main()
