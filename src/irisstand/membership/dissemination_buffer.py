"""The buffer of recent updates that ride on pings, ping-reqs and acks (paper, section 4.1)."""

import math

from irisstand.membership import updates


def sending_limit(factor: float, members: int) -> int:
    """At most lambda times log n sendings of one update, as the prototype rounds it.

    >>> sending_limit(3, 20)
    12
    """
    return max(1, math.ceil(factor * math.ceil(math.log(members + 1))))


class Buffer:
    def __init__(self) -> None:
        self.counts: dict[updates.Identity, int] = {}
        self.recent: dict[updates.Identity, updates.Update] = {}

    def put(self, update: updates.Update) -> None:
        """A newer saying about a member takes the place of the older and starts from no sendings."""
        self.recent[update.identity] = update
        self.counts[update.identity] = 0

    def pick(self, cap: int, limit: int) -> list[updates.Update]:
        """At most `cap` updates, an equal draw from both lists, least-sent first in each."""
        failed, present = [], []
        for identity, update in self.recent.items():
            (failed if update.state is updates.State.CONFIRM else present).append(identity)
        failed.sort(key=self.counts.__getitem__)
        present.sort(key=self.counts.__getitem__)
        # A list that cannot fill its half leaves the rest to the other: an empty half helps nobody.
        half = cap // 2
        from_failed = min(len(failed), max(half, cap - len(present)))
        chosen = failed[:from_failed] + present[: cap - from_failed]
        picked = [self.recent[identity] for identity in chosen]
        for identity in chosen:
            self.counts[identity] += 1
            if self.counts[identity] >= limit:
                del self.counts[identity], self.recent[identity]
        return picked
