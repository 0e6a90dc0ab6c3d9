"""A command group whose help lists commands in sections, and hidden aliases for earlier command names."""

import collections.abc
import typing

import click


class SectionedGroup(click.Group):
    """A command group whose help lists the commands under several headings.

    Attributes:
        sections: The commands of each section, by its heading.
    """

    def __init__(self, *arguments: typing.Any, **options: typing.Any) -> None:
        super().__init__(*arguments, **options)
        self.sections: dict[str, list[click.Command]] = {}

    def add_section(self, title: str, commands: collections.abc.Iterable[click.Command]) -> None:
        """Add commands, which the help lists under the heading `title` in the given order."""
        self.sections[title] = list(commands)
        for command in self.sections[title]:
            self.add_command(command)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the commands of each section below its heading into the help text."""
        names = [command.name or "" for commands in self.sections.values() for command in commands]
        # Click's lists take six characters of a line for the indentation and the gap between the columns.
        limit = formatter.width - 6 - max(map(len, names))
        for title, commands in self.sections.items():
            rows = [(command.name or "", command.get_short_help_str(limit)) for command in commands]
            with formatter.section(title):
                formatter.write_dl(rows, col_max=max(map(len, names)))


def alias(command: click.Command, earlier: str, current: str) -> click.Command:
    """Return a hidden command that prints a deprecation notice to standard error and then runs `command`.

    Args:
        command: The command under its current name.
        earlier: The words that users typed before, without `irisstand`; the alias is named by the last word.
        current: The words that users type now, without `irisstand`.
    """
    callback = typing.cast("collections.abc.Callable[..., typing.Any]", command.callback)

    def run(*arguments: typing.Any, **options: typing.Any) -> typing.Any:
        notice = f"irisstand: '{earlier}' is now '{current}'; the earlier name goes with the next version"
        click.echo(notice, err=True)
        return callback(*arguments, **options)

    name = earlier.rpartition(" ")[2]
    return click.Command(name, callback=run, params=command.params, help=command.help, hidden=True)
