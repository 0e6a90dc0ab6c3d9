"""Surplus responses on one connection to an origin of a soak run."""

import asyncio
import typing


class PostponedResponse(typing.NamedTuple):
    """A surplus response, and whether it bears no id, so that a node can only close the connection."""

    data: bytes
    spoils: bool


class StutteringConnection:
    """Sends surplus responses late: after a delay, or before the response to the next request.

    Attributes:
        is_spoiled: Whether a response without an id was sent.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self.postponed: list[PostponedResponse] = []
        self.is_spoiled = False

    def add(self, data: bytes, delay_seconds: float | None, *, spoils: bool) -> None:
        """Send a surplus response after a delay; without one, when the next request has arrived."""
        response = PostponedResponse(data, spoils)
        if delay_seconds is None:
            self.postponed.append(response)
        else:
            asyncio.get_running_loop().call_later(delay_seconds, self.send, response)

    def send_postponed(self) -> None:
        """Send what was to wait for the next request."""
        for response in self.postponed:
            self.send(response)
        self.postponed = []

    def send(self, response: PostponedResponse) -> None:
        """Send a response unless the connection is closing."""
        if not self.writer.is_closing():
            self.writer.write(response.data)
            self.is_spoiled = self.is_spoiled or response.spoils
