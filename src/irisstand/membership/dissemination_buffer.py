"""The buffer of recent updates that pings, ping-reqs and acks carry (SWIM paper, section 4.1)."""

import math
import typing

from irisstand.membership import updates


def transmission_limit(factor: float, members: int) -> int:
    """Return how many times one update is sent: lambda times log n, as the paper's prototype rounds it.

    >>> transmission_limit(3, 20)
    12
    """
    return max(1, math.ceil(factor * math.ceil(math.log(members + 1))))


class WaitingUpdates(typing.NamedTuple):
    """Whose updates wait to be sent, the least sent first: of failed members, and of all others."""

    failed: list[updates.Identity]
    present: list[updates.Identity]


class DisseminationBuffer:
    """The newest update about each member, with the number of times that it was sent."""

    def __init__(self) -> None:
        self.transmissions: dict[updates.Identity, int] = {}
        self.updates: dict[updates.Identity, updates.Update] = {}

    def add(self, update: updates.Update) -> None:
        """Add an update; it takes the place of an older one about the member, and has not been sent yet."""
        self.updates[update.identity] = update
        self.transmissions[update.identity] = 0

    def select(self, count: int, limit: int) -> list[updates.Update]:
        """Return the updates for one message, and count them as sent once more.

        Half of them are about failed members and half about others, the least-sent first in each half. A half
        that cannot be filled leaves the rest to the other.

        Args:
            count: The most updates to return.
            limit: How many times an update is sent before it is removed.
        """
        failed, present = self._least_sent_first()
        from_failed = min(len(failed), max(count // 2, count - len(present)))
        chosen = failed[:from_failed] + present[: count - from_failed]
        selected = [self.updates[identity] for identity in chosen]
        for identity in chosen:
            self._count_transmission(identity, limit)
        return selected

    def _least_sent_first(self) -> "WaitingUpdates":
        failed: list[updates.Identity] = []
        present: list[updates.Identity] = []
        for identity, update in self.updates.items():
            (failed if update.state is updates.MemberState.CONFIRM else present).append(identity)
        failed.sort(key=self.transmissions.__getitem__)
        present.sort(key=self.transmissions.__getitem__)
        return WaitingUpdates(failed, present)

    def _count_transmission(self, identity: updates.Identity, limit: int) -> None:
        self.transmissions[identity] += 1
        if self.transmissions[identity] >= limit:
            del self.transmissions[identity]
            del self.updates[identity]
