"""Bodies of messages that are passed on in pieces, as their senders read them."""

import typing

# The largest piece that is passed on at once.
PIECE_BYTES = 64 * 1024
# A larger body is passed on in pieces while it arrives; up to this size it is held whole, so that a request
# can be sent again and an incomplete response is never begun.
HELD_BODY_BYTES = 1024 * 1024


class BodySource(typing.Protocol):
    """A body that is read piece by piece. Whoever passes it on closes it, even if not all of it was read.

    Attributes:
        length: The length of the body in bytes; None if it is not known before the end.
        retained_bytes: The memory in bytes that is free once the body is closed.
    """

    length: int | None
    retained_bytes: int

    async def read(self) -> bytes:
        """Return the next piece; nothing only once all of a complete body was returned.

        Raises:
            errors.IrisError: The rest of the body will not come, or was given up.
        """
        ...

    def close(self) -> None:
        """Give up what has not been read; does nothing if the body is closed already."""
        ...
