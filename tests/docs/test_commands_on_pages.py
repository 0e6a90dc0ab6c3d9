"""Commands, options and settings that the documentation shows exist in the program."""

import pathlib
import re

import click
import pytest

from irisstand import commands, node_settings

ROOT = pathlib.Path(__file__).parents[2]
# Pages that record the past and keep the commands of their time.
RECORD_PAGES = {"measurements.md", "brief.md"}
PAGES = [
    page
    for page in sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
    if page.name not in RECORD_PAGES and page.parent.name != "incidents"
]
COMMAND_PATTERN = re.compile(r"(?<![\w\-.])irisstand((?: +[^\s`|&>;()]+)+)")
DAEMON_PATTERN = re.compile(r"irisstand-(?:dataplane|controlplane) ((?:[^\n]*\\\n)*[^\n]*)")
CODE_PATTERN = re.compile(r"^```.*?^```$|^    \S[^\n]*$|`[^`\n]+`", re.MULTILINE | re.DOTALL)


def code_on(page: pathlib.Path) -> str:
    """Return the code on a page (fences, indented lines, text in backticks) without trailing comments."""
    return "\n".join(
        re.sub(r" {2,}(#|[a-z]+ ).*", "", text) for text in CODE_PATTERN.findall(page.read_text())
    )


def unknown_words(words: list[str]) -> list[str]:
    """Return the subcommand or options of a call that do not exist for the command that they follow."""
    command: click.Command = commands.main
    unknown = []
    for word in words:
        if word.startswith("--"):
            known = {option for parameter in command.params for option in parameter.opts} | {
                "--help",
                "--version",
            }
            unknown += [] if word in known else [word]
        elif isinstance(command, click.Group):
            if word not in command.commands or command.commands[word].hidden:
                return [*unknown, word]
            command = command.commands[word]
    return unknown


def test_wrong_commands_are_found() -> None:
    assert unknown_words(["apply", "file", "--change"]) == []
    assert unknown_words(["vet"]) == ["vet"]
    assert unknown_words(["get", "row"]) == ["row"]
    assert unknown_words(["apply", "--strict"]) == ["--strict"]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_command_that_a_page_shows_exists(page: pathlib.Path) -> None:
    calls = [words.split() for words in COMMAND_PATTERN.findall(code_on(page))]
    assert [call for call in calls if unknown_words(call)] == []


def test_the_pages_show_commands() -> None:
    shown_commands = {
        tuple(words.split()[:1]) for page in PAGES for words in COMMAND_PATTERN.findall(code_on(page))
    }
    assert {("apply",), ("validate",), ("drain",), ("start-cluster",), ("simulate",)} <= shown_commands


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_option_of_a_daemon_that_a_page_shows_is_a_setting(page: pathlib.Path) -> None:
    options = {
        option
        for call in DAEMON_PATTERN.findall(code_on(page))
        for option in re.findall(r"--([a-z-]+)", call)
    }
    assert {option.replace("-", "_") for option in options} <= {*node_settings.REGISTRY, "settings", "help"}
