"""The rota: which machines may rest, so that the loss of any one machine or any one site is still carried."""

import typing


class Machine(typing.NamedTuple):
    name: str
    site: str
    capacity: float
    pinned: bool


def uncovered_loss(awake: list[Machine], load: float) -> str:
    """Empty if the loss of any one machine and of any one site is carried, else the loss that is not.

    >>> a, b = Machine("a", "x", 10, False), Machine("b", "y", 10, False)
    >>> carries([a, b], 8), carries([a, b], 12)
    ('', 'machine a')
    >>> carries([a, b._replace(site="x")], 1)
    'site x'
    """
    losses = [("machine", machine.name, [m for m in awake if m is not machine]) for machine in awake]
    sites = sorted({machine.site for machine in awake})
    losses += [("site", site, [m for m in awake if m.site != site]) for site in sites]
    for kind, name, left in losses:
        # Nothing left is a loss even at no load: a machine could not be woken in time for the next request.
        if not left or sum(machine.capacity for machine in left) < load:
            return f"{kind} {name}"
    return "" if awake else "everything"


def plan(
    machines: list[Machine], resting: set[str], load: float, may_rest: bool, margin: float = 1.5
) -> tuple[set[str], dict[str, str]]:
    """Who should rest next, and for every machine the reason. At most one more rests at a time.

    Waking is judged by the load itself with a little room, resting by the load with `margin` of room, so
    that a machine does not go to rest only to be woken by the next breath of traffic.
    """
    reasons: dict[str, str] = {}
    up = {machine.name: machine for machine in machines}
    rest = {name for name in resting if name in up and not up[name].pinned and may_rest}
    # Wake, the largest first, until every single loss is carried again.
    for machine in sorted(machines, key=lambda m: (-m.capacity, m.name)):
        awake = [m for m in machines if m.name not in rest]
        if machine.name in rest and uncovered_loss(awake, load * 1.2):
            rest.discard(machine.name)
    woken = resting - rest
    for machine in sorted(machines, key=lambda m: (m.capacity, m.name)):
        if machine.name in rest:
            reasons[machine.name] = "resting: the others carry the load, and any one loss besides"
        elif machine.pinned:
            reasons[machine.name] = "awake: pinned by operators"
        elif not may_rest:
            reasons[machine.name] = "awake: the core could not lose one more machine or site"
        else:
            awake = [m for m in machines if m.name not in rest and m is not machine]
            loss = uncovered_loss(awake, load * margin)
            if loss:
                reasons[machine.name] = f"awake: without it the loss of {loss} would not be carried"
            elif len(rest) > len(resting - woken) or woken:
                reasons[machine.name] = "awake: one machine is put to rest at a time"
            else:
                rest.add(machine.name)
                reasons[machine.name] = "resting: the others carry the load, and any one loss besides"
    return rest, reasons


def core_survives_any_loss(voters: list[tuple[str, str, str]], up: set[str]) -> bool:
    """Whether the voters that are up keep a majority after any one machine, and any one site, is lost.

    Voters are (name, machine, site).

    >>> voters = [(n, n, s) for n, s in (("a", "x"), ("b", "y"), ("c", "z"))]
    >>> core_carries(voters, {"a", "b", "c"}), core_carries(voters, {"a", "b"})
    (True, False)
    """
    for place in (1, 2):
        for lost in {voter[place] for voter in voters}:
            left = sum(voter[0] in up and voter[place] != lost for voter in voters)
            if 2 * left <= len(voters):
                return False
    return True
