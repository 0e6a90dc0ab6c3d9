"""Commands that change a running network, or check a change before it is sent."""

import json
import sys
import typing

import click

from irisstand.cli import control_api
from irisstand.validation import checker, formats


@click.command(help="Check FILE without sending it. Against schema, validation rules and running network.")
@click.argument("file", type=click.File("rb"))
@click.option("--strict", is_flag=True, help="Exit with code 8 if there are only warnings.")
@control_api.format_option
@control_api.node_option
def validate(*, file: typing.BinaryIO, strict: bool, form: str, core: str) -> None:
    """Print faults and warnings on a file; exit with code 4 for a fault, 8 for warnings with --strict."""
    proposed = control_api.read_entries(file, form)
    table = control_api.call(core, "GET", "/rows")["rows"]
    members = control_api.call(core, "GET", "/members")["members"]
    fleet = checker.read_fleet(members, control_api.call(core, "GET", "/ledger")["rows"])
    findings = checker.validate(table, proposed, fleet)
    for finding in findings:
        click.echo(f"{finding.level}: {finding.kind} {finding.name}: {finding.field}: {finding.message}")
    click.echo(f"{len(findings)} finding(s) for {len(proposed)} row(s); nothing was sent")
    levels = {finding.level for finding in findings}
    if "fault" in levels:
        sys.exit(control_api.ExitCode.INVALID)
    sys.exit(control_api.ExitCode.WARNINGS if strict and levels else control_api.ExitCode.OK)


@click.command(help="Compare the configuration with FILE. Exit code 9 if they differ.")
@click.argument("file", type=click.File("rb"))
@control_api.format_option
@control_api.node_option
def diff(*, file: typing.BinaryIO, form: str, core: str) -> None:
    """Print a line for each entry that differs between the file and the configuration in force."""
    proposed = control_api.read_entries(file, form)
    lines = formats.differences(proposed, control_api.call(core, "GET", "/rows")["rows"])
    for line in lines:
        click.echo(line)
    click.echo(f"{len(lines)} difference(s)")
    sys.exit(control_api.ExitCode.DIFFERENCES if lines else control_api.ExitCode.OK)


@click.command(help="Apply the entries in FILE. All of them or none change; '-' reads standard input.")
@click.argument("file", type=click.File("rb"))
@control_api.change_option
@control_api.format_option
@control_api.node_option
def apply(*, file: typing.BinaryIO, change: str | None, form: str, core: str) -> None:
    """Send entries; an entry with a version is rejected if the entry in force has another version."""
    entries = []
    for entry in control_api.read_entries(file, form):
        sent = {key: value for key, value in entry.items() if key != "serial"}
        if "serial" in entry:
            sent.setdefault("expected", entry["serial"])
        entries.append(sent)
    content = {"rows": entries, **({"change": change} if change else {})}
    control_api.print_json(control_api.call(core, "POST", "/changes", content))


@click.command(
    "apply-items",
    help="Apply the versioned items in FILE. JSON: under put and drop, lists by kind; all or none change.",
)
@click.argument("file", type=click.File("rb"))
@control_api.node_option
def apply_items(*, file: typing.BinaryIO, core: str) -> None:
    """Send versioned items; an item takes effect if its version is the highest seen for its name."""
    try:
        content = json.load(file)
    except ValueError as error:
        raise click.ClickException(f"{file.name}: {error}; give whole JSON") from None
    control_api.print_json(control_api.call(core, "POST", "/amendments", content))


@click.command(help="Purge cached objects by path or by tag.")
@click.option(
    "--path",
    "paths",
    multiple=True,
    metavar="PATH",
    help="The complete path of objects to purge; may be repeated.",
)
@click.option(
    "--tag", "tags", multiple=True, metavar="TAG", help="A cache tag of objects to purge; may be repeated."
)
@control_api.change_option
@control_api.node_option
def purge(*, paths: tuple[str, ...], tags: tuple[str, ...], change: str | None, core: str) -> None:
    """Purge objects by path and by tag; they are not served later than 2 s after the response."""
    if not paths and not tags:
        raise click.UsageError("give at least one --path or --tag")
    content = {"paths": list(paths), "tags": list(tags), **({"change": change} if change else {})}
    control_api.print_json(control_api.call(core, "POST", "/purges", content))


@click.command(help="Send no new requests to SITE. With the setting evacuates=origins: none to its origins.")
@click.argument("site")
@click.option("--insist", is_flag=True, help="Drain SITE even if the other sites cannot carry its load.")
@control_api.node_option
def drain(*, site: str, insist: bool, core: str) -> None:
    """Evacuate a site; the node rejects this, with figures, if the other sites cannot carry the load."""
    path = f"/sites/{site}/evacuation{'?insist=true' if insist else ''}"
    control_api.print_json(control_api.call(core, "PUT", path))


@click.command(help="End the drain of SITE. It gets new requests again.")
@click.argument("site")
@control_api.node_option
def undrain(*, site: str, core: str) -> None:
    """End the evacuation of a site."""
    control_api.print_json(control_api.call(core, "DELETE", f"/sites/{site}/evacuation"))


@click.command("replace-voter", help="Replace voter OLD by NEW. NEW is a spare control plane node.")
@click.argument("old")
@click.argument("new")
@control_api.node_option
def replace_voter(*, old: str, new: str, core: str) -> None:
    """Replace one voter in the voter sets of all tables."""
    path = "/voters/" + control_api.quote(new)
    control_api.print_json(control_api.call(core, "PUT", path, {"replaces": old}))


@click.command("remove-voter", help="Remove a voter without a replacement.")
@click.argument("name")
@control_api.node_option
def remove_voter(*, name: str, core: str) -> None:
    """Remove one voter from the voter sets of all tables."""
    control_api.print_json(control_api.call(core, "DELETE", "/voters/" + control_api.quote(name)))


COMMANDS = [validate, diff, apply, apply_items, purge, drain, undrain, replace_voter, remove_voter]
