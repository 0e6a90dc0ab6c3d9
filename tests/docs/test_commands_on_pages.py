"""Commands and settings that the pages show exist, with their options."""

import pathlib
import re

import click
import pytest

from irisstand import commands, node_settings

ROOT = pathlib.Path(__file__).parents[2]
RECORDS = {"measurements.md", "brief.md"}
PAGES = [
    page
    for page in sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
    if page.name not in RECORDS and page.parent.name != "incidents"
]
CALL = re.compile(r"(?<![\w\-.])irisstand((?: +[^\s`|&>;()]+)+)")
DAEMON = re.compile(r"irisstand-(?:dataplane|controlplane) ((?:[^\n]*\\\n)*[^\n]*)")
IN_CODE = re.compile(r"^```.*?^```$|^    \S[^\n]*$|`[^`\n]+`", re.MULTILINE | re.DOTALL)


def code_of(page: pathlib.Path) -> str:
    """What stands in code: fences, indented lines and backticks, without comments."""
    return "\n".join(re.sub(r" {2,}(#|[a-z]+ ).*", "", text) for text in IN_CODE.findall(page.read_text()))


def faults_of(words: list[str]) -> list[str]:
    """What of a call does not exist; options of the wrong command count, too."""
    found: click.Command = commands.main
    faults = []
    for word in words:
        if word.startswith("--"):
            known = {option for parameter in found.params for option in parameter.opts} | {
                "--help",
                "--version",
            }
            faults += [] if word in known else [word]
        elif isinstance(found, click.Group):
            if word not in found.commands or found.commands[word].hidden:
                return [*faults, word]
            found = found.commands[word]
    return faults


def test_wrong_commands_are_found() -> None:
    assert faults_of(["apply", "file", "--change"]) == []
    assert faults_of(["vet"]) == ["vet"]
    assert faults_of(["get", "row"]) == ["row"]
    assert faults_of(["apply", "--strict"]) == ["--strict"]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_command_that_a_page_shows_exists(page: pathlib.Path) -> None:
    calls = [words.split() for words in CALL.findall(code_of(page))]
    assert [call for call in calls if faults_of(call)] == []


def test_the_pages_show_commands() -> None:
    shown = {tuple(words.split()[:1]) for page in PAGES for words in CALL.findall(code_of(page))}
    assert {("apply",), ("validate",), ("drain",), ("start-cluster",), ("simulate",)} <= shown


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_every_option_of_a_daemon_that_a_page_shows_is_a_setting(page: pathlib.Path) -> None:
    options = {
        option for call in DAEMON.findall(code_of(page)) for option in re.findall(r"--([a-z-]+)", call)
    }
    assert {option.replace("-", "_") for option in options} <= {*node_settings.REGISTRY, "settings", "help"}
