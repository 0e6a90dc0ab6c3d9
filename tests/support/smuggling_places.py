"""The places in a request where a client's bytes are passed on, and the bytes that are allowed in each."""

import typing

LETTERS = b"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
DIGITS = frozenset(b"0123456789")
HEX_DIGITS = DIGITS | frozenset(b"abcdefABCDEF")
BLANKS = frozenset(b" \t")
# The bytes of a token, such as a method or a header name (RFC 9110, section 5.6.2).
TOKEN = frozenset(b"!#$%&'*+-.^_`|~" + LETTERS) | DIGITS
# The bytes of a header value (RFC 9110, section 5.5).
VALUE = frozenset((9, *range(0x20, 0x7F), *range(0x80, 0x100)))
# The bytes of a path and query (RFC 3986, sections 3.3 and 3.4). A target with other visible characters may
# be accepted or rejected.
TARGET = frozenset(b"-._~%!$&'()*+,;=:@/?" + LETTERS) | DIGITS
VISIBLE = frozenset(range(0x21, 0x7F)) - frozenset(b"#")
NO_BYTES: frozenset[int] = frozenset()


class Place(typing.NamedTuple):
    """A place in a request where a test inserts a byte.

    Attributes:
        request: A complete request; `ID` stands for the request's unique name, and `@` for the place.
        accepted: The bytes with which the request must be forwarded and answered by the origin.
        may_be_accepted: The bytes that change the request's meaning, so that it may be accepted or rejected.
        value: The value of X-Note that the origin must read, without the blanks around it.
        expected_id: The request id that the response must bear.
    """

    request: bytes
    accepted: frozenset[int]
    may_be_accepted: frozenset[int] = NO_BYTES
    value: bytes = b""
    expected_id: bytes = b""


CLOSE = b"Connection: close\r\n\r\n"
END = b"X-Request-Id: ID\r\n" + CLOSE
READ = b"GET /reads/ID HTTP/1.1\r\nHost: h\r\n"
OBJECT = b"GET /objects/ID HTTP/1.1\r\nHost: h\r\n"
WRITE = b"POST /writes/ID HTTP/1.1\r\nHost: h\r\n"
CHUNKED = WRITE + b"Transfer-Encoding: chunked\r\n" + END
CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"

REQUEST_LINE = {
    "method": Place(b"GE@T /reads/ID HTTP/1.1\r\nHost: h\r\n" + END, NO_BYTES),
    "path": Place(b"GET /reads/ID@a HTTP/1.1\r\nHost: h\r\n" + END, TARGET, VISIBLE),
    "query": Place(b"GET /reads/ID?a@b HTTP/1.1\r\nHost: h\r\n" + END, TARGET, VISIBLE),
    "path of an object": Place(b"GET /objects/ID@a HTTP/1.1\r\nHost: h\r\n" + END, TARGET, VISIBLE),
    "path of a write": Place(b"POST /writes/ID@a HTTP/1.1\r\nHost: h\r\n" + END, TARGET, VISIBLE),
    "version": Place(b"GET /reads/ID HTTP/1.1@\r\nHost: h\r\n" + END, NO_BYTES),
}
NAMES = {
    "name": Place(READ + b"X-No@te: a\r\n" + END, TOKEN, frozenset(b":")),
    "start of a name": Place(READ + b"@X-Note: a\r\n" + END, TOKEN),
    "end of a name": Place(READ + b"X-Note@: a\r\n" + END, TOKEN, frozenset(b":")),
    "start of a line": Place(READ + b"X-Note: a\r\n@X-More: b\r\n" + END, TOKEN),
    "end of a length's name": Place(
        WRITE + b"Content-Length@: 5\r\n" + END + b"hello", NO_BYTES, TOKEN | {58}
    ),
    "end of a coding's name": Place(
        WRITE + b"Transfer-Encoding@: chunked\r\n" + END + CHUNKS, NO_BYTES, TOKEN | {58}
    ),
}
VALUES = {
    "value": Place(READ + b"X-Note: a@b\r\n" + END, VALUE, value=b"a@b"),
    "value of an object's read": Place(OBJECT + b"X-Note: a@b\r\n" + END, VALUE, value=b"a@b"),
    "value of a write": Place(WRITE + b"X-Note: a@b\r\n" + END, VALUE, value=b"a@b"),
    "start of a value": Place(READ + b"X-Note:@b\r\n" + END, VALUE, value=b"@b"),
    "end of a value": Place(READ + b"X-Note: b@\r\n" + END, VALUE, value=b"b@"),
    "host": Place(b"GET /reads/ID HTTP/1.1\r\nHost: h@\r\n" + END, BLANKS | frozenset(b".:")),
    "connection": Place(READ + b"X-Request-Id: ID\r\nConnection: close, a@b\r\n\r\n", VALUE),
    "id": Place(READ + b"X-Request-Id: ID@b\r\n" + CLOSE, VALUE, expected_id=b"ID@b"),
    "id of an object's read": Place(OBJECT + b"X-Request-Id: ID@b\r\n" + CLOSE, VALUE, expected_id=b"ID@b"),
    "id of a write": Place(WRITE + b"X-Request-Id: ID@b\r\n" + CLOSE, VALUE, expected_id=b"ID@b"),
    "remaining time": Place(READ + b"X-Remaining-Ms: 10@00\r\n" + END, VALUE),
    "instance": Place(READ + b"X-Expected-Instance: a@\r\n" + END, VALUE),
    "range": Place(OBJECT + b"Range: bytes=@1-2\r\n" + END, VALUE),
    "entity tag": Place(OBJECT + b'If-None-Match: "@"\r\n' + END, VALUE),
}
FRAMING = {
    "end of a length": Place(WRITE + b"Content-Length: 5@\r\n" + END + b"hello", BLANKS, DIGITS),
    "start of a length": Place(WRITE + b"Content-Length: @5\r\n" + END + b"hello", BLANKS | {48}, DIGITS),
    "end of a coding": Place(WRITE + b"Transfer-Encoding: chunked@\r\n" + END + CHUNKS, NO_BYTES, BLANKS),
    "start of a coding": Place(WRITE + b"Transfer-Encoding: @chunked\r\n" + END + CHUNKS, BLANKS),
    "end of a chunk's size": Place(
        CHUNKED + b"5@\r\nhello\r\n0\r\n\r\n", frozenset(b";"), HEX_DIGITS | BLANKS
    ),
    "start of a chunk's size": Place(CHUNKED + b"@" + CHUNKS, frozenset(b"0"), HEX_DIGITS),
    "extension of a chunk": Place(CHUNKED + b"5;a@b\r\nhello\r\n0\r\n\r\n", VALUE),
    "end of a chunk": Place(CHUNKED + b"5\r\nhello@\r\n0\r\n\r\n", NO_BYTES),
    "line break after a chunk": Place(CHUNKED + b"5\r\nhello@\n0\r\n\r\n", frozenset(b"\r")),
    "end of the last chunk": Place(CHUNKED + b"5\r\nhello\r\n0\r\n@\r\n", NO_BYTES),
    "trailer": Place(CHUNKED + b"5\r\nhello\r\n0\r\nX-Note: a@b\r\n\r\n", NO_BYTES, VALUE),
}
ALL_PLACES = REQUEST_LINE | NAMES | VALUES | FRAMING


def smuggled_request(byte):
    """Return a complete request as seen by a parser that takes `byte` for the end of a line."""
    end = bytes([byte])
    lines = (b"POST /writes/smuggled HTTP/1.1", b"Host: h", b"X-Request-Id: smuggled", b"Content-Length: 0")
    return end + end + end.join(lines) + end + end
