"""What one accepted HTTP connection holds: unread bytes, a request's body, a response and its unsent part."""

import collections.abc
import typing

from irisstand import resource_budget

# A small piece of a body takes up this much beside its bytes until the body is complete.
PIECE_OVERHEAD_BYTES = 64


class Connection(typing.Protocol):
    """The connection whose bytes are counted."""

    recv_buffer: bytearray

    def is_evictable(self) -> bool:
        """Return whether the connection waits for its client."""
        ...

    def evict(self) -> None:
        """Close the connection at once."""
        ...

    def unsent_bytes(self) -> int:
        """Return the bytes that are written and not sent yet."""
        ...


class ConnectionBudget:
    """Counts the bytes that one connection holds.

    Args:
        connection: The connection.
        holding: What the connection holds of the budget of the process.
    """

    def __init__(self, connection: Connection, holding: resource_budget.Holding) -> None:
        self.connection = connection
        self.holding = holding
        self.body_bytes = 0
        # The only reference to the body of a large response while it is sent.
        self.response: bytes | None = None

    def update(self) -> None:
        """Count what the connection holds now."""
        self.holding.set(self._size())

    def receive(self, length: int) -> None:
        """Count bytes that have arrived."""
        self.holding.speed.add(length)
        self.update()

    def take_piece(self, length: int) -> bool:
        """Count a piece of a request's body; return whether the budget had room for it."""
        self.body_bytes += length + PIECE_OVERHEAD_BYTES
        return self.holding.try_set(self._size(), resource_budget.REQUESTS_FRACTION)

    def end_body(self) -> None:
        """Count no body any more."""
        self.body_bytes = 0
        self.update()

    def begin_response(self, body: bytes) -> None:
        """Count a response's body until it is sent; a body that others send too counts once."""
        self.end_response()
        self.response = body
        self.holding.retained = len(body)
        self.holding.budget.bodies.retain(body)

    def slices(self, length: int) -> collections.abc.Iterator[bytes]:
        """Yield the response in slices of a length in bytes."""
        start = 0
        while self.response is not None and start < len(self.response):
            yield self.response[start : start + length]
            start += length

    def sent(self, length: int) -> None:
        """Count progress in sending the response."""
        self.holding.speed.add(length)
        self.update()

    def end_response(self) -> None:
        """Count the response no more."""
        if self.response is not None:
            self.holding.budget.bodies.release(self.response)
            self.response = None
            self.holding.retained = 0

    def close(self) -> None:
        """Count nothing any more."""
        self.end_response()
        self.holding.close()

    def _size(self) -> int:
        unread = len(self.connection.recv_buffer)
        unsent = self.connection.unsent_bytes()
        return resource_budget.CONNECTION_BYTES + unread + self.body_bytes + unsent
