"""Writes days of the worst kinds for a deployment of the platform's bench, by seed, and plays them.

    python tools/worst_days.py write SITE.toml --theme cut-off --seed 7 --out day.toml
    python tools/worst_days.py play SITE.toml --bench PATH --days 10 --first-seed 1 --out DIR

A theme is an entry of `fault_themes.THEMES`: kinds of faults, drawn in pairs and threes, at any moment,
repeated, with changes of the configuration and purges around them. Traffic and marks are those of the site's
own quiet day.
"""

import pathlib
import random
import re
import subprocess
import sys
import tomllib
import typing

import click
import fault_themes

# Of a day, in seconds from the start of traffic: when faults may begin, and when the last of them may.
FIRST_FAULT_AT, LAST_FAULT_AT = 3.0, 22.0
# Seconds before the last moment at which a fault that may come again begins at the latest.
REPEAT_MARGIN_SECONDS = 6
CLOSING_PROBABILITY = 0.6
MIXED = "mixed"
THEME_NAMES = [*fault_themes.THEMES, MIXED]
CLOSINGS = [
    {"kind": "power_off_all", "down_s": 1.2},
    {"kind": "wipe_after_ack", "down_s": 1.4, "how": "aimed"},
    {"kind": "wipe_after_ack", "down_s": 1.2, "how": "timed"},
    {"kind": "kill_all", "down_s": 0.7},
    {"kind": "power_off_all", "down_s": 1.0, "how": "timed"},
]
# What a report says of rules, and of work for clients that had left; or why the bench does not take the day:
# some kinds are closed to some deployments.
VERDICT = re.compile(
    r"[^\n]*rules? broken[^\n]*|short of the gate[^\n]*|^fleetbench: [^\n]*|^GONE[^\n]*", re.MULTILINE
)
ABANDONED_WORK = re.compile(r"([\d.]+) worth worked on after its client had left")
VERDICT_CHARACTERS_LIMIT = 300

Day = dict[str, typing.Any]


def faults_of_theme(theme: str) -> list[fault_themes.Fault]:
    """Return the faults that a theme draws from."""
    if theme != MIXED:
        return fault_themes.THEMES[theme]
    return [fault for faults in fault_themes.THEMES.values() for fault in faults]


def draw_day(site: Day, theme: str, seed: int) -> Day:
    """Return a day of the bench's own form: two to four kinds, some repeated `catch_up` after one another."""
    randomness = random.Random(f"{site['name']} {theme} {seed}")
    quiet_day = next(day for day in site["day"] if day["slot"] == "quiet")
    candidates = faults_of_theme(theme)
    day = {key: value for key, value in quiet_day.items() if key not in ("plan", "faults", "small")}
    day.update(name=f"worst-{theme}-{seed}", slot="trouble", seed=randomness.randrange(1, 2**31), light=False)
    plan: list[Day] = [{"at": 2.0, "kind": "config_change", "how": "idle"}]
    faults: list[Day] = [
        {"at": FIRST_FAULT_AT, "kind": fault.kind, **fault.fields(randomness)}
        for fault in fault_themes.FIXED_FAULTS.get(theme, [])
    ]
    chosen = randomness.sample(candidates, min(len(candidates), randomness.choice((2, 3, 3, 4))))
    chosen += randomness.sample(fault_themes.CONFIGURATION_CHANGES, randomness.choice((1, 2)))
    for fault in chosen:
        entries = draw_entries(fault, randomness, site["timing"]["catch_up_s"])
        (plan if fault.is_planned else faults).extend(entries)
    day["plan"] = sorted(plan, key=start_of)
    day["faults"] = sorted(faults, key=start_of)
    if randomness.random() < CLOSING_PROBABILITY:
        day["closing"] = randomness.choice(CLOSINGS)
    return day


