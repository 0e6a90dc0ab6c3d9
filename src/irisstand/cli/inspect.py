"""Commands that show the state of a running network and change nothing."""

import click

from irisstand.cli import control_api


@click.group("get", help="Show configuration, items or a change.")
def get_group() -> None:
    """Commands whose answer is JSON as the node gave it."""


@get_group.command("configuration", help="Show the configuration in force, with versions.")
@control_api.node_option
def get_configuration(*, core: str) -> None:
    """Print the entries in a form that `apply` takes."""
    control_api.print_json(control_api.call(core, "GET", "/rows"))


@get_group.command("items", help="Show the versioned items in force. The output may be given to apply-items.")
@control_api.node_option
def get_items(*, core: str) -> None:
    """Print the versioned items."""
    control_api.print_json(control_api.call(core, "GET", "/items"))


@get_group.command(
    "change",
    help="Show what became of a change. Its entries, what replaced them, who has it in force.",
)
@click.argument("change", metavar="ID")
@control_api.node_option
def get_change(*, change: str, core: str) -> None:
    """Print a change's state; the nodes are asked live."""
    control_api.print_json(control_api.call(core, "GET", "/changes/" + control_api.quote(change)))


@click.group("list", help="List machines, members or voters.")
def list_group() -> None:
    """Commands that list what the network consists of."""


@list_group.command(
    "machines", help="List machines and why they are on standby or not. Machine-hours saved are shown too."
)
@control_api.node_option
def list_machines(*, core: str) -> None:
    """Print one line for each machine."""
    answer = control_api.call(core, "GET", "/machines")
    for name, entry in sorted(answer["machines"].items()):
        state = "evacuated" if entry["evacuated"] else "rests" if entry["rests"] else "awake"
        click.echo(f"{name:<20} {entry['site']:<10} {state:<10} {entry['hours_saved']:>8} h  {entry['why']}")
    click.echo(f"machine-hours saved: {answer['machine_hours_saved']}")


@list_group.command("members", help="List the members and their state. The node named by --core is asked.")
@control_api.node_option
def list_members(*, core: str) -> None:
    """Print one line for each member, by role, name and state."""
    members = control_api.call(core, "GET", "/members")["members"]
    for member in sorted(members, key=lambda member: (member["role"], member["name"], member["state"])):
        click.echo(
            f"{member['name']:<20} {member['role']:<8} {member['state']:<8} {member['site']:<10} "
            f"{member['host']}:{member['port']} life {member['life']} incarnation {member['incarnation']}"
        )


@list_group.command(
    "voters",
    help="List voters and spare nodes (JSON). For each table, with those that answer now.",
)
@control_api.node_option
def list_voters(*, core: str) -> None:
    """Print the voter sets; the voters are asked live."""
    control_api.print_json(control_api.call(core, "GET", "/voters"))


COMMANDS = [get_group, list_group]
