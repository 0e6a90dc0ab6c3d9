"""A ring of log events in memory, written out when something goes wrong and little else."""

import collections
import json
import sys
import typing

import eliot


class EventLog:
    """An eliot destination that keeps the newest events and writes them out when asked."""

    def __init__(self, size: int = 2000, target: typing.TextIO | None = None) -> None:
        self.events: collections.deque = collections.deque(maxlen=size)
        self.target = target or sys.stderr

    def __call__(self, message: dict) -> None:
        self.events.append(message)

    def attach(self) -> None:
        eliot.add_destinations(self)

    def write_out(self, reason: str) -> int:
        """Write and empty the ring, so that the next cause does not print this one again."""
        count = len(self.events)
        lines = [json.dumps({"ring": reason, "events": count})]
        while self.events:
            lines.append(json.dumps(self.events.popleft(), default=str))
        self.target.write("\n".join(lines) + "\n")
        self.target.flush()
        return count


def record(kind: str, **fields: typing.Any) -> None:
    """One event into the ring."""
    eliot.log_message(message_type=kind, **fields)
