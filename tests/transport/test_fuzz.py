"""Fuzzing of codecs and state against an oracle."""

import random

import ormsgpack
import pytest

import irisstand.clocks
import irisstand.counters
import irisstand.errors as errors
import irisstand.membership.detector
import irisstand.membership.updates as updates
import irisstand.state.digests as digests
import irisstand.state.items as items
import irisstand.state.replica as replica
import irisstand.state.versions as versions
import irisstand.transport.codec as codec


def value(randomness, depth=0):
    kinds = [None, True, 0, -1, 2**40, 1.5, "", "x" * 20, b"\xff", "é"]
    if depth < 3 and randomness.random() < 0.5:
        if randomness.random() < 0.7:
            return [value(randomness, depth + 1) for _ in range(randomness.randrange(7))]
        return {str(n): value(randomness, depth + 1) for n in range(randomness.randrange(3))}
    return randomness.choice(kinds)


class StoppedClock:
    def now(self):
        return irisstand.clocks.Moment(5.0)


def detector():
    card = updates.NodeInfo("edge", "m", "s", "r", "127.0.0.1", 1, 2)
    counters = irisstand.counters.Counters()
    return irisstand.membership.detector.FailureDetector(
        "a", card, StoppedClock(), random.Random(1), counters
    )


@pytest.mark.parametrize("seed", range(5))
def test_any_bytes_are_a_message_or_a_bad_frame(seed):
    randomness = random.Random(seed)
    for _ in range(1500):
        message = ("kind", *(value(randomness) for _ in range(randomness.randrange(5))))
        packed = bytearray(codec.pack(message))
        assert codec.pack(codec.unpack(bytes(packed))) == bytes(packed)
        for _ in range(randomness.randrange(4)):
            packed[randomness.randrange(len(packed))] = randomness.randrange(256)
        del packed[randomness.randrange(len(packed)) :]
        try:
            assert isinstance(codec.unpack(bytes(packed))[0], str)
        except errors.MalformedFrameError:
            pass
    for bad in (b"", b"\xc1", ormsgpack.packb((9, "ping")), ormsgpack.packb((True, "ping"))):
        with pytest.raises(errors.MalformedFrameError):
            codec.unpack(bad)


def test_malformed_datagrams_are_counted_and_dropped():
    randomness = random.Random(3)
    one = detector()
    dropped = 0
    for _ in range(4000):
        body = [value(randomness) for _ in range(randomness.choice((4, 4, 4, 2, 6)))]
        body[0] = randomness.choice(("pong", 7, "hello"))
        if len(body) > 3 and randomness.random() < 0.8:
            body[1], body[2] = ("b", "1"), ("a", "1")
            body[3] = [value(randomness) for _ in range(3)]
        one.on_datagram(codec.pack(("ping-x", *body)), ("127.0.0.1", 9))
        one.on_datagram(randomness.randbytes(40), ("127.0.0.1", 9))
        dropped += 1
    assert one.counters.get("datagrams_dropped") >= dropped
    assert not one.member_list.members


@pytest.mark.parametrize("seed", range(5))
def test_updates_in_any_order_leave_what_the_override_order_says(seed):
    """Oracle: Confirm if there was one, else the highest incarnation, and Suspect before Alive in it."""
    randomness = random.Random(seed)
    card = updates.NodeInfo("edge", "m", "s", "r", "127.0.0.1", 1, 2)
    for _ in range(300):
        given = [
            updates.Update(
                updates.MemberState(randomness.choice((0, 0, 0, 1, 1, 1, 2))),
                updates.Identity(f"n{randomness.randrange(3)}", "1"),
                randomness.randrange(4),
                card,
            )
            for _ in range(randomness.randrange(1, 9))
        ]
        one = detector()
        for update in given:
            one.apply_update(updates.Update.from_wire(ormsgpack.unpackb(ormsgpack.packb(update.to_wire()))))
        for name in {update.identity.name for update in given}:
            about = [update for update in given if update.identity.name == name]
            failed = [update for update in about if update.state is updates.MemberState.CONFIRM]
            found = one.member_list.get(updates.Identity(name, "1"))
            if failed:
                assert found.state is updates.MemberState.CONFIRM
            else:
                best = max(about, key=lambda update: (update.incarnation_number, update.state))
                assert (found.incarnation_number, found.state) == (best.incarnation_number, best.state)


@pytest.mark.parametrize("seed", range(5))
def test_merging_is_the_same_in_any_order_and_digests_tell_every_difference(seed):
    randomness = random.Random(seed)
    for _ in range(60):
        given = [
            items.Item(
                f"k{randomness.randrange(6)}",
                versions.Version(number, "n"),
                randomness.choice((None, number)),
            )
            for number in range(1, randomness.randrange(2, 25))
        ]
        oracle = {}
        for item in given:
            oracle[item.key] = item
        copies = []
        for _ in range(2):
            shuffled = given[:]
            randomness.shuffle(shuffled)
            copy = replica.Replica("t")
            for item in shuffled:
                copy.merge(items.Item.from_wire(ormsgpack.unpackb(ormsgpack.packb(item.to_wire()))))
            copies.append(copy)
        assert dict(copies[0].items) == dict(copies[1].items) == oracle
        assert copies[0].root_digest() == copies[1].root_digest()
        changed = randomness.choice(list(oracle))
        copies[1].put(oracle[changed]._replace(value="damaged"))
        differing = [
            a != b for a, b in zip(copies[0].range_digests(), copies[1].range_digests(), strict=True)
        ]
        assert differing.index(True) == digests.range_number(changed) and sum(differing) == 1
