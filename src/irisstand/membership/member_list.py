"""The list of members and the round-robin order in which they are probed (paper, section 4.3)."""

import hashlib
import random

from irisstand.membership import updates

FAILED_MEMBERS_LIMIT = 512


class MemberList:
    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.members: dict[updates.Identity, updates.Update] = {}
        self.failed: dict[updates.Identity, updates.Update] = {}
        self.probe_order: list[updates.Identity] = []
        self.probe_position = 0

    def get(self, identity: updates.Identity) -> updates.Update | None:
        return self.members.get(identity) or self.failed.get(identity)

    def apply(self, update: updates.Update) -> bool:
        """Take an update if it overrides what is known; True if it did."""
        known = self.get(update.identity)
        if known is not None and not updates.overrides(update, known):
            return False
        if update.state is updates.MemberState.CONFIRM:
            self.members.pop(update.identity, None)
            self.failed[update.identity] = update
            # Oldest first out: a failed life is remembered to keep old Alive messages from reviving it.
            while len(self.failed) > FAILED_MEMBERS_LIMIT:
                del self.failed[next(iter(self.failed))]
            if update.identity in self.probe_order:
                place = self.probe_order.index(update.identity)
                del self.probe_order[place]
                self.probe_position -= place < self.probe_position
        else:
            if update.identity not in self.members:
                self.probe_order.insert(self.randomness.randint(0, len(self.probe_order)), update.identity)
            self.members[update.identity] = update
        return True

    def next_ping_target(self) -> updates.Update | None:
        """Every member once in each traversal, then a new random order."""
        if not self.probe_order:
            return None
        if self.probe_position >= len(self.probe_order):
            self.randomness.shuffle(self.probe_order)
            self.probe_position = 0
        identity = self.probe_order[self.probe_position]
        self.probe_position += 1
        return self.members[identity]

    def random_members(self, count: int, target: updates.Identity) -> list[updates.Update]:
        others = [update for update in self.members.values() if update.identity != target]
        return self.randomness.sample(others, min(count, len(others)))

    def all_updates(self) -> list[updates.Update]:
        return [*self.members.values(), *self.failed.values()]

    def digest(self, own: updates.Update) -> str:
        """Equal digests mean equal lists of members not declared failed, the owner counted in."""
        present = [own, *self.members.values()]
        lines = sorted(
            f"{u.identity.name}/{u.identity.incarnation_id}/{u.incarnation_number}" for u in present
        )
        return hashlib.sha256("\n".join(lines).encode()).hexdigest()[:16]
