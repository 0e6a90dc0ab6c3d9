"""The bodies of large cached objects: kept in pieces, and freed when no owner needs them any more."""

import collections.abc

from irisstand import errors, resource_budget
from irisstand.http1 import body_source


class StoredBody:
    """The complete body of a large object, for a cache and for clients that read it.

    It is freed once it is in no cache and nobody reads it, whatever else refers to it.

    Args:
        pieces: The body.
        budget: The budget in which the body counts while it is read; None if it does not count.
    """

    def __init__(self, pieces: list[bytes], budget: resource_budget.ResourceBudget | None) -> None:
        self.pieces = pieces
        self.length = sum(map(len, pieces))
        self.budget = budget
        self.is_cached = True
        self.readers = 0
        self.holding: resource_budget.Holding | None = None

    @property
    def is_freed(self) -> bool:
        """Whether the body can't be read any more."""
        return not self.pieces

    def open_reader(self) -> "StoredBodyReader":
        """Return a reader, which keeps the body until it is closed.

        Raises:
            errors.BodyClosedError: The body is freed.
        """
        if self.is_freed:
            raise errors.BodyClosedError("the body of the object was freed")
        self.readers += 1
        if self.readers == 1 and self.budget is not None:
            self.holding = self.budget.open()
            self.holding.set(self.length)
        return StoredBodyReader(self)

    def close_reader(self) -> None:
        """Note that one reader less needs the body."""
        self.readers -= 1
        if not self.readers and self.holding is not None:
            self.holding.close()
        self._free_unused()

    def drop(self) -> None:
        """Note that the body is in the cache no more."""
        self.is_cached = False
        self._free_unused()

    def _free_unused(self) -> None:
        if not self.readers and not self.is_cached:
            self.pieces = []


class StoredBodyReader:
    """Reads a stored body (a `BodySource`).

    Args:
        stored: The body.
    """

    def __init__(self, stored: StoredBody) -> None:
        self.stored: StoredBody | None = stored
        self.length: int | None = stored.length
        self.retained_bytes = stored.length
        self.position = 0

    async def read(self) -> bytes:
        """Return the next piece, or nothing at the end.

        Raises:
            errors.BodyClosedError: The reader is closed.
        """
        if self.stored is None:
            raise errors.BodyClosedError("the reader of the body is closed")
        if self.position >= len(self.stored.pieces):
            return b""
        self.position += 1
        return self.stored.pieces[self.position - 1]

    def close(self) -> None:
        """Need the body no more."""
        if self.stored is not None:
            self.stored.close_reader()
            self.stored = None


class CacheFill:
    """The body of an object that is being passed on to a client, and that a cache takes once it is complete.

    Args:
        length: The length of the body in bytes.
        on_growth: Called with the number of bytes that are held more, or less if it is negative.
        on_complete: Called with the complete body.
    """

    def __init__(
        self,
        length: int,
        on_growth: collections.abc.Callable[["CacheFill", int], None],
        on_complete: collections.abc.Callable[["CacheFill", list[bytes]], None],
    ) -> None:
        self.length = length
        self.on_growth = on_growth
        self.on_complete = on_complete
        self.pieces: list[bytes] = []
        self.newest = bytearray()
        self.size = 0
        self.is_open = True

    def add(self, piece: bytes) -> None:
        """Keep a piece, unless the fill was dropped."""
        if not self.is_open:
            return
        self.newest += piece
        if len(self.newest) >= body_source.PIECE_BYTES:
            self._end_piece()
        self.size += len(piece)
        self.on_growth(self, len(piece))

    def complete(self) -> None:
        """Hand the body over to the cache if all of it was kept."""
        if self.is_open and self.size == self.length:
            self._end_piece()
            pieces = self.pieces
            self.drop()
            self.on_complete(self, pieces)

    def drop(self) -> None:
        """Keep nothing; does nothing if the fill was dropped already."""
        if self.is_open:
            self.is_open = False
            self.pieces = []
            self.newest = bytearray()
            self.on_growth(self, -self.size)

    def _end_piece(self) -> None:
        if self.newest:
            self.pieces.append(bytes(self.newest))
            self.newest = bytearray()


class FillingSource:
    """Passes on a body, and fills a cache with it (a `BodySource`).

    Args:
        source: The body.
        fill: What the cache keeps of it.
    """

    def __init__(self, source: body_source.BodySource, fill: CacheFill) -> None:
        self.source = source
        self.fill = fill
        self.length = source.length
        self.retained_bytes = source.retained_bytes

    async def read(self) -> bytes:
        """Return the next piece, or nothing at the end of the body."""
        piece = await self.source.read()
        if piece:
            self.fill.add(piece)
        else:
            self.fill.complete()
        return piece

    def close(self) -> None:
        """Give up the rest of the body; the cache takes a complete one alone."""
        self.source.close()
        self.fill.drop()
