"""A deterministic scheduler, which keeps pending events in order and offers actions on the oldest one."""

import collections.abc
import dataclasses
import enum
import typing

from irisstand.modelcheck import events


class Action(enum.StrEnum):
    """An action on the oldest pending event; all actions but `DELIVER` are deviations from normal order."""

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
    """An action that is possible now, and the callback that carries it out."""

    action: Action
    apply: collections.abc.Callable[[], None]


class Scheduler:
    """Keeps a queue of pending events, and a second queue of delayed events.

    The cluster moves a delayed event to the queue of pending ones when no event is pending.

    Args:
        record_input: A callback that gets the target node's name and the event's label before each delivery.
    """

    def __init__(self, record_input: collections.abc.Callable[[str, str], None]) -> None:
        self.record_input = record_input
        self.pending: list[events.Event] = []
        self.delayed: list[events.Event] = []

    def post(self, event: events.Event) -> None:
        """Add an event at the end of the queue of pending events."""
        self.pending.append(event)

    def is_empty(self) -> bool:
        """Return whether there are neither pending nor delayed events."""
        return not self.pending and not self.delayed

    def has_event(self, label: str) -> bool:
        """Return whether an event with this label is pending or delayed."""
        return any(event.label == label for event in self.pending + self.delayed)

    def options(self) -> list[Option]:
        """Return the possible actions on the oldest pending event, with its delivery first.

        The cluster appends crashes and wipes, which the scheduler does not know.
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
        """Deliver the event at a position of the queue of pending events."""
        event = self.pending.pop(position)
        self.record_input(event.target, event.label)
        event.deliver()

    def delay_oldest(self) -> None:
        """Delay the oldest pending event, so that it is delivered after the other pending events."""
        self.add_delayed(self.pending.pop(0))

    def add_delayed(self, event: events.Event) -> None:
        """Add a copy of an event to the queue of delayed events."""
        self.delayed.append(dataclasses.replace(event, is_delayed=True))

    def drop_oldest(self) -> None:
        """Drop the oldest pending event, and let the call that it belongs to fail."""
        notify_caller(self.pending.pop(0))

    def drop_sent_by(self, source: str) -> None:
        """Drop all pending messages that a node has sent, and let their calls fail."""
        lost = [event for event in self.pending if event.source == source and event.on_lost is not None]
        self.pending = [event for event in self.pending if event not in lost]
        for event in lost:
            notify_caller(event)

    def time_out_oldest(self) -> None:
        """Let the oldest pending request time out at its caller, but still deliver the request later."""
        event = self.pending.pop(0)
        notify_caller(event)
        self.add_delayed(event)

    def duplicate_oldest(self) -> None:
        """Deliver the oldest pending event now, and a duplicate of it later."""
        self.add_delayed(self.pending[0])
        self.deliver(0)

    def discard_syncs(self, node: str) -> None:
        """Discard the disk syncs of a crashed node, so that its unsynced writes are lost."""
        self.pending = [event for event in self.pending if not is_sync_of(event, node)]
        self.delayed = [event for event in self.delayed if not is_sync_of(event, node)]

    def release_delayed(self) -> None:
        """Move the oldest delayed event, if there is one, to the queue of pending events."""
        if self.delayed:
            self.pending.append(self.delayed.pop(0))


def notify_caller(event: events.Event) -> None:
    """Tell the caller that a message of its call was lost.

    Raises:
        ValueError: The event is not a message, so that it cannot be lost.
    """
    if event.on_lost is None:
        raise ValueError(f"event {event.label} cannot be lost, as no caller waits for it")
    event.on_lost()


def is_sync_of(event: events.Event, node: str) -> bool:
    """Return whether an event is a disk sync of the given node."""
    return event.kind is events.EventKind.SYNC and event.target == node
