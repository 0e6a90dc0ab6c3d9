"""Reads the body of a client's request."""

import asyncio
import typing

import sanic.exceptions

# The timeout for an idle client is at most this much longer. It is not extended at each piece: a great many
# may have arrived at once, and each would leave a timer behind.
TIMEOUT_RESOLUTION_SECONDS = 0.25


async def read(stream: typing.Any, limit_bytes: int, idle_seconds: float) -> bytes:
    """Read the complete body of a request.

    Args:
        stream: Sanic's stream of the request, for which sanic declares no types.
        limit_bytes: The largest body.
        idle_seconds: How long the client may send nothing.

    Raises:
        sanic.exceptions.RequestTimeout: The client sent nothing for as long as a connection may be idle.
        sanic.exceptions.PayloadTooLarge: The body is larger than the limit.
        sanic.exceptions.ServiceUnavailable: This process has no memory left for the body.
    """
    if not stream.request_body:
        return b""
    allowed_seconds = idle_seconds + TIMEOUT_RESOLUTION_SECONDS
    body = bytearray()
    loop = asyncio.get_running_loop()
    extended_at = loop.time()
    try:
        async with asyncio.timeout(allowed_seconds) as idle_timeout:
            while stream.request_body:
                body += await stream.read() or b""
                if len(body) > limit_bytes:
                    raise sanic.exceptions.PayloadTooLarge("the request body is larger than the limit")
                if loop.time() - extended_at > TIMEOUT_RESOLUTION_SECONDS:
                    extended_at = loop.time()
                    idle_timeout.reschedule(extended_at + allowed_seconds)
    except TimeoutError:
        # Otherwise sanic would wait for the rest of the body again before it closes the connection.
        stream.request_body = None
        raise sanic.exceptions.RequestTimeout(
            "the client stopped sending before the request body was complete"
        ) from None
    return bytes(body)
