"""Counts replies of voters: promises, acceptances, and whether a batch is decided by them."""

import collections.abc

from irisstand.controlplane.consensus import messages
from irisstand.state import items, quorum


def promises_of(
    replies: collections.abc.Mapping[str, messages.PrepareReply],
) -> dict[str, messages.Promised]:
    """Return the promises among replies, by disk id."""
    return {disk_id: reply for disk_id, reply in replies.items() if isinstance(reply, messages.Promised)}


def voter_sets_of(voters: list[quorum.Voter], batch: items.Batch) -> list[list[quorum.Voter]]:
    """Return the voter sets that must accept a batch: the one in force, and one that the batch brings."""
    voter_sets = [voters]
    for row in batch.rows:
        # New voters must hold the change too, or they could lose what the old ones confirmed.
        if row.key == items.VOTERS_KEY:
            voter_sets.append(quorum.voters_from_wire(row.value))
    return voter_sets


def is_decided(
    voter_sets: list[list[quorum.Voter]], replies: collections.abc.Mapping[str, messages.AcceptReply]
) -> bool:
    """Return whether a durable majority of every set accepted."""
    accepted = {disk_id for disk_id, reply in replies.items() if isinstance(reply, messages.Accepted)}
    return all(quorum.is_durable(members, accepted) for members in voter_sets)


def voter_states_of(
    replies: collections.abc.Mapping[str, messages.VoterState],
) -> dict[str, messages.VoterState]:
    """Return the states that the called voters' own disks reported, by disk id."""
    return {disk_id: reply for disk_id, reply in replies.items() if reply.disk_id == disk_id}
