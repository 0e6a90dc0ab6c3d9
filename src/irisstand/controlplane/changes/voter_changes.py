"""Orders that change which control plane nodes vote on a table."""

import typing

from irisstand import errors
from irisstand.controlplane.changes import table_overlay
from irisstand.state import items, quorum

# With fewer voters no single loss is survived; sets that are smaller already may stay so.
RETIRE_MINIMUM_VOTERS = 3


class VoterEnrolment(typing.NamedTuple):
    """A request to let a node vote.

    Attributes:
        newcomer: The node; under a known name it takes the place of that node's lost disk.
        replaced: The name of the voter that it takes the place of, empty if of none.
        voters_limit: Up to how many voters it may join without taking anybody's place.
    """

    newcomer: quorum.Voter
    replaced: str
    voters_limit: int

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "VoterEnrolment":
        """Read an order's payload; earlier software sends no limit."""
        newcomer, replaced, *more = payload
        return cls(quorum.Voter(*newcomer), replaced, more[0] if more else 0)


class VoterSetChange(typing.NamedTuple):
    """A request to install a whole set of voters, planned from the version `expected` of the present set."""

    expected: str
    voters: list[quorum.Voter]

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "VoterSetChange":
        """Read an order's payload."""
        expected, voters, *_ = payload
        return cls(expected, [quorum.Voter(*parts) for parts in voters])


def plan_enrol(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the voters with one more, or with one in the place of another. Twice is the same as once.

    Raises:
        StaleVersionError: The voter to replace does not vote, and there is no room for one more.
        InvalidChangeError: The loss of one site would end the new set's majority but not the present one's.
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
        message = f"with {newcomer.name} for {replaced}, the loss of one site would end the majority"
        raise invalid_voters(message)
    return voter_rows(following)


def plan_retire(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the voters without the one that the payload names. Twice is the same as once.

    Raises:
        InvalidChangeError: Too few voters would be left, or the loss of one site would end their majority.
    """
    voters = quorum.voters_from_wire(overlay.value(items.VOTERS_KEY))
    following = [voter for voter in voters if voter.name != payload]
    if len(following) == len(voters):
        return {}
    minimum = min(RETIRE_MINIMUM_VOTERS, len(voters))
    if loses_site_tolerance(voters, following) or len(following) < minimum:
        message = f"without {payload} the loss of one site would end the majority; replace it instead"
        raise invalid_voters(message)
    return voter_rows(following)


def plan_voter_set(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan a whole set of voters at once; the present and the new set both have to accept it.

    Raises:
        StaleVersionError: The voters have changed since the set was planned.
        InvalidChangeError: The set is empty, has a node or disk twice, or would not survive a site's loss.
    """
    change = VoterSetChange.from_wire(payload)
    in_force = str(overlay.version(items.VOTERS_KEY))
    if in_force != change.expected:
        raise errors.StaleVersionError([{"voters": change.expected, "in_force": in_force}])
    voters = quorum.voters_from_wire(overlay.value(items.VOTERS_KEY))
    if not change.voters or has_duplicates(change.voters) or loses_site_tolerance(voters, change.voters):
        message = "the set is empty, names one twice, or the loss of one site would end its majority"
        raise invalid_voters(message)
    if {voter.disk_id for voter in voters} == {voter.disk_id for voter in change.voters}:
        return {}
    return voter_rows(change.voters)


def has_duplicates(voters: list[quorum.Voter]) -> bool:
    """Return whether two voters have the same name or the same disk."""
    names = {voter.name for voter in voters}
    disk_ids = {voter.disk_id for voter in voters}
    return len(names) < len(voters) or len(disk_ids) < len(voters)


def loses_site_tolerance(voters: list[quorum.Voter], following: list[quorum.Voter]) -> bool:
    """Return whether the present voters survive the loss of any site, and the following ones do not."""
    return quorum.survives_any_site_loss(voters) and not quorum.survives_any_site_loss(following)


def voter_rows(voters: list[quorum.Voter]) -> table_overlay.PlannedRows:
    """Return the row that installs these voters."""
    return {items.VOTERS_KEY: [tuple(voter) for voter in voters]}


def invalid_voters(message: str) -> errors.InvalidChangeError:
    """Return the refusal of a set of voters."""
    return errors.InvalidChangeError([{"row": None, "field": "voters", "message": message}])
