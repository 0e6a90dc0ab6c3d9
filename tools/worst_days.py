"""Writes days of the worst kinds for a deployment of the platform's bench, by seed, and plays them.

    python tools/worst_days.py write SITE.toml --theme cut-off --seed 7 --out day.toml
    python tools/worst_days.py play SITE.toml --bench PATH --days 10 --first-seed 1 --out DIR

A theme is an entry in THEMES: kinds of trouble, drawn in pairs and threes, at any moment, repeated, with
changes of the configuration and purges around them. Traffic and marks are the site's own quiet day's.
"""

import pathlib
import random
import re
import subprocess
import sys
import tomllib
import typing

import click

# Of a day, in seconds from the start of traffic: when trouble may begin, and when the last of it may.
FIRST, LAST = 3.0, 22.0
ACK_HOWS = ("", "kill", "timed", "taken")
RETURNS = ("leader meet race hard", "leader meet", "meet race hard", "race", "meet drain", "")


class Trouble(typing.NamedTuple):
    """One kind of trouble: which list of the day it stands in, and how its fields are drawn."""

    kind: str
    fields: typing.Callable[[random.Random], dict[str, typing.Any]]
    planned: bool = False


def span(low: float, high: float) -> typing.Callable[[random.Random], float]:
    return lambda draw: round(draw.uniform(low, high), 2)


def core(kind: str, *hows: str, low: float = 1.0, high: float = 5.0) -> Trouble:
    """Trouble on one machine of the core for some seconds."""

    def fields(draw: random.Random) -> dict[str, typing.Any]:
        length = round(draw.uniform(low, high), 2)
        return {"on": "core", "count": 1, "for_s": length, "how": draw.choice(hows or RETURNS)}

    return Trouble(kind, fields)


def plain(kind: str, *hows: str, planned: bool = False, **ranges: tuple[float, float]) -> Trouble:
    """Trouble whose figures are drawn from ranges and whose variant is drawn from `hows`."""

    def fields(draw: random.Random) -> dict[str, typing.Any]:
        found: dict[str, typing.Any] = {name: span(*limits)(draw) for name, limits in ranges.items()}
        if "count" in found:
            found["count"] = max(1, int(found["count"]))
        if hows:
            found["how"] = draw.choice(hows)
        return found

    return Trouble(kind, fields, planned)


