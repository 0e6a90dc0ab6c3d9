"""Parses the head of a client's request, and checks that the end of the request's body is unambiguous."""

import typing

from irisstand import errors
from irisstand.http1 import grammar

_BLANKS = " \t"
_CHUNKED = "chunked"
_OLD_VERSION = " HTTP/1.0"


class RequestHead(typing.NamedTuple):
    """The host and headers of a well-formed request, decoded as Latin-1: one character for each byte.

    Attributes:
        host: The value of the Host header; empty if there is none.
        headers: The other headers by their names in lower case. The values of a repeated header are joined
            with commas (RFC 9110, section 5.3).
    """

    host: str
    headers: dict[str, str]


def parse(head: bytes) -> RequestHead:
    r"""Parse the head of a request.

    Args:
        head: The request line and the headers, without the empty line that ends them.

    Raises:
        errors.BadRequestError: The head violates the grammar, or is ambiguous.

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
            # A repeated Host, Content-Length or Transfer-Encoding is rejected by the checks below, because
            # they accept no value that is joined with a comma.
            value = f"{headers[key]}, {value}"
        headers[key] = value
    _check_framing(headers, is_http_1_0=request_line.endswith(_OLD_VERSION))
    host = headers.pop("host", "")
    if grammar.HOST.fullmatch(host) is None:
        raise errors.BadRequestError("the Host header has characters that are not allowed in a host")
    return RequestHead(host, headers)


def _check_framing(headers: dict[str, str], *, is_http_1_0: bool) -> None:
    """Check that the headers define the end of the body unambiguously (RFC 9112, sections 6.1 to 6.3).

    Args:
        headers: The headers by their names in lower case, with the values of repeated ones joined.
        is_http_1_0: Whether the request's version is HTTP/1.0, which has no transfer codings.

    Raises:
        errors.BadRequestError: The headers contradict each other, or the end is not certain.
    """
    coding = headers.get("transfer-encoding")
    length = headers.get("content-length")
    if coding is not None:
        if length is not None:
            raise errors.BadRequestError("the request has both a content-length and a transfer-encoding")
        if is_http_1_0:
            raise errors.BadRequestError("the request has a transfer-encoding, which HTTP/1.0 does not have")
        if coding.lower() != _CHUNKED:
            raise errors.BadRequestError(
                "the transfer-encoding is other than chunked, which alone is supported"
            )
    if length is not None and grammar.whole_number(length) is None:
        raise errors.BadRequestError("the content-length is not a valid number of bytes")


def _fault_of(head: bytes) -> str:
    """Return a message that tells which line of a head violates the grammar, without repeating its bytes."""
    lines = head.split(b"\r\n")
    for number, line in enumerate(lines[1:], 1):
        name, colon, _ = line.partition(b":")
        if not colon or grammar.TOKEN.fullmatch(name) is None:
            return f"the name of header {number} is not a valid token"
        if grammar.REQUEST_HEAD.fullmatch(b"GET / HTTP/1.1\r\n" + line) is None:
            return f"the value of header {number} contains a control character"
    return "the request line is malformed"
