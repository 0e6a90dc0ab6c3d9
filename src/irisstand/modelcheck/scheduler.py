"""The deterministic scheduler: pending events in order, and what may be done with the oldest."""

import collections.abc
import dataclasses
import enum
import typing

from irisstand.modelcheck import events


class Action(enum.StrEnum):
    """What may be done with the oldest pending event. All but the first are deviations."""

    DELIVER = "deliver"
    DELAY = "hold"
    DROP = "drop"
    DROP_ALL_SENT = "cut"
    TIME_OUT = "give up"
    DUPLICATE = "double"
    REORDER = "overtake"
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

    def __init__(self, record_input: collections.abc.Callable[[str, str], None]) -> None:
        self.record_input = record_input
        self.pending: list[events.Event] = []
        self.delayed: list[events.Event] = []

    def post(self, event: events.Event) -> None:
        """Add an event at the end of the queue."""
        self.pending.append(event)

    def is_empty(self) -> bool:
        """Return whether nothing is left to deliver, late events included."""
        return not self.pending and not self.delayed

    def has_event(self, label: str) -> bool:
        """Return whether an event with this label waits in either queue."""
        return any(event.label == label for event in self.pending + self.delayed)

    def options(self) -> list[Option]:
        """Return what may be done with the oldest event; delivery comes first.

        Crashes are the cluster's, which adds them behind these.
        """
        oldest_event = self.pending[0]
        options = [Option(Action.DELIVER, lambda: self.deliver(0))]
        if not oldest_event.is_delayed:
            options.append(Option(Action.DELAY, self.delay_oldest))
        if oldest_event.on_lost is not None:
            options.append(Option(Action.DROP, self.drop_oldest))
            options.append(Option(Action.DROP_ALL_SENT, lambda: self.drop_sent_by(oldest_event.source)))
        if oldest_event.kind is events.EventKind.REQUEST and not oldest_event.is_delayed:
            options.append(Option(Action.TIME_OUT, self.time_out_oldest))
            options.append(Option(Action.DUPLICATE, self.duplicate_oldest))
        same_target = [n for n, event in enumerate(self.pending) if event.target == oldest_event.target]
        if len(same_target) > 1:
            options.append(Option(Action.REORDER, lambda: self.deliver(same_target[1])))
        return options

    def deliver(self, position: int) -> None:
        """Deliver the event at this position of the queue."""
        event = self.pending.pop(position)
        self.record_input(event.target, event.label)
        event.deliver()

    def delay_oldest(self) -> None:
        """Delay the oldest event until nothing else is left to come."""
        self.add_delayed(self.pending.pop(0))

    def add_delayed(self, event: events.Event) -> None:
        """Put a copy of an event into the late queue."""
        self.delayed.append(dataclasses.replace(event, is_delayed=True))

    def drop_oldest(self) -> None:
        """Lose the oldest event; its caller gives up."""
        notify_caller(self.pending.pop(0))

    def drop_sent_by(self, source: str) -> None:
        """Lose all messages that this node has on their way to others."""
        lost = [event for event in self.pending if event.source == source and event.on_lost is not None]
        self.pending = [event for event in self.pending if event not in lost]
        for event in lost:
            notify_caller(event)

    def time_out_oldest(self) -> None:
        """Let the caller of the oldest request give up; the request is delivered late all the same."""
        event = self.pending.pop(0)
        notify_caller(event)
        self.add_delayed(event)

    def duplicate_oldest(self) -> None:
        """Deliver the oldest event now and a second time late."""
        self.add_delayed(self.pending[0])
        self.deliver(0)

    def discard_syncs(self, node: str) -> None:
        """Forget the unsynced writes of a node that crashed."""
        self.pending = [event for event in self.pending if not is_sync_of(event, node)]
        self.delayed = [event for event in self.delayed if not is_sync_of(event, node)]

    def release_delayed(self) -> None:
        """Move the oldest late event into the queue, if there is one."""
        if self.delayed:
            self.pending.append(self.delayed.pop(0))


def notify_caller(event: events.Event) -> None:
    """Tell the caller of a lost message; an event that nobody waits for cannot be lost."""
    if event.on_lost is None:
        raise ValueError(f"{event.label} has no caller")
    event.on_lost()


def is_sync_of(event: events.Event, node: str) -> bool:
    """Return whether the event is a disk sync of this node."""
    return event.kind is events.EventKind.SYNC and event.target == node
