"""Orders that change which core nodes vote on a table."""

import typing

from irisstand import errors
from irisstand.controlplane.changes import overlay as overlays
from irisstand.state import items, quorum

Overlay = overlays.Overlay
Planned = dict[str, typing.Any]


def plan_enrol(overlay: Overlay, payload: typing.Any) -> Planned:
    """Vote a core node in, one change of the voters at a time.

    Under a known name it replaces that node's lost disk; under a new name, the voter that it says is gone, or
    nobody, as long as there are fewer voters than there is room for.
    """
    newcomer, replaced = quorum.Voter(*payload[0]), payload[1]
    room = payload[2] if len(payload) > 2 else 0
    voters = quorum.voters_from_wire(overlay.value(items.VOTERS_KEY))
    if any(voter.disk_id == newcomer.disk_id for voter in voters):
        return {}
    known = [voter.name for voter in voters]
    leaves = newcomer.name if newcomer.name in known else replaced
    grows = not leaves and len(voters) < room
    if leaves not in known and not grows:
        raise errors.StaleVersionError(
            [{"voter": leaves, "in_force": str(overlay.version(items.VOTERS_KEY))}]
        )
    following = [voter for voter in voters if voter.name != leaves] + [newcomer]
    # Refused whole: a set that one lost site could rob of its majority, where the present one could not.
    if quorum.survives_any_site_loss(voters) and not quorum.survives_any_site_loss(following):
        message = f"with {newcomer.name} for {leaves}, the loss of one site would end the majority"
        raise errors.InvalidChangeError([{"row": None, "field": "voters", "message": message}])
    return {items.VOTERS_KEY: [tuple(voter) for voter in following]}


def plan_retire(overlay: Overlay, payload: typing.Any) -> Planned:
    """One voter less. Twice is the same as once; the last three stay."""
    voters = quorum.voters_from_wire(overlay.value(items.VOTERS_KEY))
    following = [voter for voter in voters if voter.name != payload]
    if len(following) == len(voters):
        return {}
    loses = quorum.survives_any_site_loss(voters) and not quorum.survives_any_site_loss(following)
    if loses or len(following) < min(3, len(voters)):
        message = f"without {payload} the loss of one site would end the majority; replace it instead"
        raise errors.InvalidChangeError([{"row": None, "field": "voters", "message": message}])
    return {items.VOTERS_KEY: [tuple(voter) for voter in following]}


def plan_voter_set(overlay: Overlay, payload: typing.Any) -> Planned:
    """The whole set at once, agreed by old and new set; only from the version that its planner saw."""
    expected, decoded = payload[0], [quorum.Voter(*parts) for parts in payload[1]]
    if str(overlay.version(items.VOTERS_KEY)) != expected:
        raise errors.StaleVersionError(
            [{"voters": expected, "in_force": str(overlay.version(items.VOTERS_KEY))}]
        )
    voters = quorum.voters_from_wire(overlay.value(items.VOTERS_KEY))
    alike = len(decoded) != len({v.name for v in decoded}) or len(decoded) != len(
        {v.disk_id for v in decoded}
    )
    loses = quorum.survives_any_site_loss(voters) and not quorum.survives_any_site_loss(decoded)
    if not decoded or alike or loses:
        message = "the set is empty, names one twice, or the loss of one site would end its majority"
        raise errors.InvalidChangeError([{"row": None, "field": "voters", "message": message}])
    if {voter.disk_id for voter in voters} == {voter.disk_id for voter in decoded}:
        return {}
    return {items.VOTERS_KEY: [tuple(voter) for voter in decoded]}
