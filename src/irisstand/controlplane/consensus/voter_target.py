"""Computes, without I/O, which of the available control plane nodes should be the voters of a table."""

import collections
import typing

from irisstand.state import quorum

VoterList: typing.TypeAlias = list[quorum.Voter]
# With fewer sites, the loss of one of them always ends the majority, whichever nodes are voters.
MIN_SITES_FOR_SITE_LIMIT = 3


class Strength(typing.NamedTuple):
    """The failures that a set of voters tolerates; of two values, the greater is better.

    Attributes:
        survives_any_site_loss: Whether a majority is left after the loss of any one site.
        machine_losses_survived: How many voters that are up can be lost before the majority is lost.
        sites: The number of sites with a voter that is up.
    """

    survives_any_site_loss: bool
    machine_losses_survived: int
    sites: int


def strength(voters: VoterList, missing: set[str]) -> Strength:
    """Return the fault tolerance of a set of voters while the disks in `missing` are unavailable.

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
    """Return the voters to change to, or the current ones if no set with a higher strength is available.

    The returned set has an odd number of voters, at most `wanted` and not fewer than now, at most one on each
    machine, and so few in each site that the loss of a site leaves a majority. A missing voter remains until
    another node can replace it.

    Args:
        candidates: Control plane nodes that are up, whether they are voters or not.
        current: The current voters.
        silent_disk_ids: Disk ids of current voters that have not replied for too long.
        wanted: The number of voters that the table should have.

    >>> voters = [quorum.Voter(str(n), str(n), site, "", 0, str(n)) for n, site in enumerate("aaabc")]
    >>> [voter.name for voter in target_voters(voters, voters[:3], set(), 5)]
    ['0', '3', '4']
    """
    current_disk_ids = {voter.disk_id for voter in current}
    disk_by_name = {voter.name: voter.disk_id for voter in candidates}
    # If a voter's node is up with another disk, the voter's disk is lost, even if it replied recently.
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
    """Return the nodes to choose from: those that are up, and missing voters whose node is not up."""
    names_up = {voter.name for voter in candidates}
    up_voters = [voter for voter in current if voter.disk_id not in missing]
    up_candidates = [voter for voter in candidates if voter.disk_id not in missing]
    unreplaced = [voter for voter in current if voter.disk_id in missing and voter.name not in names_up]
    return list({voter.disk_id: voter for voter in [*up_voters, *up_candidates, *unreplaced]}.values())


def choose_across_sites(
    pool: VoterList, size: int, current_disk_ids: set[str], missing: set[str]
) -> VoterList:
    """Choose voters evenly across sites, preferring nodes that are up and, among these, current voters.

    Args:
        pool: The nodes to choose from.
        size: How many to choose; fewer are returned if the limits per site and machine require it.
        current_disk_ids: Disk ids of the current voters.
        missing: Disk ids of voters that do not reply or whose disk was replaced.
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
