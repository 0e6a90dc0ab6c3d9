"""The list of members and the round-robin order in which they are probed (paper, section 4.3)."""

import hashlib
import random

from irisstand.membership import updates

FAILED_KEPT = 512


class Roster:
    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.members: dict[updates.Identity, updates.Update] = {}
        self.failed: dict[updates.Identity, updates.Update] = {}
        self.order: list[updates.Identity] = []
        self.position = 0

    def get(self, identity: updates.Identity) -> updates.Update | None:
        return self.members.get(identity) or self.failed.get(identity)

    def apply(self, update: updates.Update) -> bool:
        """Take an update if it overrides what is known; True if it did."""
        known = self.get(update.identity)
        if known is not None and not updates.overrides(update, known):
            return False
        if update.state is updates.State.CONFIRM:
            self.members.pop(update.identity, None)
            self.failed[update.identity] = update
            # Oldest first out: a failed life is remembered to keep old Alive messages from reviving it.
            while len(self.failed) > FAILED_KEPT:
                del self.failed[next(iter(self.failed))]
            if update.identity in self.order:
                place = self.order.index(update.identity)
                del self.order[place]
                self.position -= place < self.position
        else:
            if update.identity not in self.members:
                self.order.insert(self.randomness.randint(0, len(self.order)), update.identity)
            self.members[update.identity] = update
        return True

    def next_target(self) -> updates.Update | None:
        """Every member once in each traversal, then a new random order."""
        if not self.order:
            return None
        if self.position >= len(self.order):
            self.randomness.shuffle(self.order)
            self.position = 0
        identity = self.order[self.position]
        self.position += 1
        return self.members[identity]

    def helpers(self, count: int, target: updates.Identity) -> list[updates.Update]:
        others = [update for update in self.members.values() if update.identity != target]
        return self.randomness.sample(others, min(count, len(others)))

    def everything(self) -> list[updates.Update]:
        return [*self.members.values(), *self.failed.values()]

    def digest(self, own: updates.Update) -> str:
        """Equal digests mean equal lists of members not declared failed, the owner counted in."""
        present = [own, *self.members.values()]
        lines = sorted(f"{u.identity.name}/{u.identity.life}/{u.incarnation}" for u in present)
        return hashlib.sha256("\n".join(lines).encode()).hexdigest()[:16]
