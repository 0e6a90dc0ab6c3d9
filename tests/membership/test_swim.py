"""SWIM: the override order over all pairs of states, the bound on piggybacking and the round-robin bound."""

import itertools
import random

import pytest

from irisstand.membership import dissemination_buffer, member_list, updates

NODE_INFO = updates.NodeInfo("edge", "machine", "site", "region", "127.0.0.1", 1, 2)
STATES = {
    "alive": updates.MemberState.ALIVE,
    "suspect": updates.MemberState.SUSPECT,
    "confirm": updates.MemberState.CONFIRM,
}

# For each pair of states (new, old): the condition on the incarnation numbers under which the new update
# overrides the old one, from section 4.2 of the paper.
OVERRIDE_CONDITIONS = {
    ("alive", "suspect"): lambda new, old: new > old,
    ("alive", "alive"): lambda new, old: new > old,
    ("alive", "confirm"): lambda new, old: False,
    ("suspect", "suspect"): lambda new, old: new > old,
    ("suspect", "alive"): lambda new, old: new >= old,
    ("suspect", "confirm"): lambda new, old: False,
    ("confirm", "alive"): lambda new, old: True,
    ("confirm", "suspect"): lambda new, old: True,
    ("confirm", "confirm"): lambda new, old: False,
}


def update(name, state="alive", incarnation=0):
    return updates.Update(STATES[state], updates.Identity(name, "1"), incarnation, NODE_INFO)


@pytest.mark.parametrize(("new", "old"), OVERRIDE_CONDITIONS)
def test_override_order(new, old):
    for new_number, old_number in itertools.product(range(3), repeat=2):
        members = member_list.MemberList(random.Random(1))
        members.apply(update("a", old, old_number))
        wins = members.apply(update("a", new, new_number))
        assert wins == OVERRIDE_CONDITIONS[(new, old)](new_number, old_number), (
            new,
            new_number,
            old,
            old_number,
        )
        expected = update("a", new, new_number) if wins else update("a", old, old_number)
        assert members.get(updates.Identity("a", "1")) == expected


def test_piggybacked_updates_are_bounded_least_sent_first_and_from_both_lists():
    buffer = dissemination_buffer.DisseminationBuffer()
    limit = dissemination_buffer.transmission_limit(3, 20)
    for number in range(10):
        buffer.add(update(f"present-{number}"))
        buffer.add(update(f"failed-{number}", "confirm"))
    sent = {}
    while selected := buffer.select(6, limit):
        assert len(selected) <= 6
        before = dict(sent)
        for entry in selected:
            sent[entry.identity] = sent.get(entry.identity, 0) + 1
        for kind in ("present", "failed"):
            waiting = [identity for identity in buffer.updates if identity.name.startswith(kind)]
            chosen = [entry.identity for entry in selected if entry.identity.name.startswith(kind)]
            # No update that was left waiting had been sent less often than one chosen from the same list.
            left = [before.get(identity, 0) for identity in waiting if identity not in chosen]
            least = min(left, default=99)
            assert all(before.get(identity, 0) <= least for identity in chosen)
            if waiting:
                assert len(chosen) >= 3
    assert len(sent) == 20
    assert set(sent.values()) == {limit}


def test_successive_pings_of_a_member_are_at_most_2n_minus_1_periods_apart():
    for seed in range(20):
        members = member_list.MemberList(random.Random(seed))
        for number in range(9):
            members.apply(update(f"m{number}"))
        last, gap = {}, 0
        for period in range(400):
            target = members.next_ping_target().identity.name
            gap = max(gap, period - last.get(target, period))
            last[target] = period
        assert 9 <= gap <= 2 * 9 - 1
