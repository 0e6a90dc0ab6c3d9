"""Events among which the scheduler chooses: messages, disk syncs and starts, pending until delivered."""

import collections.abc
import dataclasses
import enum
import hashlib

DIGEST_BYTES = 6


class EventKind(enum.StrEnum):
    """What an event delivers."""

    REQUEST = "ask"
    REPLY = "reply"
    SYNC = "sync"
    START = "start"
    RESTART = "restart"


@dataclasses.dataclass
class Event:
    """One pending event.

    Attributes:
        kind: What is delivered.
        target: The node that the event is delivered to.
        source: The node that sent it, or "client".
        label: Stable text that identifies the event in traces and node histories.
        deliver: Carries the event out.
        lose: Tells the caller that no reply came; None where nobody waits for one.
        is_late: Whether it was held back or duplicated once. Such an event is not delayed again, or no run
            would end.
    """

    kind: EventKind
    target: str
    source: str
    label: str
    deliver: collections.abc.Callable[[], None]
    on_lost: collections.abc.Callable[[], None] | None = None
    is_delayed: bool = False


def digest(payload: bytes) -> str:
    """Return a short digest of a payload for labels."""
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES).hexdigest()
