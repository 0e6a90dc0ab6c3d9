"""Parts of whole objects: single ranges that give their first byte (RFC 9110, section 14)."""

import re

from irisstand.dataplane.upstream import exchange

SINGLE_RANGE = re.compile(r"^bytes=(\d{1,18})-(\d{0,18})$")


def apply(whole: exchange.Answer, headers: dict[str, str]) -> exchange.Answer:
    """The part that a request's Range header asks for; the whole where it asks for none that is known.

    >>> whole = exchange.Answer(200, {"etag": "a"}, b"abcdef")
    >>> apply(whole, {"range": "bytes=2-3"})
    Answer(status=206, headers={'etag': 'a', 'content-range': 'bytes 2-3/6'}, body=b'cd')
    >>> apply(whole, {"range": "bytes=9-"}).status, apply(whole, {"range": "lines=1-"}).status
    (416, 200)
    """
    asked = SINGLE_RANGE.match(headers.get("range", "").strip())
    if asked is None or headers.get("if-range", whole.headers.get("etag")) != whole.headers.get("etag"):
        return whole
    size, first = len(whole.body), int(asked[1])
    last = min(int(asked[2]), size - 1) if asked[2] else size - 1
    if asked[2] and int(asked[2]) < first:
        return whole
    if first >= size:
        return exchange.Answer(416, {**whole.headers, "content-range": f"bytes */{size}"}, b"")
    part = {**whole.headers, "content-range": f"bytes {first}-{last}/{size}"}
    return exchange.Answer(206, part, whole.body[first : last + 1])
