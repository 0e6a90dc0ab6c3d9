"""The `irisstand` command line: help texts, exit codes, and aliases for the command names of version 0.1."""

import json
import pathlib
import re

import click
import click.testing
import control_plane_stub
import pytest

from irisstand import commands
from irisstand.cli import control_api, develop, sections

FIXTURE = pathlib.Path(__file__).parents[1] / "fixtures" / "commands" / "earlier_names.json"
RECORDED = json.loads(FIXTURE.read_text())
NOTICE_PATTERN = re.compile(
    r"irisstand: '([^']*)' is now '([^']*)'; the earlier name goes with the next version\n"
)
NUMBER_PATTERN = re.compile(r" *\d+(\.\d+)?(e[-+]\d+)?")


def invoke(*words: str) -> click.testing.Result:
    return click.testing.CliRunner().invoke(commands.main, words)


def every_command(group: click.Group, path: tuple[str, ...] = ()):
    """Yield the words that name each visible command of a group and its subgroups, and the command itself."""
    for name, command in group.commands.items():
        if command.hidden:
            continue
        if isinstance(command, click.Group):
            yield from every_command(command, (*path, name))
        else:
            yield (*path, name), command


VISIBLE = dict(every_command(commands.main))


@pytest.mark.parametrize("recorded", RECORDED, ids=lambda recorded: " ".join(recorded["words"]))
def test_every_earlier_name_does_what_it_did(recorded, tmp_path):
    """Compare output, exit code and requests with a recording from before the commands were renamed."""
    result = control_plane_stub.run_command(commands.main, recorded["words"], tmp_path)
    notice = NOTICE_PATTERN.match(result["stderr"])
    assert (notice is None) == (recorded["words"][0] == "purge")
    if notice is not None:
        assert recorded["words"][: len(notice[1].split())] == notice[1].split()
        result["stderr"] = result["stderr"][notice.end() :]
    assert result == {name: recorded[name] for name in result}


@pytest.mark.parametrize("recorded", RECORDED, ids=lambda recorded: " ".join(recorded["words"]))
def test_every_present_name_does_the_same_without_a_notice(recorded, tmp_path):
    words = recorded["words"]
    for earlier, current, _ in commands.EARLIER_NAMES:
        if words[: len(earlier.split())] == earlier.split():
            words = [*current.split(), *words[len(earlier.split()) :]]
            break
    result = control_plane_stub.run_command(commands.main, words, tmp_path)
    assert NOTICE_PATTERN.search(result["stderr"]) is None
    # A usage error names the command as it was typed, so its text differs between the two names.
    compared = ["stdout", "code", "requests"] + ([] if recorded["code"] == 2 else ["stderr"])
    assert {name: result[name] for name in compared} == {name: recorded[name] for name in compared}


def test_every_earlier_name_is_hidden_and_takes_the_same_parameters():
    for earlier, current, command in commands.EARLIER_NAMES:
        group: click.Group = commands.main
        *groups, name = earlier.split()
        for word in groups:
            subgroup = group.commands[word]
            assert isinstance(subgroup, click.Group)
            assert subgroup.hidden
            group = subgroup
        assert group.commands[name].hidden
        assert group.commands[name].params == command.params
        assert VISIBLE[tuple(current.split())] is command


def test_an_alias_hands_on_its_options_and_what_the_command_ends_with():
    received_numbers = []

    @click.command()
    @click.option("--number", type=int, default=1)
    def command(number: int) -> None:
        received_numbers.append(number)
        raise SystemExit(9)

    alias = sections.alias(command, "old name", "new")
    result = click.testing.CliRunner().invoke(alias, ["--number", "7"])
    assert (alias.name, received_numbers, result.exit_code) == ("name", [7], 9)
    assert NOTICE_PATTERN.fullmatch(result.stderr).groups() == ("old name", "new")
    assert result.stdout == ""


@pytest.mark.parametrize(
    ("earlier", "current", "words", "code"),
    [
        ("rehearse", "start-cluster", ["--plan", "unknown"], 2),
        ("stand-ins", "start-emulators", ["--platform-port", "0"], 2),
        ("storm", "benchmark propagation", ["--clients", "0"], 2),
        ("detection", "benchmark failure-detection", ["--loss", "1"], 2),
        ("sizes", "benchmark sizes", [], 0),
        ("big-configurations", "benchmark large-configurations", ["--routes", "8"], 0),
    ],
)
def test_earlier_names_for_developers_do_the_same(earlier, current, words, code):
    old, new = invoke(earlier, *words), invoke(*current.split(), *words)
    assert (old.exit_code, new.exit_code) == (code, code)
    assert NUMBER_PATTERN.sub(" N", old.stdout) == NUMBER_PATTERN.sub(" N", new.stdout)
    # A usage error names the command as typed; only its last line, the error, is the same for both names.
    without_notice = old.stderr[NOTICE_PATTERN.match(old.stderr).end() :] if code == 0 else old.stderr
    assert without_notice.splitlines()[-1:] == new.stderr.splitlines()[-1:]


def test_names_that_stayed_still_work():
    assert invoke("simulate", "--kind", "unknown").exit_code == 2
    assert invoke("fuzz-origins", "--scripts", "0").exit_code == 2
    assert invoke("check-model", "--scenarios", "unknown").exit_code == 2
    assert develop.simulate in VISIBLE.values()


def test_help_lists_every_command_under_who_uses_it():
    text = invoke("--help").stdout
    positions = [text.index(f"\n{title}:\n") for title in ("Operate", "Inspect", "Develop")]
    assert positions == sorted(positions)
    for name, command in commands.main.commands.items():
        assert (f"\n  {name} " in text) is not command.hidden, name
    assert "..." not in text.partition("\n")[2]


@pytest.mark.parametrize("path", VISIBLE, ids=" ".join)
def test_every_option_has_help_and_its_default(path):
    command, text = VISIBLE[path], invoke(*path, "--help").stdout
    assert command.help
    assert command.help.endswith(".")
    for parameter in command.params:
        if not isinstance(parameter, click.Option):
            continue
        assert parameter.help, parameter.name
        assert parameter.help.endswith("."), parameter.name
        # Two defaults need not be shown: a flag is off, and a repeatable option without a default is empty.
        if not parameter.is_flag and (not parameter.multiple or isinstance(parameter.default, tuple)):
            entry = re.split(rf"^  {parameter.opts[-1]}(?= )", text, flags=re.MULTILINE)[1]
            assert "default: " in " ".join(re.split(r"^  -", entry, flags=re.MULTILINE)[0].split())


def test_options_for_times_name_their_unit():
    for path, command in VISIBLE.items():
        for parameter in command.params:
            if isinstance(parameter, click.Option) and parameter.name == "seconds":
                assert "seconds" in parameter.help, path


def test_the_exit_codes_are_those_that_scripts_know():
    assert {code.name: int(code) for code in control_api.ExitCode} == {
        "OK": 0,
        "OTHER": 1,
        "CONFLICT": 3,
        "INVALID": 4,
        "UNKNOWN_NAME": 5,
        "NOT_CONFIRMED": 6,
        "NOT_REACHABLE": 7,
        "WARNINGS": 8,
        "DIFFERENCES": 9,
    }
