"""Plans which machines go to standby, so that the loss of any machine or any site is still covered."""

import typing

ACTIVATION_MARGIN = 1.2
STANDBY_MARGIN = 1.5
# The reasons that operators read for a machine's state; `{loss}` names the loss that would not be covered.
IN_STANDBY = "resting: the others carry the load, and any one loss besides"
PINNED = "awake: pinned by operators"
TOO_FEW_VOTERS = "awake: the core could not lose one more machine or site"
LOSS_NOT_COVERED = "awake: without it the loss of {loss} would not be carried"
ONE_AT_A_TIME = "awake: one machine is put to rest at a time"


class Machine(typing.NamedTuple):
    """A machine that serves requests.

    Attributes:
        name: The name of the machine.
        site: The site of the machine.
        capacity: Its capacity in requests per second.
        pinned: Whether operators pinned it, so that it never goes to standby.
    """

    name: str
    site: str
    capacity: float
    pinned: bool


class Voter(typing.NamedTuple):
    """A voter of the control plane, with its machine and site."""

    name: str
    machine: str
    site: str


class StandbyPlan(typing.NamedTuple):
    """The names of the machines that should be in standby, and the reason for each machine's state."""

    machines: set[str]
    reasons: dict[str, str]


def uncovered_loss(active: list[Machine], load: float) -> str:
    """Return the first loss of a machine or site after which the other machines cannot carry the load.

    Args:
        active: The machines that are not in standby.
        load: The load in requests per second.

    Returns:
        A description of the loss; empty if every single loss is covered.

    >>> a, b = Machine("a", "x", 10, False), Machine("b", "y", 10, False)
    >>> uncovered_loss([a, b], 8), uncovered_loss([a, b], 12)
    ('', 'machine a')
    >>> uncovered_loss([a, b._replace(site="x")], 1)
    'site x'
    """
    losses = [("machine", machine.name, [m for m in active if m is not machine]) for machine in active]
    sites = sorted({machine.site for machine in active})
    losses += [("site", site, [m for m in active if m.site != site]) for site in sites]
    for kind, name, remaining in losses:
        # If no machine remains, the loss is not covered even without load: no machine in standby could be
        # activated in time for the next request.
        if not remaining or sum(machine.capacity for machine in remaining) < load:
            return f"{kind} {name}"
    return "" if active else "everything"


def plan(
    machines: list[Machine],
    current_standby: set[str],
    load: float,
    *,
    may_enter_standby: bool,
    margin: float = STANDBY_MARGIN,
) -> StandbyPlan:
    """Plan which machines should be in standby; at most one more machine at a time goes there.

    A machine becomes active when the load times `ACTIVATION_MARGIN` is not covered, and goes to standby only
    while the load times the larger `margin` is covered. This hysteresis keeps a small rise of the load from
    activating a machine that has just gone to standby.

    Args:
        machines: All machines with the same role that are up.
        current_standby: The names of the machines in standby now.
        load: The load of all these machines together, in requests per second.
        may_enter_standby: Whether the voters could lose one more machine or site.
        margin: The factor on the load that must be covered before a machine goes to standby.
    """
    up = {machine.name: machine for machine in machines}
    standby = {name for name in current_standby if name in up and not up[name].pinned and may_enter_standby}
    activate(machines, standby, load)
    activated = current_standby - standby
    reasons: dict[str, str] = {}
    for machine in sorted(machines, key=lambda m: (m.capacity, m.name)):
        if machine.name in standby:
            reasons[machine.name] = IN_STANDBY
            continue
        reason = reason_to_stay_active(machine, may_enter_standby=may_enter_standby)
        if not reason:
            others = [m for m in machines if m.name not in standby and m is not machine]
            loss = uncovered_loss(others, load * margin)
            if loss:
                reason = LOSS_NOT_COVERED.format(loss=loss)
            elif len(standby) > len(current_standby - activated) or activated:
                reason = ONE_AT_A_TIME
            else:
                standby.add(machine.name)
                reason = IN_STANDBY
        reasons[machine.name] = reason
    return StandbyPlan(standby, reasons)


def activate(machines: list[Machine], standby: set[str], load: float) -> None:
    """Remove machines from standby, the largest first, until every single loss is covered."""
    for machine in sorted(machines, key=lambda m: (-m.capacity, m.name)):
        active = [m for m in machines if m.name not in standby]
        if machine.name in standby and uncovered_loss(active, load * ACTIVATION_MARGIN):
            standby.discard(machine.name)


def reason_to_stay_active(machine: Machine, *, may_enter_standby: bool) -> str:
    """Return why a machine must stay active whatever the load; empty if it may go to standby."""
    if machine.pinned:
        return PINNED
    return "" if may_enter_standby else TOO_FEW_VOTERS


def voters_survive_any_loss(voters: list[tuple[str, str, str]], up: set[str]) -> bool:
    """Return whether the voters that are up keep a majority after the loss of any one machine or site.

    Args:
        voters: All voters as (name, machine, site).
        up: The names of the voters that are up.

    >>> voters = [(n, n, s) for n, s in (("a", "x"), ("b", "y"), ("c", "z"))]
    >>> voters_survive_any_loss(voters, {"a", "b", "c"}), voters_survive_any_loss(voters, {"a", "b"})
    (True, False)
    """
    placed = [Voter(*voter) for voter in voters]
    losses = [{v.name for v in placed if v.machine == machine} for machine in {v.machine for v in placed}]
    losses += [{v.name for v in placed if v.site == site} for site in {v.site for v in placed}]
    return all(2 * len(up_voters(placed, up, lost)) > len(placed) for lost in losses)


def up_voters(voters: list[Voter], up: set[str], lost: set[str]) -> list[Voter]:
    """Return the voters that are up and whose names are not in `lost`."""
    return [voter for voter in voters if voter.name in up and voter.name not in lost]
