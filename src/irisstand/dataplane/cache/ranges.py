"""Range requests for one byte range that states its first byte (RFC 9110, section 14); others are ignored."""

import re

from irisstand.dataplane.upstream import exchange

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
    if match is None or headers.get("if-range", etag) != etag:
        return answer
    size = len(answer.body)
    first = int(match[1])
    last = min(int(match[2]), size - 1) if match[2] else size - 1
    if match[2] and int(match[2]) < first:
        return answer
    if first >= size:
        unsatisfied = {**answer.headers, "content-range": f"bytes */{size}"}
        return exchange.Answer(RANGE_NOT_SATISFIABLE, unsatisfied, b"")
    partial = {**answer.headers, "content-range": f"bytes {first}-{last}/{size}"}
    return exchange.Answer(PARTIAL_CONTENT, partial, answer.body[first : last + 1])
