"""Events that the scheduler orders: messages, disk syncs, starts of client steps, and restarts of nodes."""

import collections.abc
import dataclasses
import enum
import hashlib

DIGEST_BYTES = 6


class EventKind(enum.StrEnum):
    """The kinds of events that the scheduler delivers."""

    REQUEST = "ask"
    REPLY = "reply"
    SYNC = "sync"
    START = "start"
    RESTART = "restart"


@dataclasses.dataclass
class Event:
    """An event that the scheduler may deliver, delay or lose.

    Attributes:
        kind: The kind of the event.
        target: The name of the node that the event is delivered to.
        source: The name of the node that caused the event, or "client".
        label: A text that identifies the event in traces and node histories; it is equal in equal runs.
        deliver: A callback that carries out the event.
        on_lost: A callback that tells the caller of a lost message that no reply arrived; None if the event
            cannot be lost.
        is_delayed: Whether the event was delayed, or is the duplicate of another event. Such an event is not
            delayed again, as a run might otherwise never end.
    """

    kind: EventKind
    target: str
    source: str
    label: str
    deliver: collections.abc.Callable[[], None]
    on_lost: collections.abc.Callable[[], None] | None = None
    is_delayed: bool = False


def digest(payload: bytes) -> str:
    """Return a short hexadecimal digest of a payload, for use in event labels."""
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES).hexdigest()
