"""The buffer of recent updates that ride on pings, ping-reqs and acks (paper, section 4.1)."""

import math

from irisstand.membership import updates


def transmission_limit(factor: float, members: int) -> int:
    """At most lambda times log n sendings of one update, as the prototype rounds it.

    >>> transmission_limit(3, 20)
    12
    """
    return max(1, math.ceil(factor * math.ceil(math.log(members + 1))))


class DisseminationBuffer:
    def __init__(self) -> None:
        self.transmissions: dict[updates.Identity, int] = {}
        self.updates: dict[updates.Identity, updates.Update] = {}

    def add(self, update: updates.Update) -> None:
        """A newer saying about a member takes the place of the older and starts from no sendings."""
        self.updates[update.identity] = update
        self.transmissions[update.identity] = 0

    def select(self, cap: int, limit: int) -> list[updates.Update]:
        """At most `cap` updates, an equal draw from both lists, least-sent first in each."""
        failed, present = [], []
        for identity, update in self.updates.items():
            (failed if update.state is updates.MemberState.CONFIRM else present).append(identity)
        failed.sort(key=self.transmissions.__getitem__)
        present.sort(key=self.transmissions.__getitem__)
        # A list that cannot fill its half leaves the rest to the other: an empty half helps nobody.
        half = cap // 2
        from_failed = min(len(failed), max(half, cap - len(present)))
        chosen = failed[:from_failed] + present[: cap - from_failed]
        picked = [self.updates[identity] for identity in chosen]
        for identity in chosen:
            self.transmissions[identity] += 1
            if self.transmissions[identity] >= limit:
                del self.transmissions[identity], self.updates[identity]
        return picked
