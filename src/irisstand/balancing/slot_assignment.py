"""Assigns slots, which are shards of the object space, to shield machines, a few at a time.

The ledger records the owners in items `slots/<number>` of `SLOTS_PER_ITEM` slots each.
"""

import typing

from irisstand.balancing import rendezvous

ITEM_COUNT = 16
SLOTS_PER_ITEM = rendezvous.SLOT_COUNT // ITEM_COUNT


class SlotPlan(typing.NamedTuple):
    """The next owner of each slot, and how many slots move."""

    owners: list[str]
    moved: int


def item_key(slot: int) -> str:
    """Return the key of the ledger item that records the slot's owner."""
    return f"slots/{slot // SLOTS_PER_ITEM:02d}"


def preferred_machine(slot: int, weights: dict[str, float]) -> str:
    """Return the machine that rendezvous hashing prefers for the slot; empty without candidates."""
    names = rendezvous.ranked(str(slot), sorted(weights.items()))
    return names[0] if names else ""


def plan(owners: list[str], weights: dict[str, float], given_up: set[str], step: int) -> SlotPlan:
    """Plan the next owners: all slots that lost theirs move, and `step` others at most.

    Weighted rendezvous hashing prefers another machine only for slots of a machine that went or came, so that
    no other slot moves.

    Args:
        owners: The machine of each slot, empty for none.
        weights: The machines that are up, with their weights.
        given_up: Machines that have been missing for so long that their slots move at once.
        step: How many slots of machines that are up may move.

    >>> owners, moved = plan([""] * 256, {"a": 1, "b": 1}, set(), 0)
    >>> moved, sorted(set(owners))
    (256, ['a', 'b'])
    >>> plan(owners, {"a": 1, "b": 1}, set(), 9)[1]
    0
    """
    planned = list(owners)
    moved = 0
    voluntary = 0
    for slot, owner in enumerate(owners):
        target = preferred_machine(slot, weights)
        if not target or target == owner:
            continue
        is_lost = not owner or owner in given_up
        # A machine that is missing, but not given up, may be back in a moment: its slots wait.
        if not is_lost and (owner not in weights or voluntary >= step):
            continue
        voluntary += not is_lost
        planned[slot] = target
        moved += 1
    return SlotPlan(planned, moved)
