"""The tables of docs/on-call.md list exactly the log events and counters of the daemons."""

import ast
import collections
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[2]
SOURCE = ROOT / "src" / "irisstand"
PAGE = (ROOT / "docs" / "on-call.md").read_text()
# Packages that run only on developers' machines; operators see none of their events and counters.
NOT_IN_DAEMONS = {"simulator", "modelcheck", "localcluster", "soak", "emulators", "cli"}
ROW = re.compile(r"^\| `([^`]+)` \|([^|]*)\|([^|]*)\|([^|]*)\|$", re.MULTILINE)
Names = dict[str, set[str]]


def calls(tree: ast.AST):
    """Yield each call of an attribute of a module or object, as (name of the module or object, call)."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            owner = node.func.value
            yield getattr(owner, "attr", getattr(owner, "id", "")), node


def names_in(text: str, owner: str, method: str = "") -> Names:
    """Return the first argument of each call on `owner`, with the names of all keyword arguments."""
    found: Names = collections.defaultdict(set)
    for name, call in calls(ast.parse(text)):
        if name != owner or (method and call.func.attr != method) or not call.args:
            continue
        first = call.args[0]
        assert isinstance(first, ast.Constant), ast.unparse(call)
        assert isinstance(first.value, str), ast.unparse(call)
        found[first.value] |= {keyword.arg or "**" for keyword in call.keywords}
    return found


def names_in_daemons(owner: str, method: str = "") -> Names:
    """Return the names in the calls on `owner` in all packages that run in daemons, as `names_in` does."""
    found: Names = collections.defaultdict(set)
    for path in SOURCE.rglob("*.py"):
        if path.relative_to(SOURCE).parts[0] not in NOT_IN_DAEMONS:
            for name, keywords in names_in(path.read_text(), owner, method).items():
                found[name] |= keywords
    return found


def table(heading: str) -> dict[str, tuple[set[str], str]]:
    """Return the table rows below a heading of the page, as name to (fields or labels, meaning)."""
    section = PAGE.split(f"\n## {heading}\n")[1].split("\n## ")[0]
    rows = ROW.findall(section)
    assert len(rows) == len({name for name, *_ in rows})
    return {
        name: (set(re.findall(r"`([^`]+)`", fields)), meaning.strip()) for name, fields, meaning, _ in rows
    }


def test_names_are_found_in_calls_of_every_form() -> None:
    text = "self.context.counters.add('a', 2, of='x')\ncounters.add('b')\nother.add('c')\ncounters.get('d')"
    assert names_in(text, "counters", "add") == {"a": {"of"}, "b": set()}
    assert names_in("event_log.record('e', why=1)\nevent_log.Ring()", "event_log") == {"e": {"why"}}
    with pytest.raises(AssertionError):
        names_in("counters.add(name)", "counters", "add")


@pytest.mark.parametrize(
    ("heading", "owner", "method", "at_least"),
    [("Log events", "event_log", "", 15), ("Counters", "counters", "add", 40)],
)
def test_the_tables_name_what_the_source_names(heading, owner, method, at_least) -> None:
    source, page = names_in_daemons(owner, method), table(heading)
    assert len(source) >= at_least
    assert sorted(page) == sorted(source)
    assert {name: fields for name, (fields, _) in page.items()} == source
    assert [name for name, (_, meaning) in page.items() if not meaning] == []


def test_every_alarm_counter_and_situation_that_the_page_refers_to_exists() -> None:
    counters = table("Counters")
    headings = re.findall(r"^### (\d+)\. (.+)$", PAGE, re.MULTILINE)
    assert [int(number) for number, _ in headings] == list(range(1, 11))
    numbers = [
        int(n) for text in re.findall(r"situations? ([\d and,]+)", PAGE) for n in re.findall(r"\d+", text)
    ]
    assert set(numbers) <= set(range(1, 11))
    anchors = {
        f"{number}-{re.sub(r'[^a-z0-9 -]', '', title.lower()).replace(' ', '-')}"
        for number, title in headings
    }
    assert set(re.findall(r"\(#([^)]+)\)", PAGE)) <= anchors
    alarms = PAGE.split("\n## Alarms\n")[1].split("\n## ")[0]
    named = set(re.findall(r"`([a-z]+_[a-z_]+)`", alarms))
    assert named
    assert named <= set(counters)
