"""The deterministic scheduler: pending events in order, and what may be done with the oldest."""

import collections.abc
import dataclasses
import enum
import typing

from irisstand.modelcheck import events


class Action(enum.StrEnum):
    """What may be done with the oldest pending event. All but the first are deviations."""

    DELIVER = "deliver"
    HOLD = "hold"
    DROP = "drop"
    CUT = "cut"
    GIVE_UP = "give up"
    DOUBLE = "double"
    OVERTAKE = "overtake"
    CRASH = "crash"
    WIPE = "wipe"


class Option(typing.NamedTuple):
    """An action that is possible now; `apply` carries it out."""

    action: Action
    apply: collections.abc.Callable[[], None]


class Scheduler:
    """Queue of pending events, with a second queue of those that come when the first is empty.

    Args:
        record: Called with node and label before an event is delivered to that node.
    """

    def __init__(self, record: collections.abc.Callable[[str, str], None]) -> None:
        self.record = record
        self.pending: list[events.Event] = []
        self.late: list[events.Event] = []

    def post(self, event: events.Event) -> None:
        """Add an event at the end of the queue."""
        self.pending.append(event)

    def is_empty(self) -> bool:
        """Return whether nothing is left to deliver, late events included."""
        return not self.pending and not self.late

    def holds(self, label: str) -> bool:
        """Return whether an event with this label waits in either queue."""
        return any(event.label == label for event in self.pending + self.late)

    def options(self) -> list[Option]:
        """Return what may be done with the oldest event; delivery comes first.

        Crashes are the cluster's, which adds them behind these.
        """
        head = self.pending[0]
        options = [Option(Action.DELIVER, lambda: self.deliver(0))]
        if not head.is_late:
            options.append(Option(Action.HOLD, self.hold))
        if head.lose is not None:
            options.append(Option(Action.DROP, self.drop))
            options.append(Option(Action.CUT, lambda: self.cut(head.source)))
        if head.kind is events.EventKind.REQUEST and not head.is_late:
            options.append(Option(Action.GIVE_UP, self.give_up))
            options.append(Option(Action.DOUBLE, self.double))
        same_target = [n for n, event in enumerate(self.pending) if event.target == head.target]
        if len(same_target) > 1:
            options.append(Option(Action.OVERTAKE, lambda: self.deliver(same_target[1])))
        return options

    def deliver(self, position: int) -> None:
        """Deliver the event at this position of the queue."""
        event = self.pending.pop(position)
        self.record(event.target, event.label)
        event.deliver()

    def hold(self) -> None:
        """Delay the oldest event until nothing else is left to come."""
        self.delay(self.pending.pop(0))

    def delay(self, event: events.Event) -> None:
        """Put a copy of an event into the late queue."""
        self.late.append(dataclasses.replace(event, is_late=True))

    def drop(self) -> None:
        """Lose the oldest event; its caller gives up."""
        lose_event(self.pending.pop(0))

    def cut(self, source: str) -> None:
        """Lose all messages that this node has on their way to others."""
        lost = [event for event in self.pending if event.source == source and event.lose is not None]
        self.pending = [event for event in self.pending if event not in lost]
        for event in lost:
            lose_event(event)

    def give_up(self) -> None:
        """Let the caller of the oldest request give up; the request is delivered late all the same."""
        event = self.pending.pop(0)
        lose_event(event)
        self.delay(event)

    def double(self) -> None:
        """Deliver the oldest event now and a second time late."""
        self.delay(self.pending[0])
        self.deliver(0)

    def discard_syncs(self, node: str) -> None:
        """Forget the unsynced writes of a node that crashed."""
        self.pending = [event for event in self.pending if not is_sync_of(event, node)]
        self.late = [event for event in self.late if not is_sync_of(event, node)]

    def release_late(self) -> None:
        """Move the oldest late event into the queue, if there is one."""
        if self.late:
            self.pending.append(self.late.pop(0))


def lose_event(event: events.Event) -> None:
    """Tell the caller of a lost message; an event that nobody waits for cannot be lost."""
    if event.lose is None:
        raise ValueError(f"{event.label} has no caller")
    event.lose()


def is_sync_of(event: events.Event, node: str) -> bool:
    """Return whether the event is a disk sync of this node."""
    return event.kind is events.EventKind.SYNC and event.target == node
