"""The member list, and the round-robin order in which members are pinged (SWIM paper, section 4.3)."""

import hashlib
import random

from irisstand.membership import updates

# How many failed incarnations are remembered, so that outdated Alive updates do not restore them.
FAILED_MEMBERS_LIMIT = 512
DIGEST_CHARACTERS = 16


class MemberList:
    """The members that a node knows, except for the node itself.

    Attributes:
        members: The newest update about each alive or suspected member, by identity.
        failed: The update about each incarnation that was declared failed, the oldest first, by identity.
        ping_order: The identities of the members in the order in which they are pinged.
        ping_position: The index in `ping_order` of the member to ping next.
    """

    def __init__(self, randomness: random.Random) -> None:
        self.randomness = randomness
        self.members: dict[updates.Identity, updates.Update] = {}
        self.failed: dict[updates.Identity, updates.Update] = {}
        self.ping_order: list[updates.Identity] = []
        self.ping_position = 0

    def get(self, identity: updates.Identity) -> updates.Update | None:
        """Return the newest update about an incarnation of a member, whether it has failed or not."""
        return self.members.get(identity) or self.failed.get(identity)

    def apply(self, update: updates.Update) -> bool:
        """Apply an update if it overrides what is known of the member. Return whether it was applied."""
        known = self.get(update.identity)
        if known is not None and not updates.overrides(update, known):
            return False
        if update.state is updates.MemberState.CONFIRM:
            self._move_to_failed(update)
        else:
            self._put_member(update)
        return True

    def _put_member(self, update: updates.Update) -> None:
        if update.identity not in self.members:
            position = self.randomness.randint(0, len(self.ping_order))
            self.ping_order.insert(position, update.identity)
        self.members[update.identity] = update

    def _move_to_failed(self, update: updates.Update) -> None:
        self.members.pop(update.identity, None)
        self.failed[update.identity] = update
        while len(self.failed) > FAILED_MEMBERS_LIMIT:
            del self.failed[next(iter(self.failed))]
        if update.identity in self.ping_order:
            position = self.ping_order.index(update.identity)
            del self.ping_order[position]
            self.ping_position -= position < self.ping_position

    def next_ping_target(self) -> updates.Update | None:
        """Return the next member to ping: each member once per pass, and each pass in a new random order."""
        if not self.ping_order:
            return None
        if self.ping_position >= len(self.ping_order):
            self.randomness.shuffle(self.ping_order)
            self.ping_position = 0
        identity = self.ping_order[self.ping_position]
        self.ping_position += 1
        return self.members[identity]

    def random_members(self, count: int, excluded: updates.Identity) -> list[updates.Update]:
        """Return `count` random members, or all if there are fewer, except for the excluded one."""
        others = [update for update in self.members.values() if update.identity != excluded]
        return self.randomness.sample(others, min(count, len(others)))

    def all_updates(self) -> list[updates.Update]:
        """Return the updates about all members, including those that were declared failed."""
        return [*self.members.values(), *self.failed.values()]

    def digest(self, own: updates.Update) -> str:
        """Return a digest of the list; equal digests mean equal lists of members not declared failed.

        Args:
            own: The update of the node that has this list about itself, which is included in the digest.
        """
        lines = sorted(_digest_line(update) for update in [own, *self.members.values()])
        return hashlib.sha256("\n".join(lines).encode()).hexdigest()[:DIGEST_CHARACTERS]


def _digest_line(update: updates.Update) -> str:
    return f"{update.identity.name}/{update.identity.incarnation_id}/{update.incarnation_number}"