CHANGES = [
    plain("config_change", "route", "weights", "timeout", planned=True),
    plain("config_storm", planned=True, for_s=(2, 5), gap_s=(0.1, 0.4)),
    plain("config_race", "", planned=True, count=(1, 5), gap_s=(0.4, 1.5)),
    plain("bad_config", "old_version", "same_version", "", planned=True, count=(1, 4), gap_s=(0.3, 1.2)),
    plain("purge_storm", "", "tag", planned=True, for_s=(1.5, 4), gap_s=(0.04, 0.2)),
    plain("evacuate", "", "warm", planned=True, for_s=(3, 8)),
]
THEMES: dict[str, list[Trouble]] = {
    "cut-off": [
        core("core_cut", *RETURNS, "one_way", "seeds", "both", "refuse race", "reset meet", low=4, high=20),
        core("node_cut", low=4, high=20),
        core("node_freeze", low=1, high=8),
        core("node_kill", "leader race hard", "seed race hard", "power meet race hard"),
        plain("zone_cut", "", "race hard", for_s=(3, 12)),
        plain("node_freeze", "", share=(0.05, 0.2), for_s=(1, 5)),
        core("node_slow", low=2, high=6),
    ],
    "one-content": [
        plain("config_race", "", planned=True, count=(2, 6), gap_s=(0.2, 1.0)),
        plain("bad_config", "old_version", "same_version", "", planned=True, count=(2, 5), gap_s=(0.2, 0.8)),
        plain("ack_lost", x=(0.4, 0.9), for_s=(3, 10)),
        plain("after_ack_kill", *ACK_HOWS, count=(1, 2), for_s=(0.8, 3)),
        core("node_kill", "leader race hard", "leader meet race hard"),
        core("core_cut", "leader race hard", "leader meet race hard"),
    ],
    "second-loss": [
        plain("replace_core", "", "planned", x=(0.5, 2)),
        plain("after_ack_wipe", *ACK_HOWS, for_s=(0.6, 2)),
        plain("zone_loss", "", "race drain hard", for_s=(1.5, 6)),
        plain("roll_term", "remove", "busy", "", planned=True, share=(0.2, 0.6), x=(1, 1), gap_s=(0.8, 2)),
        core("node_kill", "power meet", "power race hard"),
        plain("seed_turnover"),
        Trouble(
            "herd_kill", lambda draw: {"on": "core", "share": round(draw.uniform(0.4, 1), 2), "for_s": 1.0}
        ),
    ],
    "many-changes": [
        plain("config_storm", planned=True, for_s=(4, 9), gap_s=(0.06, 0.2)),
        plain("purge_storm", "", "tag", planned=True, for_s=(3, 8), gap_s=(0.03, 0.1)),
        core("node_kill", "power", "power leader meet race hard", ""),
        plain("disk_slow", "", "leader", count=(1, 2), x=(5, 30), for_s=(2, 5)),
        plain("disk_full", "", "leader", count=(1, 2), for_s=(2, 5)),
        plain("disk_stall", "", "leader", count=(1, 2), for_s=(2, 5)),
        plain("after_ack_kill", *ACK_HOWS, for_s=(0.6, 2)),
        plain("big_config", planned=True, count=(100, 900)),
    ],
    "sent-twice": [
        plain("answer_lost", "", "reset", share=(0.3, 0.8), x=(0.02, 0.08), for_s=(4, 8)),
        plain("garble", "extra", "extra late", "", share=(0.3, 0.7), x=(0.01, 0.04), for_s=(4, 8)),
        plain("reset_conns", "", share=(0.1, 0.5), x=(0.3, 0.9)),
        plain("node_freeze", "", share=(0.05, 0.2), for_s=(1, 3)),
        plain("replace_with_reuse", "", "drain", "dark", share=(0.1, 0.3)),
        plain("node_cut", "servers", share=(0.1, 0.3), for_s=(2, 5)),
        plain("roll_term", "busy", planned=True, share=(0.2, 0.6), x=(1, 2), gap_s=(0.8, 1.5)),
        plain("idle_race", share=(0.3, 0.8), x=(100, 400), for_s=(5, 9)),
    ],
    "others": [
        plain("srv_slow", "", "across", share=(0.1, 0.4), x=(3, 6), for_s=(3, 6)),
        plain(
            "srv_grey",
            "errors",
            "shed",
            "hang",
            "reset",
            "slow",
            share=(0.1, 0.3),
            x=(0.3, 0.6),
            for_s=(3, 6),
        ),
        plain("srv_lying_health", "errors", "hang", "bad", share=(0.1, 0.3), for_s=(3, 6)),
        plain("srv_flap", share=(0.1, 0.3), gap_s=(0.6, 1.5), for_s=(4, 8)),
        plain("srv_crash", "", "dark", "gone", share=(0.1, 0.3), for_s=(2, 5)),
        plain("release", planned=True, share=(0.3, 0.6), x=(1, 2), gap_s=(0.8, 1.5)),
        plain("scale_in", "", "spot", planned=True, share=(0.1, 0.2), x=(1, 3)),
        plain("scale_out", planned=True, share=(0.2, 0.4), gap_s=(1, 2)),
        plain("cold_return", "", "dark", for_s=(2, 4)),
        plain("clock_step", "", "back", "ahead", x=(1000, 5000), share=(0.2, 0.6), for_s=(2, 6)),
        plain("hup", planned=True, share=(0.3, 1), gap_s=(0.5, 2)),
        plain("herd_kill", "", "power", share=(0.3, 0.7), for_s=(0.8, 2)),
        plain("burst", x=(1.3, 1.8), for_s=(2, 4)),
        plain("retry_abuse", share=(0.1, 0.3), x=(2, 3), for_s=(3, 6)),
        plain("purge", "", "tag", planned=True, count=(2, 5), gap_s=(0.5, 1.5)),
    ],
}
CLOSINGS = [
    {"kind": "power_off_all", "down_s": 1.2},
    {"kind": "wipe_after_ack", "down_s": 1.4, "how": "aimed"},
    {"kind": "wipe_after_ack", "down_s": 1.2, "how": "timed"},
    {"kind": "kill_all", "down_s": 0.7},
    {"kind": "power_off_all", "down_s": 1.0, "how": "timed"},
]


