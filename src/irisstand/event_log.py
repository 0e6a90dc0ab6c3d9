"""The event log: the newest events in memory, written out only when something goes wrong."""

import collections
import json
import sys
import typing

import eliot

Event = dict[str, typing.Any]
EVENTS_LIMIT = 2000


class EventLog:
    """An eliot destination that keeps the newest events and writes them out when asked."""

    def __init__(self, size: int = EVENTS_LIMIT, target: typing.TextIO | None = None) -> None:
        self.events: collections.deque[Event] = collections.deque(maxlen=size)
        self.target = target or sys.stderr

    def __call__(self, message: Event) -> None:
        """Keep one event; the oldest is dropped if the log is full."""
        self.events.append(message)

    def attach(self) -> None:
        """Receive the events of this process from now on."""
        eliot.add_destinations(self)

    def write_out(self, reason: str) -> int:
        """Write the events as JSON lines and empty the log, so that the next reason does not repeat them.

        Args:
            reason: Why they are written; it stands in the first line.

        Returns:
            The number of events.
        """
        count = len(self.events)
        lines = [json.dumps({"ring": reason, "events": count})]
        while self.events:
            lines.append(json.dumps(self.events.popleft(), default=str))
        self.target.write("\n".join(lines) + "\n")
        self.target.flush()
        return count


def record(kind: str, **fields: typing.Any) -> None:
    """Record one event.

    Args:
        kind: The name of the kind of event, as docs/on-call.md lists them.
        fields: What is known about it; a figure's name has its unit.
    """
    eliot.log_message(message_type=kind, **fields)
