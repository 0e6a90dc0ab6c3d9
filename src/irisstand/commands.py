"""The `irisstand` command line: operates and inspects a network, and helps to develop the software."""

import click

import irisstand
from irisstand.cli import develop, inspect, operate, sections


@click.group(
    cls=sections.SectionedGroup,
    context_settings={"show_default": True, "help_option_names": ["-h", "--help"]},
    help="""Operate an irisstand network, inspect it, or run one on this machine.

    Commands that talk to a network need the address of any control plane node: --core or IRISSTAND_CORE.
    """,
    epilog="Exit codes: 0 done, 1 other error, 2 wrong usage, 3 version conflict or not enough capacity, "
    "4 invalid configuration, 5 unknown name, 6 not confirmed by a majority, 7 node not reachable, "
    "8 warnings (validate --strict), 9 differences (diff).",
)
@click.version_option(irisstand.VERSION, prog_name="irisstand")
def main() -> None:
    """Run the `irisstand` command line."""


main.add_section("Operate", operate.COMMANDS)
main.add_section("Inspect", inspect.COMMANDS)
main.add_section("Develop", develop.COMMANDS)


# -- command names of version 0.1, kept as hidden aliases until the next version ---------------------
@main.group("rows", hidden=True, help="Command names of version 0.1 for the configuration.")
def rows() -> None:
    """Group the hidden `rows ...` commands of version 0.1."""


@main.group("voters", hidden=True, help="Command names of version 0.1 for voters.")
def voters() -> None:
    """Group the hidden `voters ...` commands of version 0.1."""


# For each renamed command: its words in version 0.1, its current words, and the command itself.
EARLIER_NAMES: list[tuple[str, str, click.Command]] = [
    ("rows get", "get configuration", inspect.get_configuration),
    ("rows send", "apply", operate.apply),
    ("rows compare", "diff", operate.diff),
    ("vet", "validate", operate.validate),
    ("amend", "apply-items", operate.apply_items),
    ("items", "get items", inspect.get_items),
    ("change", "get change", inspect.get_change),
    ("evacuate", "drain", operate.drain),
    ("return", "undrain", operate.undrain),
    ("machines", "list machines", inspect.list_machines),
    ("members", "list members", inspect.list_members),
    ("voters show", "list voters", inspect.list_voters),
    ("voters replace", "replace-voter", operate.replace_voter),
    ("voters retire", "remove-voter", operate.remove_voter),
    ("rehearse", "start-cluster", develop.start_cluster),
    ("stand-ins", "start-emulators", develop.start_emulators),
    ("storm", "benchmark propagation", develop.benchmark_propagation),
    ("detection", "benchmark failure-detection", develop.benchmark_failure_detection),
    ("sizes", "benchmark sizes", develop.benchmark_sizes),
    ("big-configurations", "benchmark large-configurations", develop.benchmark_large_configurations),
]
# The command groups of version 0.1 by the first word of the command line; "" is the top level.
GROUPS: dict[str, click.Group] = {"": main, "rows": rows, "voters": voters}

for earlier, current, command in EARLIER_NAMES:
    GROUPS[earlier.rpartition(" ")[0]].add_command(sections.alias(command, earlier, current))

if __name__ == "__main__":
    main()
