"""The event log: the newest events in memory, written out after a crash, at shutdown and on request."""

import collections
import collections.abc
import json
import sys
import typing

import eliot

Event = dict[str, typing.Any]
EVENTS_LIMIT = 2000


class EventLog:
    """An eliot destination that keeps the newest events in memory and writes them out on request.

    Attributes:
        events: The newest events, oldest first.
        target: The text stream that `write_out` writes to; standard error by default.
        printed_kinds: The kinds of the events that are also written at once.
    """

    def __init__(
        self,
        size: int = EVENTS_LIMIT,
        target: typing.TextIO | None = None,
        printed_kinds: collections.abc.Collection[str] = (),
    ) -> None:
        self.events: collections.deque[Event] = collections.deque(maxlen=size)
        self.target = target or sys.stderr
        self.printed_kinds = printed_kinds

    def __call__(self, message: Event) -> None:
        """Keep one event; drop the oldest event if the log is full."""
        self.events.append(message)
        if message.get("message_type") in self.printed_kinds:
            self.target.write(json.dumps(message, default=str) + "\n")
            self.target.flush()

    def attach(self) -> None:
        """Register this log with eliot, so that it receives all further events of this process."""
        eliot.add_destinations(self)

    def write_out(self, reason: str) -> int:
        """Write the events as JSON lines and clear the log, so that the next call does not repeat them.

        Args:
            reason: Why the events are written; it is part of the first line.

        Returns:
            The number of events written.
        """
        count = len(self.events)
        lines = [json.dumps({"ring": reason, "events": count})]
        while self.events:
            lines.append(json.dumps(self.events.popleft(), default=str))
        self.target.write("\n".join(lines) + "\n")
        self.target.flush()
        return count


def record(kind: str, **fields: typing.Any) -> None:
    """Record one event in the event log.

    Args:
        kind: The kind of the event, one of those listed in docs/on-call.md.
        fields: The fields of the event; the name of a numeric field includes its unit.
    """
    eliot.log_message(message_type=kind, **fields)
