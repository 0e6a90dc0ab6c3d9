"""The head of a client's request: its headers, and where its body ends."""

import typing

from irisstand import errors
from irisstand.http1 import grammar

_BLANKS = " \t"
_CHUNKED = "chunked"
_OLD_VERSION = " HTTP/1.0"


class RequestHead(typing.NamedTuple):
    """A request's head that keeps to the grammar; text has one character for each byte, as Latin-1.

    Attributes:
        host: The host as the request names it; empty without one.
        headers: The other headers: names in lower case, repeated ones joined by commas (RFC 9110, section
            5.3).
    """

    host: str
    headers: dict[str, str]


def parse(head: bytes) -> RequestHead:
    r"""Read a request's head, without the empty line that ends it.

    Raises:
        errors.BadRequestError: The head breaks the grammar, or could be read in two ways.

    >>> parse(b"GET / HTTP/1.1\r\nHost: h\r\nAccept: a\r\nACCEPT: b ")
    RequestHead(host='h', headers={'accept': 'a, b'})
    """
    if grammar.REQUEST_HEAD.fullmatch(head) is None:
        raise errors.BadRequestError(_fault_of(head))
    request_line, *field_lines = head.decode("latin-1").split("\r\n")
    headers: dict[str, str] = {}
    for line in field_lines:
        name, _, value = line.partition(":")
        key = name.lower()
        value = value.strip(_BLANKS)
        if key in headers:
            # Joined, a second host, length or coding is none that is taken below.
            value = f"{headers[key]}, {value}"
        headers[key] = value
    _check_framing(headers, is_http_1_0=request_line.endswith(_OLD_VERSION))
    host = headers.pop("host", "")
    if grammar.HOST.fullmatch(host) is None:
        raise errors.BadRequestError("the host has characters that no host has")
    return RequestHead(host, headers)


def _check_framing(headers: dict[str, str], *, is_http_1_0: bool) -> None:
    """Check that there is one way to tell where the body ends (RFC 9112, sections 6.1 to 6.3).

    Raises:
        errors.BadRequestError: There are two ways, or one that is not certain.
    """
    coding = headers.get("transfer-encoding")
    length = headers.get("content-length")
    if coding is not None:
        if length is not None:
            raise errors.BadRequestError("both a content-length and a transfer-encoding are given")
        if is_http_1_0:
            raise errors.BadRequestError("HTTP/1.0 has no transfer-encoding")
        if coding.lower() != _CHUNKED:
            raise errors.BadRequestError("the transfer-encoding is not chunked alone")
    if length is not None and grammar.whole_number(length) is None:
        raise errors.BadRequestError("the content-length is no number of bytes")


def _fault_of(head: bytes) -> str:
    """Say which line of a head breaks the grammar; no bytes of it are repeated."""
    lines = head.split(b"\r\n")
    for number, line in enumerate(lines[1:], 1):
        name, colon, _ = line.partition(b":")
        if not colon or grammar.TOKEN.fullmatch(name) is None:
            return f"the name of header {number} is no token"
        if grammar.REQUEST_HEAD.fullmatch(b"GET / HTTP/1.1\r\n" + line) is None:
            return f"the value of header {number} has a control character"
    return "the request line is malformed"
