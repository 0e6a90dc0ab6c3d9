"""Faults and planned work for days of the platform's bench, by theme: which kinds, and how they are drawn."""

import random
import typing

Fields = dict[str, typing.Any]
DrawFields = typing.Callable[[random.Random], Fields]

ACK_HOWS = ("", "kill", "timed", "taken")
RETURNS = ("leader meet race hard", "leader meet", "meet race hard", "race", "meet drain", "")


class Fault(typing.NamedTuple):
    """One kind of fault or planned work: which list of the day it stands in, and how its fields are drawn."""

    kind: str
    fields: DrawFields
    is_planned: bool = False


def span(low: float, high: float) -> typing.Callable[[random.Random], float]:
    """Return a function that draws a figure between two others, to a hundredth."""
    return lambda draw: round(draw.uniform(low, high), 2)


def core(kind: str, *hows: str, low: float = 1.0, high: float = 5.0) -> Fault:
    """Return a fault of one machine of the core for some seconds."""

    def fields(draw: random.Random) -> Fields:
        length = round(draw.uniform(low, high), 2)
        return {"on": "core", "count": 1, "for_s": length, "how": draw.choice(hows or RETURNS)}

    return Fault(kind, fields)


def plain(kind: str, *hows: str, is_planned: bool = False, **ranges: tuple[float, float]) -> Fault:
    """Return a fault whose figures are drawn from ranges and whose variant is drawn from `hows`.

    Args:
        kind: The bench's name of it.
        hows: The variants.
        is_planned: Whether it is planned work.
        ranges: Least and greatest figure of each field.
    """

    def fields(draw: random.Random) -> Fields:
        found: Fields = {name: span(*limits)(draw) for name, limits in ranges.items()}
        if "count" in found:
            found["count"] = max(1, int(found["count"]))
        if hows:
            found["how"] = draw.choice(hows)
        return found

    return Fault(kind, fields, is_planned)


