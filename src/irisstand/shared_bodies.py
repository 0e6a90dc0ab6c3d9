"""Counts large response bodies while they are sent: one that several connections send counts once."""

import asyncio
import typing

from irisstand import errors

# Smaller bodies do not count.
LARGE_BODY_BYTES = 64 * 1024
# A body that no connection has begun to send for this long after it was complete is not sent any more.
HANDOVER_SECONDS = 1.0


# A body is sent in pieces of this size.
PIECE_BYTES = LARGE_BODY_BYTES


class Holding(typing.Protocol):
    """Where the bodies are counted."""

    size: int

    def set(self, size: int) -> None:
        """Count a number of bytes."""
        ...


class RetainedBody:
    """A body with the number of connections that send it.

    Attributes:
        body: The body.
        senders: The number of connections, and one more while it is handed over.
        expiry: The timer that ends the handover; None unless the body is being handed over.
    """

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.senders = 0
        self.expiry: asyncio.TimerHandle | None = None


class SharedBodies:
    """The bodies that are being sent.

    Args:
        holding: Where the bodies are counted.
    """

    def __init__(self, holding: Holding) -> None:
        self.holding = holding
        # By the identity of the body, which is retained here and so keeps its identity.
        self.bodies: dict[int, RetainedBody] = {}

    def retain(self, body: bytes) -> None:
        """Count a body until it is released as often as it was retained."""
        retained = self.bodies.setdefault(id(body), RetainedBody(body))
        if retained.expiry is not None:
            # A timer that is not cancelled would keep what it refers to.
            retained.expiry.cancel()
            retained.expiry = None
            return
        retained.senders += 1
        if retained.senders == 1:
            self.holding.set(self.holding.size + len(body))

    def release(self, body: bytes) -> None:
        """Release a body that was retained."""
        retained = self.bodies[id(body)]
        retained.senders -= 1
        if not retained.senders:
            del self.bodies[id(body)]
            self.holding.set(self.holding.size - len(body))

    def hand_over(self, body: bytes) -> None:
        """Count a complete body for the connection that will send it, which retains it then."""
        if len(body) < LARGE_BODY_BYTES:
            return
        self.retain(body)
        retained = self.bodies[id(body)]
        loop = asyncio.get_running_loop()
        retained.expiry = loop.call_later(HANDOVER_SECONDS, self._end_handover, retained)

    def _end_handover(self, retained: RetainedBody) -> None:
        retained.expiry = None
        self.release(retained.body)


class SharedBodyReader:
    """Reads a body that is held whole in pieces (a `BodySource`); the body counts until the reader is closed.

    Args:
        bodies: Where the body is counted.
        body: The complete body.
    """

    def __init__(self, bodies: SharedBodies, body: bytes) -> None:
        bodies.retain(body)
        self.bodies = bodies
        # The only reference to the body while it is sent.
        self.body: bytes | None = body
        self.length: int | None = len(body)
        self.retained_bytes = len(body)
        self.position = 0

    async def read(self) -> bytes:
        """Return the next piece, or nothing at the end.

        Raises:
            errors.BodyClosedError: The reader is closed.
        """
        if self.body is None:
            raise errors.BodyClosedError("the reader of the body is closed")
        piece = self.body[self.position : self.position + PIECE_BYTES]
        self.position += len(piece)
        return piece

    def close(self) -> None:
        """Count the body no more."""
        if self.body is not None:
            self.bodies.release(self.body)
            self.body = None
