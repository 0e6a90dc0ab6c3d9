"""Assigns slots, the shards of the key space of objects, to shield machines, a few at a time.

The ledger records the owners of slots in items `slots/<number>`, with `SLOTS_PER_ITEM` slots each.
"""

import typing

from irisstand.balancing import rendezvous

ITEM_COUNT = 16
SLOTS_PER_ITEM = rendezvous.SLOT_COUNT // ITEM_COUNT


class SlotPlan(typing.NamedTuple):
    """The planned owner of each slot, and the number of slots that move."""

    owners: list[str]
    moved: int


def item_key(slot: int) -> str:
    """Return the key of the ledger item that records the owner of a slot."""
    return f"slots/{slot // SLOTS_PER_ITEM:02d}"


def preferred_machine(slot: int, weights: dict[str, float]) -> str:
    """Return the machine that rendezvous hashing chooses for a slot; empty without candidates."""
    names = rendezvous.ranked(str(slot), sorted(weights.items()))
    return names[0] if names else ""


def plan(owners: list[str], weights: dict[str, float], failed_machines: set[str], max_moves: int) -> SlotPlan:
    """Plan the next owners of slots: all slots without an owner move, and at most `max_moves` others.

    With weighted rendezvous hashing, a machine that joins or leaves moves only its own slots.

    Args:
        owners: The machine that owns each slot; an empty string for none.
        weights: The machines that are up, with their weights.
        failed_machines: Machines that have been down for so long that all their slots move at once.
        max_moves: The maximum number of slots that may move away from machines that are up.

    >>> owners, moved = plan([""] * 256, {"a": 1, "b": 1}, set(), 0)
    >>> moved, sorted(set(owners))
    (256, ['a', 'b'])
    >>> plan(owners, {"a": 1, "b": 1}, set(), 9)[1]
    0
    """
    planned = list(owners)
    moved = 0
    voluntary_moves = 0
    for slot, owner in enumerate(owners):
        target = preferred_machine(slot, weights)
        if not target or target == owner:
            continue
        is_lost = not owner or owner in failed_machines
        # A machine that is down, but not in `failed_machines`, may soon be back: its slots do not move yet.
        if not is_lost and (owner not in weights or voluntary_moves >= max_moves):
            continue
        voluntary_moves += not is_lost
        planned[slot] = target
        moved += 1
    return SlotPlan(planned, moved)