def draw_day(site: dict[str, typing.Any], theme: str, seed: int) -> dict[str, typing.Any]:
    """A day of the bench's own form: two to four kinds, some repeated `catch_up` after one another."""
    draw = random.Random(f"{site['name']} {theme} {seed}")
    quiet = next(day for day in site["day"] if day["slot"] == "quiet")
    pool = (
        [trouble for troubles in THEMES.values() for trouble in troubles]
        if theme == "mixed"
        else THEMES[theme]
    )
    day = {key: value for key, value in quiet.items() if key not in ("plan", "faults", "small")}
    day.update(name=f"worst-{theme}-{seed}", slot="trouble", seed=draw.randrange(1, 2**31), light=False)
    plan = [{"at": 2.0, "kind": "config_change", "how": "idle"}]
    faults: list[dict[str, typing.Any]] = []
    chosen = draw.sample(pool, min(len(pool), draw.choice((2, 3, 3, 4))))
    chosen += draw.sample(CHANGES, draw.choice((1, 2)))
    for trouble in chosen:
        at = draw.uniform(FIRST, LAST - 6)
        for _ in range(draw.choice((1, 1, 2, 3))):
            entry = {"at": round(at, 2), "kind": trouble.kind, **trouble.fields(draw)}
            (plan if trouble.planned else faults).append(entry)
            # The next comes as soon as the tolerance allows it, or a little later.
            at += entry.get("for_s", 1.0) + site["timing"]["catch_up_s"] + draw.choice((0.1, 0.3, 1.0, 2.5))
            if at > LAST:
                break
    day["plan"] = sorted(plan, key=lambda entry: entry["at"])
    day["faults"] = sorted(faults, key=lambda entry: entry["at"])
    if draw.random() < 0.6:
        day["closing"] = draw.choice(CLOSINGS)
    return day


def as_toml(value: typing.Any) -> str:
    """A value as TOML on one line; tables are written inline.

    >>> as_toml({"at": 1.5, "how": "race", "share": [1, True]})
    '{ at = 1.5, how = "race", share = [1, true] }'
    """
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {as_toml(inner)}" for key, inner in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(as_toml(inner) for inner in value) + "]"
    return str(value)


def write_day(path: pathlib.Path, day: dict[str, typing.Any]) -> None:
    path.write_text("[[day]]\n" + "".join(f"{key} = {as_toml(value)}\n" for key, value in day.items()))


@click.group(help=__doc__)
def main() -> None:
    pass


@main.command(help="Write one day.")
@click.argument("site", type=click.Path(exists=True))
@click.option("--theme", type=click.Choice([*THEMES, "mixed"]), default="mixed", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--out", type=click.Path(), required=True)
def write(site: str, theme: str, seed: int, out: str) -> None:
    write_day(pathlib.Path(out), draw_day(tomllib.loads(pathlib.Path(site).read_text()), theme, seed))


@main.command(help="Write days of all themes in turn, play each, and say which broke a rule.")
@click.argument("site", type=click.Path(exists=True))
@click.option("--bench", type=click.Path(exists=True), required=True, help="the platform's bench")
@click.option("--days", type=int, default=7, show_default=True)
@click.option("--first-seed", type=int, default=1, show_default=True)
@click.option("--jobs", type=int, default=8, show_default=True)
@click.option("--out", type=click.Path(), required=True, help="a folder for days and their reports")
@click.option("--why", default="days of the worst kinds", show_default=True)
def play(site: str, bench: str, days: int, first_seed: int, jobs: int, out: str, why: str) -> None:
    (folder := pathlib.Path(out)).mkdir(parents=True, exist_ok=True)
    described, themes = tomllib.loads(pathlib.Path(site).read_text()), [*THEMES, "mixed"]
    failed = False
    for number in range(days):
        seed, theme = first_seed + number, themes[number % len(themes)]
        path = folder / f"{described['name']}-{theme}-{seed}.toml"
        write_day(path, draw_day(described, theme, seed))
        command = [bench, "run", site, str(path), "--jobs", str(jobs), "--why", f"{why}: {theme} {seed}"]
        done = subprocess.run(command, capture_output=True, text=True)
        path.with_suffix(".log").write_text(done.stdout + done.stderr)
        # What it broke, or why the bench does not take the day: some kinds are closed to some deployments.
        told = r"[^\n]*rules? broken[^\n]*|short of the gate[^\n]*|^fleetbench: [^\n]*"
        broken = sorted(set(re.findall(told, done.stdout + done.stderr, re.M)))
        failed |= done.returncode != 0
        click.echo(f"{path.stem}: exit {done.returncode}; {'; '.join(broken)[:300] or 'no rule named'}")
    sys.exit(failed)


if __name__ == "__main__":
    main()