def draw_entries(fault: fault_themes.Fault, randomness: random.Random, catch_up_seconds: float) -> list[Day]:
    """Return one to three entries of a kind of fault, one after the other."""
    entries: list[Day] = []
    at_seconds = randomness.uniform(FIRST_FAULT_AT, LAST_FAULT_AT - REPEAT_MARGIN_SECONDS)
    for _ in range(randomness.choice((1, 1, 2, 3))):
        entry = {"at": round(at_seconds, 2), "kind": fault.kind, **fault.fields(randomness)}
        entries.append(entry)
        # The next comes as soon as the tolerance allows it, or a little later.
        at_seconds += entry.get("for_s", 1.0) + catch_up_seconds + randomness.choice((0.1, 0.3, 1.0, 2.5))
        if at_seconds > LAST_FAULT_AT:
            break
    return entries


def start_of(entry: Day) -> float:
    """Return when an entry of a day begins, in seconds from the start of traffic."""
    return float(entry["at"])


def as_toml(value: typing.Any) -> str:
    """Return a value as TOML on one line; tables are written inline.

    >>> as_toml({"at": 1.5, "how": "race", "share": [1, True]})
    '{ at = 1.5, how = "race", share = [1, true] }'
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {as_toml(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(as_toml(item) for item in value) + "]"
    return str(value)


def write_day(path: pathlib.Path, day: Day) -> None:
    """Write a day as the bench reads it."""
    path.write_text("[[day]]\n" + "".join(f"{key} = {as_toml(value)}\n" for key, value in day.items()))


class BenchResult(typing.NamedTuple):
    """What the bench said of a day: exit code, rules it names, and its work for clients that had left."""

    exit_code: int
    verdict: str
    abandoned_work: str


def play_day(command: list[str], log: pathlib.Path) -> BenchResult:
    """Play a day by a command, and keep all that the command prints."""
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    output = completed.stdout + completed.stderr
    log.write_text(output)
    verdict = "; ".join(sorted(set(VERDICT.findall(output))))[:VERDICT_CHARACTERS_LIMIT]
    abandoned_work = ABANDONED_WORK.search(output)
    return BenchResult(
        completed.returncode, verdict or "no rule named", abandoned_work[1] if abandoned_work else "-"
    )


@click.group(help=__doc__)
def main() -> None:
    """Group the commands."""


@main.command(help="Write one day.")
@click.argument("site", type=click.Path(exists=True))
@click.option("--theme", type=click.Choice(THEME_NAMES), default=MIXED, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(), required=True)
def write(site: str, theme: str, seed: int, out: str) -> None:
    """Write one day of a theme."""
    write_day(pathlib.Path(out), draw_day(tomllib.loads(pathlib.Path(site).read_text()), theme, seed))


@main.command(help="Write days of all themes in turn, play each, and say which broke a rule.")
@click.argument("site", type=click.Path(exists=True))
@click.option("--bench", type=click.Path(exists=True), required=True, help="the platform's bench")
@click.option("--theme", type=click.Choice(THEME_NAMES), help="days of this theme only")
@click.option("--days", type=int, default=7, show_default=True)
@click.option("--first-seed", type=int, default=1, show_default=True)
@click.option("--jobs", type=int, default=4, show_default=True)
@click.option("--out", type=click.Path(), required=True, help="a folder for days and their reports")
@click.option("--why", default="days of the worst kinds", show_default=True)
def play(**options: typing.Any) -> None:
    """Play days, and end with exit code 1 if the bench named a fault on any."""
    site, bench, jobs, why = options["site"], options["bench"], options["jobs"], options["why"]
    (folder := pathlib.Path(options["out"])).mkdir(parents=True, exist_ok=True)
    site_table = tomllib.loads(pathlib.Path(site).read_text())
    themes = [options["theme"]] if options["theme"] else THEME_NAMES
    failed = False
    for number in range(options["days"]):
        seed, theme = options["first_seed"] + number, themes[number % len(themes)]
        path = folder / f"{site_table['name']}-{theme}-{seed}.toml"
        write_day(path, draw_day(site_table, theme, seed))
        command = [bench, "run", site, str(path), "--jobs", str(jobs), "--why", f"{why}: {theme} {seed}"]
        played = play_day(command, path.with_suffix(".log"))
        failed |= played.exit_code != 0
        click.echo(
            f"{path.stem}: exit {played.exit_code}; worked on {played.abandoned_work}; {played.verdict}"
        )
    sys.exit(failed)


if __name__ == "__main__":
    main()
