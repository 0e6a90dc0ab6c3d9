"""Slots recorded in the ledger: which shield machine holds which part of the objects, moved step by step."""

from irisstand.balancing import rendezvous

ITEM_COUNT = 16
SLOTS_PER_ITEM = rendezvous.SLOT_COUNT // ITEM_COUNT


def item_key(slot: int) -> str:
    return f"slots/{slot // SLOTS_PER_ITEM:02d}"


def preferred_machine(slot: int, weights: dict[str, float]) -> str:
    names = rendezvous.ranked(str(slot), sorted(weights.items()))
    return names[0] if names else ""


def plan(
    owners: list[str], weights: dict[str, float], given_up: set[str], step: int
) -> tuple[list[str], int]:
    """The next owners and how many slots move: all that lost their owner, and `step` more at the most.

    Weighted rendezvous wants only the slots of a machine that went or came, so nothing else ever moves.

    >>> owners, moved = plan([""] * 256, {"a": 1, "b": 1}, set(), 0)
    >>> moved, sorted(set(owners))
    (256, ['a', 'b'])
    >>> plan(owners, {"a": 1, "b": 1}, set(), 9)[1]
    0
    """
    planned, moved, voluntary = list(owners), 0, 0
    for slot, owner in enumerate(owners):
        target = preferred_machine(slot, weights)
        if not target or target == owner:
            continue
        lost = not owner or owner in given_up
        # A machine that is missing but not yet given up may be back in a moment: its slots wait.
        if not lost and owner not in weights:
            continue
        if not lost and voluntary >= step:
            continue
        voluntary += not lost
        planned[slot] = target
        moved += 1
    return planned, moved
