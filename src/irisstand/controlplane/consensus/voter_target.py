"""Works out the voters that a table should have from the machines that are up. Does no I/O."""

import collections
import typing

from irisstand.state import quorum

VoterList: typing.TypeAlias = list[quorum.Voter]
# With fewer sites, one of them has the majority whatever the voters are.
SITES_FOR_A_CAP = 3


class Strength(typing.NamedTuple):
    """What a set of voters survives, by those of it that are up; the larger is the better one."""

    survives_any_site_loss: bool
    machine_losses_survived: int
    sites: int


def strength(voters: VoterList, missing: set[str]) -> Strength:
    """Return what the set survives while the disks in `missing` are silent.

    >>> a, b, c = (quorum.Voter(site, site, site, "", 0, site) for site in "abc")
    >>> strength([a, b, c], set())
    Strength(survives_any_site_loss=True, machine_losses_survived=1, sites=3)
    >>> strength([a, b, c], {"a"})
    Strength(survives_any_site_loss=False, machine_losses_survived=0, sites=2)
    """
    up = [voter for voter in voters if voter.disk_id not in missing]
    up_by_site = collections.Counter(voter.site for voter in up)
    majority = len(voters) // 2 + 1
    left_without_largest_site = len(up) - max(up_by_site.values(), default=0)
    return Strength(left_without_largest_site >= majority, len(up) - majority, len(up_by_site))


def target_voters(candidates: VoterList, current: VoterList, silent: set[str], wanted: int) -> VoterList:
    """Return the set to change to, or the current one where no stronger one is to be had.

    The set has an odd number of voters, at most `wanted` and no fewer than now, one on each machine, and so
    few in each site that its loss leaves a majority. A missing voter votes on until another can replace it.

    Args:
        candidates: Control plane nodes that are up, voters or not.
        current: The voters in force.
        silent: Disk ids of current voters that count as missing.
        wanted: How many voters there should be.

    >>> made = [quorum.Voter(str(n), str(n), site, "", 0, str(n)) for n, site in enumerate("aaabc")]
    >>> [voter.name for voter in target_voters(made, made[:3], set(), 5)]
    ['0', '3', '4']
    """
    voting = {voter.disk_id for voter in current}
    disk_by_name = {voter.name: voter.disk_id for voter in candidates}
    # A disk whose node answers under another one is gone, whatever anybody has received from it.
    replaced = {v.disk_id for v in current if disk_by_name.get(v.name, v.disk_id) != v.disk_id}
    missing = silent | replaced
    pool = _pool(candidates, current, missing)
    best = current
    best_strength = strength(current, missing)
    largest = wanted if wanted % 2 else wanted - 1
    for size in range(largest, 0, -2):
        if size < len(current):
            break
        chosen = spread(pool, size, voting, missing)
        if len(chosen) == size and strength(chosen, missing) > best_strength:
            best = chosen
            best_strength = strength(chosen, missing)
    return best


def _pool(candidates: VoterList, current: VoterList, missing: set[str]) -> VoterList:
    """Return who may vote: voters and candidates that are up, and missing voters whose node is not up."""
    names_up = {voter.name for voter in candidates}
    reachable = [voter for voter in current if voter.disk_id not in missing]
    up = [voter for voter in candidates if voter.disk_id not in missing]
    fillers = [voter for voter in current if voter.disk_id in missing and voter.name not in names_up]
    return list({voter.disk_id: voter for voter in [*reachable, *up, *fillers]}.values())


def spread(pool: VoterList, size: int, voting: set[str], missing: set[str]) -> VoterList:
    """Choose voters site by site in turn: those up first, then those that vote already, then by name.

    Args:
        pool: Whom to choose from.
        size: How many to choose; fewer are returned if sites or machines do not allow more.
        voting: Disk ids that vote already.
        missing: Disk ids that are silent or gone.
    """
    chosen: VoterList = []
    site_limit = (size - 1) // 2 if len({voter.site for voter in pool}) >= SITES_FOR_A_CAP else size
    left = list(pool)
    while left and len(chosen) < size:
        chosen_by_site = collections.Counter(voter.site for voter in chosen)
        machines = {voter.machine for voter in chosen}
        left = [
            voter
            for voter in left
            if chosen_by_site[voter.site] < site_limit and voter.machine not in machines
        ]
        if not left:
            break

        def rank(
            voter: quorum.Voter, chosen_by_site: collections.Counter[str] = chosen_by_site
        ) -> tuple[bool, int, bool, str]:
            is_missing = voter.disk_id in missing
            is_new = voter.disk_id not in voting
            return (is_missing, chosen_by_site[voter.site], is_new, voter.name)

        first = min(left, key=rank)
        chosen.append(first)
        left.remove(first)
    return sorted(chosen)
