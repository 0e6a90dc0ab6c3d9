"""Range requests for one byte range that states its first byte (RFC 9110, section 14); others are ignored."""

import re

from irisstand import errors
from irisstand.dataplane.upstream import exchange
from irisstand.http1 import body_source

SINGLE_RANGE = re.compile(r"^bytes=(\d{1,18})-(\d{0,18})$")
PARTIAL_CONTENT = 206
RANGE_NOT_SATISFIABLE = 416


def apply(answer: exchange.Answer, headers: dict[str, str]) -> exchange.Answer:
    """Return the part of a response that the Range header selects, or all of it without a supported range.

    Args:
        answer: The response with the complete object.
        headers: The request's headers, names in lower case.

    >>> answer = exchange.Answer(200, {"etag": "a"}, b"abcdef")
    >>> apply(answer, {"range": "bytes=2-3"})
    Answer(status=206, headers={'etag': 'a', 'content-range': 'bytes 2-3/6'}, body=b'cd')
    >>> apply(answer, {"range": "bytes=9-"}).status, apply(answer, {"range": "lines=1-"}).status
    (416, 200)
    """
    match = SINGLE_RANGE.match(headers.get("range", "").strip())
    etag = answer.headers.get("etag")
    size = len(answer.body) if isinstance(answer.body, bytes) else answer.body.length
    if match is None or headers.get("if-range", etag) != etag or size is None:
        return answer
    first = int(match[1])
    last = min(int(match[2]), size - 1) if match[2] else size - 1
    if match[2] and int(match[2]) < first:
        return answer
    if first >= size:
        if not isinstance(answer.body, bytes):
            answer.body.close()
        unsatisfied = {**answer.headers, "content-range": f"bytes */{size}"}
        return exchange.Answer(RANGE_NOT_SATISFIABLE, unsatisfied, b"")
    partial = {**answer.headers, "content-range": f"bytes {first}-{last}/{size}"}
    if isinstance(answer.body, bytes):
        return exchange.Answer(PARTIAL_CONTENT, partial, answer.body[first : last + 1])
    return exchange.Answer(PARTIAL_CONTENT, partial, RangeSource(answer.body, first, last + 1 - first))


class RangeSource:
    """A part of a body that is passed on (a `BodySource`); what is before it is read and dropped.

    Args:
        whole: The complete body.
        first: The position of the first byte of the part.
        length: The length of the part in bytes.
    """

    def __init__(self, whole: body_source.BodySource, first: int, length: int) -> None:
        self.whole = whole
        self.length: int | None = length
        self.retained_bytes = whole.retained_bytes
        self.bytes_to_skip = first
        self.bytes_left = length

    async def read(self) -> bytes:
        """Return the next piece of the part, or nothing at its end.

        Raises:
            errors.BodyClosedError: The whole body ended before the part did.
        """
        while self.bytes_left:
            piece = await self.whole.read()
            if not piece:
                raise errors.BodyClosedError("the body ended before its range did")
            part = piece[self.bytes_to_skip :][: self.bytes_left]
            self.bytes_to_skip = max(0, self.bytes_to_skip - len(piece))
            self.bytes_left -= len(part)
            if part:
                return part
        return b""

    def close(self) -> None:
        """Give up the rest of the body."""
        self.whole.close()
