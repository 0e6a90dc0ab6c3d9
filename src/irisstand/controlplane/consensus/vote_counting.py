"""Evaluates the replies of voters: their promises, their states, and whether they decide a batch."""

import collections.abc

from irisstand.controlplane.consensus import messages
from irisstand.state import items, quorum


def promises_of(
    replies: collections.abc.Mapping[str, messages.PrepareReply],
) -> dict[str, messages.Promised]:
    """Return those replies to a prepare request that are promises, by disk id."""
    return {disk_id: reply for disk_id, reply in replies.items() if isinstance(reply, messages.Promised)}


def voter_sets_of(voters: list[quorum.Voter], batch: items.Batch) -> list[list[quorum.Voter]]:
    """Return the voter sets that must accept a batch: the current one, and a new one set by the batch."""
    voter_sets = [voters]
    for row in batch.rows:
        # The new voters must hold the batch too, or they could lose a change that the old voters confirmed.
        if row.key == items.VOTERS_KEY:
            voter_sets.append(quorum.voters_from_wire(row.value))
    return voter_sets


def is_decided(
    voter_sets: list[list[quorum.Voter]], replies: collections.abc.Mapping[str, messages.AcceptReply]
) -> bool:
    """Return whether a durable majority of each voter set has accepted the batch."""
    accepted = {disk_id for disk_id, reply in replies.items() if isinstance(reply, messages.Accepted)}
    return all(quorum.is_durable(members, accepted) for members in voter_sets)


def voter_states_of(
    replies: collections.abc.Mapping[str, messages.VoterState],
) -> dict[str, messages.VoterState]:
    """Return the voter states by disk id, without those that were reported by a different disk."""
    return {disk_id: reply for disk_id, reply in replies.items() if reply.disk_id == disk_id}
