"""A request of sanic whose body is held whole."""

import typing

import sanic.request


class HeldRequest(sanic.request.Request[typing.Any, typing.Any]):
    """A request that frees what it has received of its body if the rest does not come."""

    async def receive_body(self) -> None:
        """Receive the body."""
        body = bytearray()
        # Sanic declares no types for its stream.
        stream = typing.cast(typing.Any, self.stream)
        try:
            while stream.request_body:
                # No variable keeps the piece, as a frame that waits for the next one would hold it uncounted.
                body += await stream.read() or b""
        except BaseException:
            # The frames of a request that is broken off may live on for a while.
            body.clear()
            raise
        self.body = bytes(body)
