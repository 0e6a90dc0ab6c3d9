"""A request of sanic whose body is held whole."""

import typing

import sanic.request


class HeldRequest(sanic.request.Request[typing.Any, typing.Any]):
    """A request that frees what it has received of its body if the rest does not come."""

    async def receive_body(self) -> None:
        """Receive the body."""
        body = bytearray()
        try:
            # Sanic declares no types for its stream.
            async for piece in typing.cast(typing.Any, self.stream):
                body += piece
        except BaseException:
            # The frames of a request that is broken off may live on for a while.
            body.clear()
            raise
        self.body = bytes(body)
