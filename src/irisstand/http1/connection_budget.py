"""What one accepted HTTP connection holds: unread bytes, a request's body, a response and its unsent part."""

import typing

from irisstand import resource_budget
from irisstand.http1 import body_source

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
        # Whether the body is passed on while it arrives, so that no more of it is held.
        self.is_passing_on = False
        self.response: body_source.BodySource | None = None

    def update(self) -> None:
        """Count what the connection holds now."""
        self.holding.set(self._size())

    def receive(self, length: int) -> None:
        """Count bytes that have arrived."""
        self.holding.speed.add(length)
        self.update()

    def take_piece(self, length: int) -> bool:
        """Count a piece of a request's body; return whether the budget had room for it."""
        if self.is_passing_on:
            return True
        self.body_bytes += length + PIECE_OVERHEAD_BYTES
        return self.holding.try_set(self._size(), resource_budget.REQUESTS_FRACTION)

    def pass_on_body(self) -> None:
        """Count no further pieces of the body: each one is gone before the next is read."""
        self.is_passing_on = True

    def end_body(self) -> None:
        """Count no body any more."""
        self.is_passing_on = False
        self.body_bytes = 0
        self.update()

    def begin_response(self, body: body_source.BodySource) -> None:
        """Own a response's body until it is sent, or the connection has ended."""
        self.end_response()
        self.response = body
        self.holding.retained = body.retained_bytes

    def sent(self, length: int) -> None:
        """Count progress in sending the response."""
        self.holding.speed.add(length)
        self.update()

    def end_response(self) -> None:
        """Close the response's body."""
        if self.response is not None:
            self.response.close()
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
