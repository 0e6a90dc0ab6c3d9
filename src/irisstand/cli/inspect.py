"""Commands that show the state of a running network and change nothing in it."""

import click

from irisstand.cli import control_api


@click.group("get", help="Show the configuration, versioned items or a change.")
def get_group() -> None:
    """Group the commands that print the JSON content of a node's response."""


@get_group.command("configuration", help="Show the configuration in force. Each entry has its version.")
@control_api.node_option
def get_configuration(*, core: str) -> None:
    """Print the configuration entries in force in a form that the command `apply` accepts as its file."""
    control_api.print_json(control_api.call(core, "GET", "/rows"))


@get_group.command(
    "items", help="Show the versioned items in force. The output is a valid file for apply-items."
)
@control_api.node_option
def get_items(*, core: str) -> None:
    """Print the versioned items in force in a form that the command `apply-items` accepts as its file."""
    control_api.print_json(control_api.call(core, "GET", "/items"))


@get_group.command(
    "change",
    help="Show the state of a change. Its entries, what replaced them, and who has it in force.",
)
@click.argument("change", metavar="ID")
@control_api.node_option
def get_change(*, change: str, core: str) -> None:
    """Print the state of a change; the control plane node asks the other nodes for theirs when called."""
    control_api.print_json(control_api.call(core, "GET", "/changes/" + control_api.quote(change)))


@click.group("list", help="List machines, members or voters.")
def list_group() -> None:
    """Group the commands that list machines, members and voters."""


@list_group.command(
    "machines", help="List machines and why they are active or on standby. Saved machine-hours are shown too."
)
@control_api.node_option
def list_machines(*, core: str) -> None:
    """Print site, state, saved hours and reason of the state of each machine, and the sum of the hours."""
    answer = control_api.call(core, "GET", "/machines")
    for name, entry in sorted(answer["machines"].items()):
        state = "evacuated" if entry["evacuated"] else "rests" if entry["rests"] else "awake"
        click.echo(f"{name:<20} {entry['site']:<10} {state:<10} {entry['hours_saved']:>8} h  {entry['why']}")
    click.echo(f"machine-hours saved: {answer['machine_hours_saved']}")


@list_group.command(
    "members", help="List members and their state. Both as known to the node that --core names."
)
@control_api.node_option
def list_members(*, core: str) -> None:
    """Print one line for each member, sorted by role, name and state."""
    members = control_api.call(core, "GET", "/members")["members"]
    for member in sorted(members, key=lambda member: (member["role"], member["name"], member["state"])):
        click.echo(
            f"{member['name']:<20} {member['role']:<8} {member['state']:<8} {member['site']:<10} "
            f"{member['host']}:{member['port']} life {member['life']} incarnation {member['incarnation']}"
        )


@list_group.command(
    "voters",
    help="List voters and spare nodes (JSON). For each table, with the voters that respond now.",
)
@control_api.node_option
def list_voters(*, core: str) -> None:
    """Print the voter sets and spare nodes; the control plane node asks the voters whether they respond."""
    control_api.print_json(control_api.call(core, "GET", "/voters"))


COMMANDS = [get_group, list_group]
