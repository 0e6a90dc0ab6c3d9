"""The voters that a table ought to have, worked out from the machines that are up: a pure decision."""

import collections
import typing

from irisstand.state import quorum

Voters = list[quorum.Voter]


class Strength(typing.NamedTuple):
    """What a set bears, counting only those of it that are up; the larger is the better one."""

    bears_any_zone: bool
    losses_borne: int
    zones: int


def strength(voters: Voters, gone: set[str]) -> Strength:
    """What the set bears while the disks in `gone` are missing.

    >>> a, b, c = (quorum.Voter(zone, zone, zone, "", 0, zone) for zone in "abc")
    >>> strength([a, b, c], set())
    Strength(bears_any_zone=True, losses_borne=1, zones=3)
    >>> strength([a, b, c], {"a"})
    Strength(bears_any_zone=False, losses_borne=0, zones=2)
    """
    up = [voter for voter in voters if voter.disk_id not in gone]
    by_zone = collections.Counter(voter.site for voter in up)
    majority = len(voters) // 2 + 1
    after_a_zone = len(up) - max(by_zone.values(), default=0)
    return Strength(after_a_zone >= majority, len(up) - majority, len(by_zone))


def target_voters(candidates: Voters, current: Voters, gone: set[str], wanted: int) -> Voters:
    """The set to change to, or the current one where nothing better is to be had.

    `candidates` are core nodes that are up, voters or not; `gone` are disks of current voters that count as
    missing. At most `wanted` voters, an odd number, no fewer than now, one a machine, no zone with so many
    that its loss ends the majority. A missing voter keeps its vote until another can take it.

    >>> made = [quorum.Voter(str(n), str(n), zone, "", 0, str(n)) for n, zone in enumerate("aaabc")]
    >>> [voter.name for voter in target_voters(made, made[:3], set(), 5)]
    ['0', '3', '4']
    """
    in_force = {voter.disk_id for voter in current}
    renewed = {voter.name: voter.disk_id for voter in candidates}
    # A disk whose node answers under another one is gone, whatever anybody has heard of it.
    missing = gone | {v.disk_id for v in current if renewed.get(v.name, v.disk_id) != v.disk_id}
    up = [voter for voter in candidates if voter.disk_id not in missing]
    fillers = [voter for voter in current if voter.disk_id in missing and voter.name not in renewed]
    heard = [voter for voter in current if voter.disk_id not in missing]
    pool = list({voter.disk_id: voter for voter in [*heard, *up, *fillers]}.values())
    best, best_strength = current, strength(current, missing)
    for size in range(wanted if wanted % 2 else wanted - 1, 0, -2):
        if size < len(current):
            break
        chosen = spread(pool, size, in_force, missing)
        if len(chosen) == size and strength(chosen, missing) > best_strength:
            best, best_strength = chosen, strength(chosen, missing)
    return best


def spread(pool: Voters, size: int, in_force: set[str], missing: set[str]) -> Voters:
    """Zone by zone in turn: those that are up first, then those that vote already, then by name."""
    chosen: Voters = []
    zones = {voter.site for voter in pool}
    # With fewer than three zones, one of them always has the majority: spread as far as it goes.
    cap = (size - 1) // 2 if len(zones) > 2 else size
    left = list(pool)
    while left and len(chosen) < size:
        held = collections.Counter(voter.site for voter in chosen)
        machines = {voter.machine for voter in chosen}
        left = [voter for voter in left if held[voter.site] < cap and voter.machine not in machines]
        if not left:
            break

        def rank(voter: quorum.Voter, held: collections.Counter = held) -> tuple:
            is_missing, is_new = voter.disk_id in missing, voter.disk_id not in in_force
            return (is_missing, held[voter.site], is_new, voter.name)

        first = min(left, key=rank)
        chosen.append(first)
        left.remove(first)
    return sorted(chosen)
