"""Faults and planned work for days of the platform's test bench, by theme, with the range of each field."""

import random
import typing

Fields = dict[str, typing.Any]
DrawFields = typing.Callable[[random.Random], Fields]

# Variants ("how") of faults that follow an acknowledgement.
ACK_VARIANTS = ("", "kill", "timed", "taken")
# Variants ("how") of faults of control plane nodes.
RETURN_VARIANTS = ("leader meet race hard", "leader meet", "meet race hard", "race", "meet drain", "")


class Fault(typing.NamedTuple):
    """One kind of fault or planned work of the bench.

    Attributes:
        kind: Name of the kind in the bench.
        fields: Draws the fields of one entry, other than its kind and time.
        is_planned: Whether the entry belongs to the day's list "plan" instead of its list "faults".
        is_at_objects: Whether the entry concerns only the service whose origins serve objects.
    """

    kind: str
    fields: DrawFields
    is_planned: bool = False
    is_at_objects: bool = False


def draw_between(low: float, high: float) -> typing.Callable[[random.Random], float]:
    """Return a function that draws a number from a range and rounds it to two decimals."""
    return lambda randomness: round(randomness.uniform(low, high), 2)


def control_plane_fault(kind: str, *variants: str, low: float = 1.0, high: float = 5.0) -> Fault:
    """Return a fault of one control plane machine that lasts between `low` and `high` seconds."""

    def fields(randomness: random.Random) -> Fields:
        seconds = round(randomness.uniform(low, high), 2)
        return {
            "on": "core",
            "count": 1,
            "for_s": seconds,
            "how": randomness.choice(variants or RETURN_VARIANTS),
        }

    return Fault(kind, fields)


def drawn_fault(kind: str, *variants: str, is_planned: bool = False, **ranges: tuple[float, float]) -> Fault:
    """Return a kind of fault whose numeric fields and variant are drawn at random.

    Args:
        kind: Name of the kind in the bench.
        *variants: Values of the field "how", one of which is drawn; none to leave the field out.
        is_planned: Whether the entry is planned work instead of a fault.
        ranges: Smallest and largest number of each field.
    """

    def fields(randomness: random.Random) -> Fields:
        drawn_fields: Fields = {name: draw_between(*limits)(randomness) for name, limits in ranges.items()}
        if "count" in drawn_fields:
            drawn_fields["count"] = max(1, int(drawn_fields["count"]))
        if variants:
            drawn_fields["how"] = randomness.choice(variants)
        return drawn_fields

    return Fault(kind, fields, is_planned)


