"""Writes days with many faults for a deployment on the platform's test bench, each by a seed, and plays them.

    python tools/worst_days.py write SITE.toml --theme cut-off --seed 7 --out day.toml
    python tools/worst_days.py play SITE.toml --bench PATH --days 10 --first-seed 1 --out DIR

A theme is an entry of `fault_themes.THEMES`, a list of kinds of faults. A day combines two to four of them at
random times, some of them repeated, with changes of the configuration and purges. Everything else, such as
traffic and marks, is taken from the quiet day in the site's file.
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

# Earliest and latest start of a fault, in seconds from the start of the day's traffic.
FIRST_FAULT_AT, LAST_FAULT_AT = 3.0, 22.0
# A first fault of its kind starts at least this long before `LAST_FAULT_AT`, so that it can be repeated.
REPEAT_MARGIN_SECONDS = 6
# Probability that a day ends with one of the `CLOSINGS`.
CLOSING_PROBABILITY = 0.6
# Theme that draws from the faults of all other themes.
MIXED = "mixed"
THEME_NAMES = [*fault_themes.THEMES, MIXED]
# Faults of the whole cluster that may end a day.
CLOSINGS = [
    {"kind": "power_off_all", "down_s": 1.2},
    {"kind": "wipe_after_ack", "down_s": 1.4, "how": "aimed"},
    {"kind": "wipe_after_ack", "down_s": 1.2, "how": "timed"},
    {"kind": "kill_all", "down_s": 0.7},
    {"kind": "power_off_all", "down_s": 1.0, "how": "timed"},
]
# Lines of the bench's output that name broken rules or work for clients that had left, or that say why the
# bench rejects the day: it does not allow some kinds of faults for some deployments.
VERDICT = re.compile(
    r"[^\n]*rules? broken[^\n]*|short of the gate[^\n]*|^fleetbench: [^\n]*|^GONE[^\n]*", re.MULTILINE
)
# Amount of work, in the bench's unit, that was done for clients that had already left.
ABANDONED_WORK = re.compile(r"([\d.]+) worth worked on after its client had left")
VERDICT_CHARACTERS_LIMIT = 300

Day = dict[str, typing.Any]


def faults_of_theme(theme: str) -> list[fault_themes.Fault]:
    """Return the kinds of faults from which a day of a theme is drawn."""
    if theme != MIXED:
        return fault_themes.THEMES[theme]
    return [fault for faults in fault_themes.THEMES.values() for fault in faults]


def draw_day(site: Day, theme: str, seed: int) -> Day:
    """Draw a day in the bench's format, with two to four kinds of faults and one or two of changes."""
    randomness = random.Random(f"{site['name']} {theme} {seed}")
    quiet_day = next(day for day in site["day"] if day["slot"] == "quiet")
    candidates = faults_of_theme(theme)
    day = {key: value for key, value in quiet_day.items() if key not in ("plan", "faults", "small")}
    day.update(name=f"worst-{theme}-{seed}", slot="trouble", seed=randomness.randrange(1, 2**31), light=False)
    plan: list[Day] = [{"at": 2.0, "kind": "config_change", "how": "idle"}]
    faults: list[Day] = []
    for fault in fault_themes.FIXED_FAULTS.get(theme, []):
        entry = {"at": FIRST_FAULT_AT, "kind": fault.kind, **fault.fields(randomness)}
        if fault.is_at_objects:
            entry |= object_service(site)
        (plan if fault.is_planned else faults).append(entry)
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


def object_service(site: Day) -> Day:
    """Return the field that names the first service of a site whose origins serve objects, if any."""
    names = [service["name"] for service in site.get("services", []) if service.get("model") == "origin"]
    return {"service": names[0]} if names else {}


def draw_entries(fault: fault_themes.Fault, randomness: random.Random, catch_up_seconds: float) -> list[Day]:
    """Draw one to three successive entries of a kind of fault."""
    entries: list[Day] = []
    at_seconds = randomness.uniform(FIRST_FAULT_AT, LAST_FAULT_AT - REPEAT_MARGIN_SECONDS)
    for _ in range(randomness.choice((1, 1, 2, 3))):
        entry = {"at": round(at_seconds, 2), "kind": fault.kind, **fault.fields(randomness)}
        entries.append(entry)
        # The next entry starts soon after the time that the bench allows for catching up from this one.
        at_seconds += entry.get("for_s", 1.0) + catch_up_seconds + randomness.choice((0.1, 0.3, 1.0, 2.5))
        if at_seconds > LAST_FAULT_AT:
            break
    return entries


def start_of(entry: Day) -> float:
    """Return the start of an entry of a day, in seconds from the start of traffic."""
    return float(entry["at"])


def as_toml(value: typing.Any) -> str:
    """Return a value as one line of TOML; nested tables become inline tables.

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
    """Write a day as a TOML file for the bench."""
    path.write_text("[[day]]\n" + "".join(f"{key} = {as_toml(value)}\n" for key, value in day.items()))


class BenchResult(typing.NamedTuple):
    """Result of the bench for one day.

    Attributes:
        exit_code: Exit code of the bench.
        verdict: Lines of its output about broken rules or the rejection of the day.
        abandoned_work: Amount of work for clients that had left, as printed by the bench; "-" if not printed.
    """

    exit_code: int
    verdict: str
    abandoned_work: str


def play_day(command: list[str], log: pathlib.Path) -> BenchResult:
    """Play a day by running the bench, and save the output of the bench as a log file."""
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    output = completed.stdout + completed.stderr
    log.write_text(output)
    verdict = "; ".join(sorted(set(VERDICT.findall(output))))[:VERDICT_CHARACTERS_LIMIT]
    abandoned_work = ABANDONED_WORK.search(output)
    return BenchResult(
        completed.returncode,
        verdict or "no broken rule reported",
        abandoned_work[1] if abandoned_work else "-",
    )


@click.group(help=__doc__)
def main() -> None:
    """Group the commands that write and play days."""


@main.command(help="Write one day of a theme to a file.")
@click.argument("site", type=click.Path(exists=True))
@click.option("--theme", type=click.Choice(THEME_NAMES), default=MIXED, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(), required=True)
def write(site: str, theme: str, seed: int, out: str) -> None:
    """Write one day of a theme to a file."""
    write_day(pathlib.Path(out), draw_day(tomllib.loads(pathlib.Path(site).read_text()), theme, seed))


@main.command(help="Write days of all themes in turn, play each, and print which of them broke a rule.")
@click.argument("site", type=click.Path(exists=True))
@click.option(
    "--bench", type=click.Path(exists=True), required=True, help="Executable of the platform's test bench."
)
@click.option("--theme", type=click.Choice(THEME_NAMES), help="Play only days of this theme.")
@click.option("--days", type=int, default=7, show_default=True)
@click.option("--first-seed", type=int, default=1, show_default=True)
@click.option("--jobs", type=int, default=4, show_default=True)
@click.option(
    "--out", type=click.Path(), required=True, help="Folder for the days and the logs of the bench."
)
@click.option("--why", default="days of the worst kinds", show_default=True)
def play(**options: typing.Any) -> None:
    """Play days, and exit with code 1 if the bench exited with another code than 0 on any of them."""
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
            f"{path.stem}: exit code {played.exit_code}; "
            f"work for departed clients {played.abandoned_work}; {played.verdict}"
        )
    sys.exit(failed)


if __name__ == "__main__":
    main()
