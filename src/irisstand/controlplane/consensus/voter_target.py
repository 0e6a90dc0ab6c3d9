"""Works out the voters that a table should have from the machines that are up. Does no I/O."""

import collections
import typing

from irisstand.state import quorum

VoterList: typing.TypeAlias = list[quorum.Voter]
# With fewer sites, one of them has the majority whatever the voters are.
MIN_SITES_FOR_SITE_LIMIT = 3


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
    reachable_voters = [voter for voter in voters if voter.disk_id not in missing]
    voters_by_site = collections.Counter(voter.site for voter in reachable_voters)
    majority = len(voters) // 2 + 1
    remaining_without_largest_site = len(reachable_voters) - max(voters_by_site.values(), default=0)
    return Strength(
        remaining_without_largest_site >= majority, len(reachable_voters) - majority, len(voters_by_site)
    )


def target_voters(
    candidates: VoterList, current: VoterList, silent_disk_ids: set[str], wanted: int
) -> VoterList:
    """Return the set to change to, or the current one where no stronger one is to be had.

    The set has an odd number of voters, at most `wanted` and no fewer than now, one on each machine, and so
    few in each site that its loss leaves a majority. A missing voter votes on until another can replace it.

    Args:
        candidates: Control plane nodes that are up, voters or not.
        current: The voters in force.
        silent_disk_ids: Disk ids of current voters that count as missing.
        wanted: How many voters there should be.

    >>> voters = [quorum.Voter(str(n), str(n), site, "", 0, str(n)) for n, site in enumerate("aaabc")]
    >>> [voter.name for voter in target_voters(voters, voters[:3], set(), 5)]
    ['0', '3', '4']
    """
    current_disk_ids = {voter.disk_id for voter in current}
    disk_by_name = {voter.name: voter.disk_id for voter in candidates}
    # A disk whose node answers under another one is gone, whatever anybody has received from it.
    replaced = {v.disk_id for v in current if disk_by_name.get(v.name, v.disk_id) != v.disk_id}
    missing = silent_disk_ids | replaced
    pool = _eligible_voters(candidates, current, missing)
    best = current
    best_strength = strength(current, missing)
    largest_size = wanted if wanted % 2 else wanted - 1
    for size in range(largest_size, 0, -2):
        if size < len(current):
            break
        chosen = choose_across_sites(pool, size, current_disk_ids, missing)
        if len(chosen) == size and strength(chosen, missing) > best_strength:
            best = chosen
            best_strength = strength(chosen, missing)
    return best


def _eligible_voters(candidates: VoterList, current: VoterList, missing: set[str]) -> VoterList:
    """Return who may vote: voters and candidates that are up, and missing voters whose node is not up."""
    names_up = {voter.name for voter in candidates}
    reachable_current = [voter for voter in current if voter.disk_id not in missing]
    reachable_candidates = [voter for voter in candidates if voter.disk_id not in missing]
    fillers = [voter for voter in current if voter.disk_id in missing and voter.name not in names_up]
    return list(
        {voter.disk_id: voter for voter in [*reachable_current, *reachable_candidates, *fillers]}.values()
    )


def choose_across_sites(
    pool: VoterList, size: int, current_disk_ids: set[str], missing: set[str]
) -> VoterList:
    """Choose voters site by site in turn: those up first, then those that vote already, then by name.

    Args:
        pool: Whom to choose from.
        size: How many to choose; fewer are returned if sites or machines do not allow more.
        current_disk_ids: Disk ids that vote already.
        missing: Disk ids that are silent or gone.
    """
    chosen: VoterList = []
    site_limit = (size - 1) // 2 if len({voter.site for voter in pool}) >= MIN_SITES_FOR_SITE_LIMIT else size
    remaining = list(pool)
    while remaining and len(chosen) < size:
        chosen_by_site = collections.Counter(voter.site for voter in chosen)
        machines = {voter.machine for voter in chosen}
        remaining = [
            voter
            for voter in remaining
            if chosen_by_site[voter.site] < site_limit and voter.machine not in machines
        ]
        if not remaining:
            break

        def rank(
            voter: quorum.Voter, chosen_by_site: collections.Counter[str] = chosen_by_site
        ) -> tuple[bool, int, bool, str]:
            is_missing = voter.disk_id in missing
            is_new = voter.disk_id not in current_disk_ids
            return (is_missing, chosen_by_site[voter.site], is_new, voter.name)

        first = min(remaining, key=rank)
        chosen.append(first)
        remaining.remove(first)
    return sorted(chosen)