# Changes of the configuration and other planned work, one or two of which are added to each day.
CONFIGURATION_CHANGES = [
    drawn_fault("config_change", "route", "weights", "timeout", is_planned=True),
    drawn_fault("config_storm", is_planned=True, for_s=(2, 5), gap_s=(0.1, 0.4)),
    drawn_fault("config_race", "", is_planned=True, count=(1, 5), gap_s=(0.4, 1.5)),
    drawn_fault(
        "bad_config", "old_version", "same_version", "", is_planned=True, count=(1, 4), gap_s=(0.3, 1.2)
    ),
    drawn_fault("purge_storm", "", "tag", is_planned=True, for_s=(1.5, 4), gap_s=(0.04, 0.2)),
    drawn_fault("evacuate", "", "warm", is_planned=True, for_s=(3, 8)),
]
# Origins that answer twice, the second time late; slow ones, so that objects are purged during fetches.
LATE_RESPONSES = [
    drawn_fault("garble", "extra late", share=(0.7, 1.0), x=(0.3, 0.9), for_s=(22, 28))._replace(
        is_at_objects=True
    ),
    drawn_fault("srv_slow", share=(0.7, 1.0), x=(3, 8), for_s=(15, 24)),
    drawn_fault("purge_storm", is_planned=True, for_s=(22, 28), gap_s=(0.01, 0.04)),
    drawn_fault("purge", "", "tag", is_planned=True, count=(100, 250), gap_s=(0.08, 0.12)),
]
# Faults that every day of a theme has, from `worst_days.FIRST_FAULT_AT` on. The theme of clients that give up
# has slow origins, too: work at a fast origin ends before it can be seen to go on after its client has left.
FIXED_FAULTS: dict[str, list[Fault]] = {
    "departures": [
        drawn_fault("give_up", share=(0.2, 0.5), x=(100, 300), for_s=(20, 26)),
        drawn_fault("srv_slow", share=(0.3, 0.5), x=(5, 8), for_s=(18, 24)),
    ],
    "late-responses": LATE_RESPONSES,
}
# Kinds of faults and planned work of each theme, two to four of which are drawn for a day.
THEMES: dict[str, list[Fault]] = {
    "departures": [
        drawn_fault("srv_slow", "", "across", share=(0.2, 0.5), x=(3, 8), for_s=(5, 15)),
        drawn_fault("srv_crash", "", "dark", share=(0.1, 0.3), for_s=(2, 6)),
        drawn_fault("node_cut", "servers", "all", "", share=(0.1, 0.3), for_s=(2, 8)),
        drawn_fault("zone_cut", for_s=(2, 6)),
        drawn_fault("cold_return", "", "dark", for_s=(2, 4)),
        drawn_fault("answer_lost", "", "reset", share=(0.3, 0.8), x=(0.02, 0.08), for_s=(4, 8)),
        drawn_fault("reset_conns", share=(0.1, 0.5), x=(0.3, 0.9)),
        drawn_fault("burst", x=(1.3, 1.8), for_s=(3, 6)),
        drawn_fault("roll_term", "busy", "", is_planned=True, share=(0.3, 1.0), x=(1, 2), gap_s=(0.8, 2)),
        drawn_fault("release", is_planned=True, share=(0.3, 0.6), x=(1, 2), gap_s=(0.8, 1.5)),
        drawn_fault("hup", is_planned=True, share=(0.3, 1), gap_s=(0.5, 2)),
    ],
    "cut-off": [
        control_plane_fault(
            "core_cut",
            *RETURN_VARIANTS,
            "one_way",
            "seeds",
            "both",
            "refuse race",
            "reset meet",
            low=4,
            high=20,
        ),
        control_plane_fault("node_cut", low=4, high=20),
        control_plane_fault("node_freeze", low=1, high=8),
        control_plane_fault("node_kill", "leader race hard", "seed race hard", "power meet race hard"),
        drawn_fault("zone_cut", "", "race hard", for_s=(3, 12)),
        drawn_fault("node_freeze", "", share=(0.05, 0.2), for_s=(1, 5)),
        control_plane_fault("node_slow", low=2, high=6),
    ],
    "one-content": [
        drawn_fault("config_race", "", is_planned=True, count=(2, 6), gap_s=(0.2, 1.0)),
        drawn_fault(
            "bad_config", "old_version", "same_version", "", is_planned=True, count=(2, 5), gap_s=(0.2, 0.8)
        ),
        drawn_fault("ack_lost", x=(0.4, 0.9), for_s=(3, 10)),
        drawn_fault("after_ack_kill", *ACK_VARIANTS, count=(1, 2), for_s=(0.8, 3)),
        control_plane_fault("node_kill", "leader race hard", "leader meet race hard"),
        control_plane_fault("core_cut", "leader race hard", "leader meet race hard"),
    ],
    "second-loss": [
        drawn_fault("replace_core", "", "planned", x=(0.5, 2)),
        drawn_fault("after_ack_wipe", *ACK_VARIANTS, for_s=(0.6, 2)),
        drawn_fault("zone_loss", "", "race drain hard", for_s=(1.5, 6)),
        drawn_fault(
            "roll_term", "remove", "busy", "", is_planned=True, share=(0.2, 0.6), x=(1, 1), gap_s=(0.8, 2)
        ),
        control_plane_fault("node_kill", "power meet", "power race hard"),
        drawn_fault("seed_turnover"),
        Fault(
            "herd_kill",
            lambda randomness: {"on": "core", "share": round(randomness.uniform(0.4, 1), 2), "for_s": 1.0},
        ),
    ],
    "many-changes": [
        drawn_fault("config_storm", is_planned=True, for_s=(4, 9), gap_s=(0.06, 0.2)),
        drawn_fault("purge_storm", "", "tag", is_planned=True, for_s=(3, 8), gap_s=(0.03, 0.1)),
        control_plane_fault("node_kill", "power", "power leader meet race hard", ""),
        drawn_fault("disk_slow", "", "leader", count=(1, 2), x=(5, 30), for_s=(2, 5)),
        drawn_fault("disk_full", "", "leader", count=(1, 2), for_s=(2, 5)),
        drawn_fault("disk_stall", "", "leader", count=(1, 2), for_s=(2, 5)),
        drawn_fault("after_ack_kill", *ACK_VARIANTS, for_s=(0.6, 2)),
        drawn_fault("big_config", is_planned=True, count=(100, 900)),
    ],
    "sent-twice": [
        drawn_fault("answer_lost", "", "reset", share=(0.3, 0.8), x=(0.02, 0.08), for_s=(4, 8)),
        drawn_fault("garble", "extra", "extra late", "", share=(0.3, 0.7), x=(0.01, 0.04), for_s=(4, 8)),
        drawn_fault("reset_conns", "", share=(0.1, 0.5), x=(0.3, 0.9)),
        drawn_fault("node_freeze", "", share=(0.05, 0.2), for_s=(1, 3)),
        drawn_fault("replace_with_reuse", "", "drain", "dark", share=(0.1, 0.3)),
        drawn_fault("node_cut", "servers", share=(0.1, 0.3), for_s=(2, 5)),
        drawn_fault("roll_term", "busy", is_planned=True, share=(0.2, 0.6), x=(1, 2), gap_s=(0.8, 1.5)),
        drawn_fault("idle_race", share=(0.3, 0.8), x=(100, 400), for_s=(5, 9)),
    ],
    "late-responses": [
        drawn_fault("config_storm", is_planned=True, for_s=(4, 9), gap_s=(0.06, 0.2)),
        drawn_fault("config_change", "timeout", "route", is_planned=True),
        drawn_fault("srv_crash", "", "dark", share=(0.1, 0.3), for_s=(2, 5)),
        drawn_fault("reset_conns", "", share=(0.1, 0.5), x=(0.3, 0.9)),
        drawn_fault("replace_with_reuse", "", "drain", share=(0.1, 0.3)),
        drawn_fault("node_kill", share=(0.1, 0.2), for_s=(1, 3)),
    ],
    "others": [
        drawn_fault("srv_slow", "", "across", share=(0.1, 0.4), x=(3, 6), for_s=(3, 6)),
        drawn_fault(
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
        drawn_fault("srv_lying_health", "errors", "hang", "bad", share=(0.1, 0.3), for_s=(3, 6)),
        drawn_fault("srv_flap", share=(0.1, 0.3), gap_s=(0.6, 1.5), for_s=(4, 8)),
        drawn_fault("srv_crash", "", "dark", "gone", share=(0.1, 0.3), for_s=(2, 5)),
        drawn_fault("release", is_planned=True, share=(0.3, 0.6), x=(1, 2), gap_s=(0.8, 1.5)),
        drawn_fault("scale_in", "", "spot", is_planned=True, share=(0.1, 0.2), x=(1, 3)),
        drawn_fault("scale_out", is_planned=True, share=(0.2, 0.4), gap_s=(1, 2)),
        drawn_fault("cold_return", "", "dark", for_s=(2, 4)),
        drawn_fault("clock_step", "", "back", "ahead", x=(1000, 5000), share=(0.2, 0.6), for_s=(2, 6)),
        drawn_fault("hup", is_planned=True, share=(0.3, 1), gap_s=(0.5, 2)),
        drawn_fault("herd_kill", "", "power", share=(0.3, 0.7), for_s=(0.8, 2)),
        drawn_fault("burst", x=(1.3, 1.8), for_s=(2, 4)),
        drawn_fault("retry_abuse", share=(0.1, 0.3), x=(2, 3), for_s=(3, 6)),
        drawn_fault("purge", "", "tag", is_planned=True, count=(2, 5), gap_s=(0.5, 1.5)),
    ],
}
