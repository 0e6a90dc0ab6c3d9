"""Plans which machines go to standby, so that the loss of any machine or any site is still covered."""

import typing

WAKE_MARGIN = 1.2
STANDBY_MARGIN = 1.5
# What operators read of a machine; `{loss}` names what would not be covered.
IN_STANDBY = "resting: the others carry the load, and any one loss besides"
PINNED = "awake: pinned by operators"
CORE_TOO_SMALL = "awake: the core could not lose one more machine or site"
LOSS_NOT_COVERED = "awake: without it the loss of {loss} would not be carried"
ONE_AT_A_TIME = "awake: one machine is put to rest at a time"


class Machine(typing.NamedTuple):
    """A machine that takes requests; `capacity` in requests per second, `pinned` ones never go to standby."""

    name: str
    site: str
    capacity: float
    pinned: bool


class Voter(typing.NamedTuple):
    """A voter of the core, with its machine and site."""

    name: str
    machine: str
    site: str


class StandbyPlan(typing.NamedTuple):
    """The names of the machines that should be in standby, and the reason for every machine."""

    machines: set[str]
    reasons: dict[str, str]


def uncovered_loss(active: list[Machine], load: float) -> str:
    """Return the first loss of a machine or site after which the others cannot carry the load.

    Args:
        active: The machines that are not in standby.
        load: Requests per second.

    Returns:
        The loss in words; empty if every single loss is covered.

    >>> a, b = Machine("a", "x", 10, False), Machine("b", "y", 10, False)
    >>> uncovered_loss([a, b], 8), uncovered_loss([a, b], 12)
    ('', 'machine a')
    >>> uncovered_loss([a, b._replace(site="x")], 1)
    'site x'
    """
    losses = [("machine", machine.name, [m for m in active if m is not machine]) for machine in active]
    sites = sorted({machine.site for machine in active})
    losses += [("site", site, [m for m in active if m.site != site]) for site in sites]
    for kind, name, left in losses:
        # No machine left is a loss even without load: none could be woken in time for the next request.
        if not left or sum(machine.capacity for machine in left) < load:
            return f"{kind} {name}"
    return "" if active else "everything"


def plan(
    machines: list[Machine],
    resting: set[str],
    load: float,
    *,
    may_rest: bool,
    margin: float = STANDBY_MARGIN,
) -> StandbyPlan:
    """Plan who should be in standby next; at most one more machine at a time.

    Machines wake when the load with `WAKE_MARGIN` is not covered, and go to standby while it is covered with
    the larger `margin`, so that a small rise of the load does not wake a machine that just went to standby.

    Args:
        machines: All machines of a role that are up.
        resting: Names of those in standby now.
        load: Requests per second on all of them.
        may_rest: Whether the core could lose one more machine or site.
        margin: Factor on the load before a machine goes to standby.
    """
    up = {machine.name: machine for machine in machines}
    rest = {name for name in resting if name in up and not up[name].pinned and may_rest}
    wake(machines, rest, load)
    woken = resting - rest
    reasons: dict[str, str] = {}
    for machine in sorted(machines, key=lambda m: (m.capacity, m.name)):
        if machine.name in rest:
            reasons[machine.name] = IN_STANDBY
            continue
        reason = reason_to_stay(machine, may_rest=may_rest)
        if not reason:
            others = [m for m in machines if m.name not in rest and m is not machine]
            loss = uncovered_loss(others, load * margin)
            if loss:
                reason = LOSS_NOT_COVERED.format(loss=loss)
            elif len(rest) > len(resting - woken) or woken:
                reason = ONE_AT_A_TIME
            else:
                rest.add(machine.name)
                reason = IN_STANDBY
        reasons[machine.name] = reason
    return StandbyPlan(rest, reasons)


def wake(machines: list[Machine], rest: set[str], load: float) -> None:
    """Take machines out of standby, the largest first, until every single loss is covered."""
    for machine in sorted(machines, key=lambda m: (-m.capacity, m.name)):
        active = [m for m in machines if m.name not in rest]
        if machine.name in rest and uncovered_loss(active, load * WAKE_MARGIN):
            rest.discard(machine.name)


def reason_to_stay(machine: Machine, *, may_rest: bool) -> str:
    """Return why a machine never goes to standby now, whatever the load; empty if it may."""
    if machine.pinned:
        return PINNED
    return "" if may_rest else CORE_TOO_SMALL


def core_survives_any_loss(voters: list[tuple[str, str, str]], up: set[str]) -> bool:
    """Tell whether the voters that are up keep a majority after the loss of any one machine or site.

    Args:
        voters: All voters as (name, machine, site).
        up: Names of those that are up.

    >>> voters = [(n, n, s) for n, s in (("a", "x"), ("b", "y"), ("c", "z"))]
    >>> core_survives_any_loss(voters, {"a", "b", "c"}), core_survives_any_loss(voters, {"a", "b"})
    (True, False)
    """
    placed = [Voter(*voter) for voter in voters]
    losses = [{v.name for v in placed if v.machine == machine} for machine in {v.machine for v in placed}]
    losses += [{v.name for v in placed if v.site == site} for site in {v.site for v in placed}]
    return all(2 * len(up_voters(placed, up, lost)) > len(placed) for lost in losses)


def up_voters(voters: list[Voter], up: set[str], lost: set[str]) -> list[Voter]:
    """Return the voters that are up and not lost."""
    return [voter for voter in voters if voter.name in up and voter.name not in lost]
