"""What one node knows of the members and says of itself, without I/O (SWIM paper, sections 4.1 and 4.2)."""

import collections.abc
import dataclasses
import random

from irisstand import clocks, counters, event_log
from irisstand.membership import dissemination_buffer, member_list, updates

OnChange = collections.abc.Callable[[updates.Update], None]


@dataclasses.dataclass(frozen=True)
class Parameters:
    """The parameters of the protocol; docs/swim.md says why each differs from the paper's prototype.

    Attributes:
        period_seconds: The protocol period T'.
        ping_timeout_seconds: How long a direct ack may take before the indirect pings.
        ping_req_members: The size k of the group that is asked for indirect pings.
        updates_per_message: The most updates in one datagram.
        dissemination_factor: The factor lambda of the number of times that an update is sent.
    """

    period_seconds: float = 0.5
    ping_timeout_seconds: float = 0.15
    ping_req_members: int = 3
    updates_per_message: int = 6
    dissemination_factor: float = 3.0


class MembershipState:
    """The member list, the updates that wait for dissemination, and this node's own identity.

    Attributes:
        identity: This node and its current incarnation.
        incarnation_number: The paper's number, raised to refute a suspicion.
        listeners: Called with each update that changed the member list.
        last_received_at: When the last valid datagram of any member came, by the clock.
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
        """Take an identity that no member knows: at the start, and after a false Confirm."""
        incarnation_id = f"{self.randomness.getrandbits(64):016x}"
        self.identity = updates.Identity(self.identity.name, incarnation_id)
        self.incarnation_number = 0
        self.buffer.add(self.own_update())

    def own_update(self) -> updates.Update:
        """Return what this node says of itself."""
        state = updates.MemberState.CONFIRM if self.has_left else updates.MemberState.ALIVE
        return updates.Update(state, self.identity, self.incarnation_number, self.node_info, self.has_left)

    def transmission_limit(self) -> int:
        """Return how many times an update is sent, which is also the suspicion time-out in periods."""
        members = len(self.member_list.members) + 1
        return dissemination_buffer.transmission_limit(self.parameters.dissemination_factor, members)

    def suspicion_timeout_seconds(self) -> float:
        """Return how long a member may be suspected before it is confirmed as failed."""
        return self.transmission_limit() * self.parameters.period_seconds

    def updates_to_send(self) -> tuple[updates.Update, ...]:
        """Return the updates for the next datagram, and count them as sent once more."""
        limit = self.transmission_limit()
        return tuple(self.buffer.select(self.parameters.updates_per_message, limit))

    def apply_update(self, update: updates.Update) -> None:
        """Take one update, whoever sent it, and pass it on if it changed the member list."""
        if update.identity == self.identity:
            self.refute(update)
            return
        # Another incarnation of this node is an earlier one, and only this node may end it for all.
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
        """Answer an update about this very node that says that it is suspected or failed."""
        if self.has_left:
            return
        if update.state is updates.MemberState.CONFIRM:
            # Confirm is final for an incarnation, so a node falsely declared failed needs a new one.
            self.counters.add("swim_lives")
            self.start_new_incarnation()
            return
        is_current = update.incarnation_number == self.incarnation_number
        if update.state is updates.MemberState.SUSPECT and is_current:
            self.incarnation_number += 1
            self.buffer.add(self.own_update())

    def suspect(self, identity: updates.Identity) -> None:
        """Suspect a member that answered neither directly nor indirectly."""
        current = self.member_list.members.get(identity)
        if current is not None and current.state is updates.MemberState.ALIVE:
            self.apply_update(current._replace(state=updates.MemberState.SUSPECT))

    def postpone_suspicions(self, seconds: float) -> None:
        """Add a pause of this process to all suspicion time-outs: it has watched nobody in that time."""
        self.suspected_at = {identity: at + seconds for identity, at in self.suspected_at.items()}

    def confirm_expired_suspicions(self) -> None:
        """Declare the members failed whose suspicion has lasted for the time-out."""
        now = self.clock.now()
        # A node that hears nobody is the one cut off: it must not declare the whole fleet failed.
        if now - self.last_received_at > 2 * self.parameters.period_seconds:
            self.suspected_at = dict.fromkeys(self.suspected_at, now)
            return
        for identity, since in list(self.suspected_at.items()):
            if now - since >= self.suspicion_timeout_seconds():
                member = self.member_list.members[identity]
                self.apply_update(member._replace(state=updates.MemberState.CONFIRM))