CHANGES = [
    plain("config_change", "route", "weights", "timeout", is_planned=True),
    plain("config_storm", is_planned=True, for_s=(2, 5), gap_s=(0.1, 0.4)),
    plain("config_race", "", is_planned=True, count=(1, 5), gap_s=(0.4, 1.5)),
    plain("bad_config", "old_version", "same_version", "", is_planned=True, count=(1, 4), gap_s=(0.3, 1.2)),
    plain("purge_storm", "", "tag", is_planned=True, for_s=(1.5, 4), gap_s=(0.04, 0.2)),
    plain("evacuate", "", "warm", is_planned=True, for_s=(3, 8)),
]
# What is on each day of a theme, from the start of its faults on. A run ends before anyone could see that it
# went on, unless origins are slow.
ALWAYS: dict[str, list[Fault]] = {
    "departures": [
        plain("give_up", share=(0.2, 0.5), x=(100, 300), for_s=(20, 26)),
        plain("srv_slow", share=(0.3, 0.5), x=(5, 8), for_s=(18, 24)),
    ]
}
THEMES: dict[str, list[Fault]] = {
    "departures": [
        plain("srv_slow", "", "across", share=(0.2, 0.5), x=(3, 8), for_s=(5, 15)),
        plain("srv_crash", "", "dark", share=(0.1, 0.3), for_s=(2, 6)),
        plain("node_cut", "servers", "all", "", share=(0.1, 0.3), for_s=(2, 8)),
        plain("zone_cut", for_s=(2, 6)),
        plain("cold_return", "", "dark", for_s=(2, 4)),
        plain("answer_lost", "", "reset", share=(0.3, 0.8), x=(0.02, 0.08), for_s=(4, 8)),
        plain("reset_conns", share=(0.1, 0.5), x=(0.3, 0.9)),
        plain("burst", x=(1.3, 1.8), for_s=(3, 6)),
        plain("roll_term", "busy", "", is_planned=True, share=(0.3, 1.0), x=(1, 2), gap_s=(0.8, 2)),
        plain("release", is_planned=True, share=(0.3, 0.6), x=(1, 2), gap_s=(0.8, 1.5)),
        plain("hup", is_planned=True, share=(0.3, 1), gap_s=(0.5, 2)),
    ],
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
        plain("config_race", "", is_planned=True, count=(2, 6), gap_s=(0.2, 1.0)),
        plain(
            "bad_config", "old_version", "same_version", "", is_planned=True, count=(2, 5), gap_s=(0.2, 0.8)
        ),
        plain("ack_lost", x=(0.4, 0.9), for_s=(3, 10)),
        plain("after_ack_kill", *ACK_HOWS, count=(1, 2), for_s=(0.8, 3)),
        core("node_kill", "leader race hard", "leader meet race hard"),
        core("core_cut", "leader race hard", "leader meet race hard"),
    ],
    "second-loss": [
        plain("replace_core", "", "planned", x=(0.5, 2)),
        plain("after_ack_wipe", *ACK_HOWS, for_s=(0.6, 2)),
        plain("zone_loss", "", "race drain hard", for_s=(1.5, 6)),
        plain("roll_term", "remove", "busy", "", is_planned=True, share=(0.2, 0.6), x=(1, 1), gap_s=(0.8, 2)),
        core("node_kill", "power meet", "power race hard"),
        plain("seed_turnover"),
        Fault(
            "herd_kill", lambda draw: {"on": "core", "share": round(draw.uniform(0.4, 1), 2), "for_s": 1.0}
        ),
    ],
    "many-changes": [
        plain("config_storm", is_planned=True, for_s=(4, 9), gap_s=(0.06, 0.2)),
        plain("purge_storm", "", "tag", is_planned=True, for_s=(3, 8), gap_s=(0.03, 0.1)),
        core("node_kill", "power", "power leader meet race hard", ""),
        plain("disk_slow", "", "leader", count=(1, 2), x=(5, 30), for_s=(2, 5)),
        plain("disk_full", "", "leader", count=(1, 2), for_s=(2, 5)),
        plain("disk_stall", "", "leader", count=(1, 2), for_s=(2, 5)),
        plain("after_ack_kill", *ACK_HOWS, for_s=(0.6, 2)),
        plain("big_config", is_planned=True, count=(100, 900)),
    ],
    "sent-twice": [
        plain("answer_lost", "", "reset", share=(0.3, 0.8), x=(0.02, 0.08), for_s=(4, 8)),
        plain("garble", "extra", "extra late", "", share=(0.3, 0.7), x=(0.01, 0.04), for_s=(4, 8)),
        plain("reset_conns", "", share=(0.1, 0.5), x=(0.3, 0.9)),
        plain("node_freeze", "", share=(0.05, 0.2), for_s=(1, 3)),
        plain("replace_with_reuse", "", "drain", "dark", share=(0.1, 0.3)),
        plain("node_cut", "servers", share=(0.1, 0.3), for_s=(2, 5)),
        plain("roll_term", "busy", is_planned=True, share=(0.2, 0.6), x=(1, 2), gap_s=(0.8, 1.5)),
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
        plain("release", is_planned=True, share=(0.3, 0.6), x=(1, 2), gap_s=(0.8, 1.5)),
        plain("scale_in", "", "spot", is_planned=True, share=(0.1, 0.2), x=(1, 3)),
        plain("scale_out", is_planned=True, share=(0.2, 0.4), gap_s=(1, 2)),
        plain("cold_return", "", "dark", for_s=(2, 4)),
        plain("clock_step", "", "back", "ahead", x=(1000, 5000), share=(0.2, 0.6), for_s=(2, 6)),
        plain("hup", is_planned=True, share=(0.3, 1), gap_s=(0.5, 2)),
        plain("herd_kill", "", "power", share=(0.3, 0.7), for_s=(0.8, 2)),
        plain("burst", x=(1.3, 1.8), for_s=(2, 4)),
        plain("retry_abuse", share=(0.1, 0.3), x=(2, 3), for_s=(3, 6)),
        plain("purge", "", "tag", is_planned=True, count=(2, 5), gap_s=(0.5, 1.5)),
    ],
}
