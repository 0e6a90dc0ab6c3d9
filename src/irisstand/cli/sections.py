"""A command group whose help lists commands by section, and hidden aliases for names of the last version."""

import collections.abc
import typing

import click


class SectionedGroup(click.Group):
    """A group that shows its commands under one heading for each kind of user."""

    def __init__(self, *arguments: typing.Any, **options: typing.Any) -> None:
        super().__init__(*arguments, **options)
        self.sections: dict[str, list[click.Command]] = {}

    def add_section(self, title: str, commands: collections.abc.Iterable[click.Command]) -> None:
        """Add commands that the help lists under `title`, in the order given."""
        self.sections[title] = list(commands)
        for command in self.sections[title]:
            self.add_command(command)

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write one list of commands for each section."""
        names = [command.name or "" for commands in self.sections.values() for command in commands]
        # Six columns of indentation and space between the two columns, as in click's own lists.
        limit = formatter.width - 6 - max(map(len, names))
        for title, commands in self.sections.items():
            rows = [(command.name or "", command.get_short_help_str(limit)) for command in commands]
            with formatter.section(title):
                formatter.write_dl(rows, col_max=max(map(len, names)))


def alias(command: click.Command, earlier: str, current: str) -> click.Command:
    """Make a hidden command that prints a notice to standard error and then does what `command` does.

    Args:
        command: the command under its current name.
        earlier: the words that users typed, without the program's name; the last one is the alias's own name.
        current: the words to type now.
    """
    callback = typing.cast("collections.abc.Callable[..., typing.Any]", command.callback)

    def run(*arguments: typing.Any, **options: typing.Any) -> typing.Any:
        notice = f"irisstand: '{earlier}' is now '{current}'; the earlier name goes with the next version"
        click.echo(notice, err=True)
        return callback(*arguments, **options)

    name = earlier.rpartition(" ")[2]
    return click.Command(name, callback=run, params=command.params, help=command.help, hidden=True)
