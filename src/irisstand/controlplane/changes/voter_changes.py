"""Planning of the orders that change which control plane nodes vote on a table."""

import typing

from irisstand import errors
from irisstand.controlplane.changes import table_overlay
from irisstand.state import items, quorum

# A retirement leaves at least three voters, as fewer survive no single loss. Sets that are already smaller
# may keep their size.
RETIRE_MINIMUM_VOTERS = 3


class VoterEnrolment(typing.NamedTuple):
    """A request to make a node a voter.

    Attributes:
        newcomer: The new voter. If its name is that of a present voter, it replaces that voter, whose disk is
            lost.
        replaced: The name of the voter to replace, empty to add a voter.
        voters_limit: The new voter is added without replacing another only while there are fewer voters.
    """

    newcomer: quorum.Voter
    replaced: str
    voters_limit: int

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "VoterEnrolment":
        """Parse an order's payload; earlier software versions send no `voters_limit`, which is then 0."""
        newcomer, replaced, *more = payload
        return cls(quorum.Voter(*newcomer), replaced, more[0] if more else 0)


class VoterSetChange(typing.NamedTuple):
    """A request to replace the whole set of voters.

    Attributes:
        expected: The version of the voters' row from which the new set was planned.
        voters: The new set of voters.
    """

    expected: str
    voters: list[quorum.Voter]

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "VoterSetChange":
        """Parse the payload of an order that replaces the set of voters."""
        expected, voters, *_ = payload
        return cls(expected, [quorum.Voter(*parts) for parts in voters])


def plan_enrol(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the set of voters with one voter added or replaced; the order is idempotent.

    Raises:
        StaleVersionError: The voter to replace is not in the present set, and the set is too large for an
            addition.
        InvalidChangeError: The new set, unlike the present one, could lose its majority with one site.
    """
    enrolment = VoterEnrolment.from_wire(payload)
    newcomer = enrolment.newcomer
    voters = quorum.voters_from_wire(overlay.value(items.VOTERS_KEY))
    if any(voter.disk_id == newcomer.disk_id for voter in voters):
        return {}
    names = [voter.name for voter in voters]
    replaced = newcomer.name if newcomer.name in names else enrolment.replaced
    is_addition = not replaced and len(voters) < enrolment.voters_limit
    if replaced not in names and not is_addition:
        in_force = str(overlay.version(items.VOTERS_KEY))
        raise errors.StaleVersionError([{"voter": replaced, "in_force": in_force}])
    following = [voter for voter in voters if voter.name != replaced] + [newcomer]
    if loses_site_tolerance(voters, following):
        message = (
            f"with {newcomer.name} in place of {replaced}, the voters could lose their majority with one site"
        )
        raise invalid_voters(message)
    return voter_rows(following)


def plan_retire(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the set of voters without the one that the payload names; the order is idempotent.

    Raises:
        InvalidChangeError: Too few voters would be left, or the loss of one site could end their majority.
    """
    voters = quorum.voters_from_wire(overlay.value(items.VOTERS_KEY))
    following = [voter for voter in voters if voter.name != payload]
    if len(following) == len(voters):
        return {}
    minimum = min(RETIRE_MINIMUM_VOTERS, len(voters))
    if loses_site_tolerance(voters, following) or len(following) < minimum:
        message = f"without {payload} too few voters remain to survive the loss of a site; replace it instead"
        raise invalid_voters(message)
    return voter_rows(following)


def plan_voter_set(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan a new set of voters as a whole; majorities of both the present and the new set have to accept it.

    Raises:
        StaleVersionError: The voters have changed since the set was planned.
        InvalidChangeError: The set is empty, contains a node or disk twice, or could lose its majority with
            one site although the present set could not.
    """
    change = VoterSetChange.from_wire(payload)
    in_force = str(overlay.version(items.VOTERS_KEY))
    if in_force != change.expected:
        raise errors.StaleVersionError([{"voters": change.expected, "in_force": in_force}])
    voters = quorum.voters_from_wire(overlay.value(items.VOTERS_KEY))
    if not change.voters or has_duplicates(change.voters) or loses_site_tolerance(voters, change.voters):
        message = "the set is empty, names a voter or disk twice, or could lose its majority with one site"
        raise invalid_voters(message)
    if {voter.disk_id for voter in voters} == {voter.disk_id for voter in change.voters}:
        return {}
    return voter_rows(change.voters)


def has_duplicates(voters: list[quorum.Voter]) -> bool:
    """Return whether any two voters have the same name or the same disk id."""
    names = {voter.name for voter in voters}
    disk_ids = {voter.disk_id for voter in voters}
    return len(names) < len(voters) or len(disk_ids) < len(voters)


def loses_site_tolerance(voters: list[quorum.Voter], following: list[quorum.Voter]) -> bool:
    """Return whether only the present set of voters keeps its majority after the loss of any one site.

    Args:
        voters: The present set of voters.
        following: The set that is to replace it.
    """
    return quorum.survives_any_site_loss(voters) and not quorum.survives_any_site_loss(following)


def voter_rows(voters: list[quorum.Voter]) -> table_overlay.PlannedRows:
    """Return the row of a table that makes these nodes its voters."""
    return {items.VOTERS_KEY: [tuple(voter) for voter in voters]}


def invalid_voters(message: str) -> errors.InvalidChangeError:
    """Return the error that refuses a set of voters, with a message for the operator."""
    return errors.InvalidChangeError([{"row": None, "field": "voters", "message": message}])
