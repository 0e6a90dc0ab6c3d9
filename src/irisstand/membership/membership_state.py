"""One node's view of the members and of itself, without I/O (SWIM paper, sections 4.1 and 4.2)."""

import collections.abc
import dataclasses
import random

from irisstand import clocks, counters, event_log
from irisstand.membership import dissemination_buffer, member_list, updates

OnChange = collections.abc.Callable[[updates.Update], None]


@dataclasses.dataclass(frozen=True)
class Parameters:
    """The parameters of the protocol; docs/swim.md explains why each differs from the paper's prototype.

    Attributes:
        period_seconds: The length of the protocol period, T' in the paper.
        ping_timeout_seconds: How long a node waits for a direct ack before it pings indirectly.
        ping_req_members: The number k of members that are asked to ping indirectly.
        updates_per_message: The highest number of updates in one datagram.
        dissemination_factor: The factor lambda in the number of times that an update is sent.
    """

    period_seconds: float = 0.5
    ping_timeout_seconds: float = 0.15
    ping_req_members: int = 3
    updates_per_message: int = 6
    dissemination_factor: float = 3.0


class MembershipState:
    """The member list, the updates that wait for dissemination, and the node's own identity.

    Attributes:
        identity: The name and the current incarnation id of this node.
        incarnation_number: The incarnation number of the paper, which is raised to refute a suspicion.
        suspected_at: When each suspected member became suspected, in seconds of the clock, by identity.
        listeners: Callbacks that are called with each update that changed the member list.
        last_received_at: When the last valid datagram from any member arrived, in seconds of the clock.
    """

    def __init__(
        self,
        name: str,
        node_info: updates.NodeInfo,
        clock: clocks.Clock,
        randomness: random.Random,
        counters: counters.Counters,
    ) -> None:
        self.clock = clock
        self.randomness = randomness
        self.counters = counters
        self.parameters = Parameters()
        self.node_info = node_info
        self.identity = updates.Identity(name, "")
        self.incarnation_number = 0
        self.has_left = False
        self.member_list = member_list.MemberList(randomness)
        self.buffer = dissemination_buffer.DisseminationBuffer()
        self.suspected_at: dict[updates.Identity, float] = {}
        self.listeners: list[OnChange] = []
        self.last_received_at: float = clock.now()
        self.start_new_incarnation()

    def start_new_incarnation(self) -> None:
        """Choose an identity that no member knows, at the start and after a false Confirm."""
        incarnation_id = f"{self.randomness.getrandbits(64):016x}"
        self.identity = updates.Identity(self.identity.name, incarnation_id)
        self.incarnation_number = 0
        self.buffer.add(self.own_update())

    def own_update(self) -> updates.Update:
        """Return the update of this node about itself."""
        state = updates.MemberState.CONFIRM if self.has_left else updates.MemberState.ALIVE
        return updates.Update(state, self.identity, self.incarnation_number, self.node_info, self.has_left)

    def transmission_limit(self) -> int:
        """Return how many times an update is sent, which is also the suspicion timeout in periods."""
        members = len(self.member_list.members) + 1
        return dissemination_buffer.transmission_limit(self.parameters.dissemination_factor, members)

    def suspicion_timeout_seconds(self) -> float:
        """Return how long a member is suspected before it is confirmed as failed, in seconds."""
        return self.transmission_limit() * self.parameters.period_seconds

    def updates_to_send(self) -> tuple[updates.Update, ...]:
        """Return the updates to piggyback on the next datagram, and count each of them as sent once more."""
        limit = self.transmission_limit()
        return tuple(self.buffer.select(self.parameters.updates_per_message, limit))

    def apply_update(self, update: updates.Update) -> None:
        """Apply an update from any sender, and disseminate it if it changed the member list."""
        if update.identity == self.identity:
            self.refute(update)
            return
        # Another incarnation of this node is an earlier one, which only this node may confirm as ended.
        if update.identity.name == self.identity.name and update.state is not updates.MemberState.CONFIRM:
            self.apply_update(update._replace(state=updates.MemberState.CONFIRM))
            return
        if not self.member_list.apply(update):
            return
        self.buffer.add(update)
        if update.state is updates.MemberState.SUSPECT:
            self.suspected_at[update.identity] = self.clock.now()
        else:
            self.suspected_at.pop(update.identity, None)
        self._report(update)

    def _report(self, update: updates.Update) -> None:
        name, incarnation_id = update.identity
        self.counters.add("swim_updates", state=update.state.name.lower())
        event_log.record("swim", state=update.state.name, name=name, life=incarnation_id)
        for listener in self.listeners:
            listener(update)

    def refute(self, update: updates.Update) -> None:
        """Refute an update which claims that this node itself is suspected or has failed."""
        if self.has_left:
            return
        if update.state is updates.MemberState.CONFIRM:
            # Confirm is final for an incarnation, so a node that is falsely confirmed needs a new one.
            self.counters.add("swim_lives")
            self.start_new_incarnation()
            return
        is_current = update.incarnation_number == self.incarnation_number
        if update.state is updates.MemberState.SUSPECT and is_current:
            self.incarnation_number += 1
            self.buffer.add(self.own_update())

    def suspect(self, identity: updates.Identity) -> None:
        """Mark a member as suspected after it acknowledged neither the direct nor the indirect pings."""
        current = self.member_list.members.get(identity)
        if current is not None and current.state is updates.MemberState.ALIVE:
            self.apply_update(current._replace(state=updates.MemberState.SUSPECT))

    def postpone_suspicions(self, seconds: float) -> None:
        """Extend all suspicion timeouts by a pause of this process, which received no acks meanwhile.

        Args:
            seconds: How long the process was paused.
        """
        self.suspected_at = {identity: at + seconds for identity, at in self.suspected_at.items()}

    def confirm_expired_suspicions(self) -> None:
        """Declare those members failed that have been suspected for the suspicion timeout."""
        now = self.clock.now()
        # A node that receives no datagrams is itself partitioned, and must not declare all others failed.
        if now - self.last_received_at > 2 * self.parameters.period_seconds:
            self.suspected_at = dict.fromkeys(self.suspected_at, now)
            return
        for identity, since in list(self.suspected_at.items()):
            if now - since >= self.suspicion_timeout_seconds():
                member = self.member_list.members[identity]
                self.apply_update(member._replace(state=updates.MemberState.CONFIRM))
