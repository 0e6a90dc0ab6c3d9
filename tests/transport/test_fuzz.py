"""Fuzz tests of the codec, the failure detector and replica merges; the latter two against an oracle."""

import contextlib
import random

import ormsgpack
import pytest
import random_values

from irisstand import clocks, counters, errors
from irisstand.membership import detector, updates
from irisstand.state import digests, items, replica, versions
from irisstand.transport import codec


class StoppedClock:
    def now(self):
        return clocks.Moment(5.0)


def new_detector():
    node_info = updates.NodeInfo("edge", "m", "s", "r", "127.0.0.1", 1, 2)
    return detector.FailureDetector("a", node_info, StoppedClock(), random.Random(1), counters.Counters())


@pytest.mark.parametrize("seed", range(5))
def test_any_bytes_are_a_message_or_a_malformed_frame(seed):
    randomness = random.Random(seed)
    for _ in range(1500):
        message = ("kind", *(random_values.random_value(randomness) for _ in range(randomness.randrange(5))))
        packed = bytearray(codec.pack(message))
        assert codec.pack(codec.unpack(bytes(packed))) == bytes(packed)
        for _ in range(randomness.randrange(4)):
            packed[randomness.randrange(len(packed))] = randomness.randrange(256)
        del packed[randomness.randrange(len(packed)) :]
        with contextlib.suppress(errors.MalformedFrameError):
            assert isinstance(codec.unpack(bytes(packed))[0], str)
    for malformed_payload in (b"", b"\xc1", ormsgpack.packb((9, "ping")), ormsgpack.packb((True, "ping"))):
        with pytest.raises(errors.MalformedFrameError):
            codec.unpack(malformed_payload)


def test_malformed_datagrams_are_counted_and_dropped():
    randomness = random.Random(3)
    failure_detector = new_detector()
    dropped = 0
    for _ in range(4000):
        body = [random_values.random_value(randomness) for _ in range(randomness.choice((4, 4, 4, 2, 6)))]
        body[0] = randomness.choice(("pong", 7, "hello"))
        if len(body) > 3 and randomness.random() < 0.8:
            body[1], body[2] = ("b", "1"), ("a", "1")
            body[3] = [random_values.random_value(randomness) for _ in range(3)]
        failure_detector.on_datagram(codec.pack(("ping-x", *body)), ("127.0.0.1", 9))
        failure_detector.on_datagram(randomness.randbytes(40), ("127.0.0.1", 9))
        dropped += 1
    assert failure_detector.counters.get("datagrams_dropped") >= dropped
    assert not failure_detector.member_list.members


@pytest.mark.parametrize("seed", range(5))
def test_updates_in_any_order_end_in_the_state_of_the_override_order(seed):
    """Membership updates about a member lead to the same state in whatever order they arrive.

    The oracle: Confirm overrides all other updates; otherwise the highest incarnation number counts, and
    Suspect overrides Alive in the same incarnation.
    """
    randomness = random.Random(seed)
    node_info = updates.NodeInfo("edge", "m", "s", "r", "127.0.0.1", 1, 2)
    for _ in range(300):
        sent_updates = [
            updates.Update(
                updates.MemberState(randomness.choice((0, 0, 0, 1, 1, 1, 2))),
                updates.Identity(f"n{randomness.randrange(3)}", "1"),
                randomness.randrange(4),
                node_info,
            )
            for _ in range(randomness.randrange(1, 9))
        ]
        failure_detector = new_detector()
        for update in sent_updates:
            failure_detector.apply_update(
                updates.Update.from_wire(ormsgpack.unpackb(ormsgpack.packb(update.to_wire())))
            )
        for name in {update.identity.name for update in sent_updates}:
            member_updates = [update for update in sent_updates if update.identity.name == name]
            confirmations = [
                update for update in member_updates if update.state is updates.MemberState.CONFIRM
            ]
            found = failure_detector.member_list.get(updates.Identity(name, "1"))
            if confirmations:
                assert found.state is updates.MemberState.CONFIRM
            else:
                best = max(member_updates, key=lambda update: (update.incarnation_number, update.state))
                assert (found.incarnation_number, found.state) == (best.incarnation_number, best.state)


@pytest.mark.parametrize("seed", range(5))
def test_merge_does_not_depend_on_order_and_digests_show_every_difference(seed):
    randomness = random.Random(seed)
    for _ in range(60):
        merged_items = [
            items.Item(
                f"k{randomness.randrange(6)}",
                versions.Version(number, "n"),
                randomness.choice((None, number)),
            )
            for number in range(1, randomness.randrange(2, 25))
        ]
        oracle = {}
        for item in merged_items:
            oracle[item.key] = item
        replicas = []
        for _ in range(2):
            shuffled = merged_items[:]
            randomness.shuffle(shuffled)
            table = replica.Replica("t")
            for item in shuffled:
                table.merge(items.Item.from_wire(ormsgpack.unpackb(ormsgpack.packb(item.to_wire()))))
            replicas.append(table)
        assert dict(replicas[0].items) == dict(replicas[1].items) == oracle
        assert replicas[0].root_digest() == replicas[1].root_digest()
        changed_key = randomness.choice(list(oracle))
        replicas[1].put(oracle[changed_key]._replace(value="damaged"))
        differing = [
            a != b for a, b in zip(replicas[0].range_digests(), replicas[1].range_digests(), strict=True)
        ]
        assert differing.index(True) == digests.range_number(changed_key)
        assert sum(differing) == 1
