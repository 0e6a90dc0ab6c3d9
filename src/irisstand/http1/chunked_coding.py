"""Decodes request bodies with chunked transfer coding (RFC 9112, section 7.1), many chunks at a time."""

from irisstand import errors
from irisstand.http1 import grammar

# The greatest length of the line with a chunk's size and extensions.
CHUNK_LINE_LIMIT_BYTES = 256
# How many chunks one call decodes. The caller then lets other connections have their turn.
CHUNKS_PER_CALL = 256

_LINE_END = b"\r\n"


class ChunkedDecoder:
    """Decodes one chunked body from a buffer that is filled as the body arrives.

    In the buffer, each line with a chunk's size has the line break of the line before in front of it.

    Attributes:
        declared_bytes: The sum of the sizes of all chunks that have begun.
        is_complete: Whether the end of the body has been decoded.
    """

    def __init__(self) -> None:
        self.declared_bytes = 0
        self.is_complete = False
        self._chunk_bytes_left = 0
        self._has_last_chunk = False

    def decode(self, buffer: bytearray) -> bytes:
        """Remove up to `CHUNKS_PER_CALL` chunks from the front of a buffer, and return their content.

        Returns:
            The content; nothing if the body is complete, or if more of it must arrive first.

        Raises:
            errors.BadRequestError: The body is malformed.
        """
        content = bytearray()
        position = 0
        for _ in range(CHUNKS_PER_CALL):
            if not self._chunk_bytes_left:
                position = self._begin_chunk(buffer, position)
            piece = buffer[position : position + self._chunk_bytes_left]
            if not piece:
                break
            content += piece
            position += len(piece)
            self._chunk_bytes_left -= len(piece)
        del buffer[:position]
        if self._has_last_chunk and not content:
            self._end_body(buffer)
        return bytes(content)

    def _begin_chunk(self, buffer: bytearray, position: int) -> int:
        """Decode the line with a chunk's size if it has arrived; return the position behind it."""
        if self._has_last_chunk:
            return position
        line = grammar.CHUNK_LINE.match(buffer, position)
        if line is None:
            _check_may_be_incomplete(buffer, position)
            return position
        self._chunk_bytes_left = int(line[1], 16)
        self.declared_bytes += self._chunk_bytes_left
        self._has_last_chunk = not self._chunk_bytes_left
        return line.end()

    def _end_body(self, buffer: bytearray) -> None:
        """Decode the empty line behind the last chunk; trailers are refused."""
        if len(buffer) < len(_LINE_END):
            return
        if not buffer.startswith(_LINE_END):
            raise errors.BadRequestError("the chunked request body has trailers")
        del buffer[: len(_LINE_END)]
        self.is_complete = True


def _check_may_be_incomplete(buffer: bytearray, position: int) -> None:
    """Check that the rest of a buffer may be the beginning of a line with a chunk's size.

    Raises:
        errors.BadRequestError: The line is malformed or too long.
    """
    has_line_end = buffer.find(b"\n", position + len(_LINE_END)) >= 0
    if has_line_end or len(buffer) - position > CHUNK_LINE_LIMIT_BYTES:
        raise errors.BadRequestError("the chunked request body is malformed")
