"""Transfers of large bodies leave connections to an origin to other requests."""

from irisstand import transfer_speed
from irisstand.dataplane.upstream import transfers


class SlowTransfer:
    def __init__(self, moved_bytes):
        self.speed = transfer_speed.TransferSpeed(lambda: 0.0)
        self.speed.add(moved_bytes)
        self.is_evicted = False

    def evict(self):
        self.is_evicted = True


def test_slowest_of_too_many_transfers_makes_room_for_a_new_one():
    in_progress = transfers.Transfers()
    slow, fast, newest = SlowTransfer(10), SlowTransfer(1000), SlowTransfer(0)
    in_progress.add(1, fast, limit=2)
    in_progress.add(2, slow, limit=2)
    assert not slow.is_evicted
    in_progress.add(3, newest, limit=2)
    assert [transfer.is_evicted for transfer in (slow, fast, newest)] == [True, False, False]
    assert set(in_progress.by_number) == {1, 3}


def test_ended_transfer_leaves_its_place():
    in_progress = transfers.Transfers()
    first, second = SlowTransfer(10), SlowTransfer(10)
    in_progress.add(1, first, limit=1)
    in_progress.remove(1)
    in_progress.remove(1)
    in_progress.add(2, second, limit=1)
    assert not first.is_evicted
