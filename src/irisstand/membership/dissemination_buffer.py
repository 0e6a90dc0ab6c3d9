"""The buffer of recent updates that pings, ping-reqs and acks piggyback (SWIM paper, section 4.1)."""

import math
import typing

from irisstand.membership import updates


def transmission_limit(factor: float, members: int) -> int:
    """Return how many times one update is sent: lambda times log n, rounded as in the paper's prototype.

    >>> transmission_limit(3, 20)
    12
    """
    return max(1, math.ceil(factor * math.ceil(math.log(members + 1))))


class WaitingUpdates(typing.NamedTuple):
    """The members whose updates wait to be sent, least sent first: failed members, and all others."""

    failed: list[updates.Identity]
    present: list[updates.Identity]


class DisseminationBuffer:
    """Holds the newest update about each member, and how many times that update has been sent.

    Attributes:
        transmissions: How many times the update about a member has been sent, by its identity.
        updates: The newest update about each member, by its identity.
    """

    def __init__(self) -> None:
        self.transmissions: dict[updates.Identity, int] = {}
        self.updates: dict[updates.Identity, updates.Update] = {}

    def add(self, update: updates.Update) -> None:
        """Add an update that has not been sent yet; it replaces an older update about the same member."""
        self.updates[update.identity] = update
        self.transmissions[update.identity] = 0

    def select(self, count: int, limit: int) -> list[updates.Update]:
        """Return the updates to piggyback on one message, and count each of them as sent once more.

        Half of the updates are about failed members and half about others, the least-sent first in each half.
        If one half cannot be filled, the other half uses the remaining room.

        Args:
            count: The highest number of updates to return.
            limit: How many times an update is sent before it is removed from the buffer.
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
