"""A client's request in the form in which it is forwarded to an origin."""

import collections.abc
import typing

from irisstand import errors
from irisstand.dataplane.upstream import streamed_body
from irisstand.http1 import grammar

# Headers that concern a single connection and are not forwarded (RFC 9110, section 7.6.1). All other headers
# are forwarded unchanged.
HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)

Headers = collections.abc.Sequence[tuple[str, str]]
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")


class Request(typing.NamedTuple):
    """A client's request.

    Attributes:
        method: The HTTP method.
        target: The path and query, byte by byte as the client sent them.
        host: The host that the client named.
        headers: The headers by their names in lower case.
        body: The complete body, or a large one that is still arriving and can be sent once.
        is_repeat: Whether origins may have got the request already, so that all of its attempts are retries.
    """

    method: str
    target: bytes
    host: str
    headers: dict[str, str]
    body: bytes | streamed_body.StreamedBody
    is_repeat: bool = False

    @property
    def path(self) -> str:
        """The path of the target, without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


def end_to_end_headers(headers: dict[str, str]) -> list[tuple[str, str]]:
    """Return the headers to forward: without hop-by-hop headers and those that `Connection` names.

    >>> end_to_end_headers({"connection": "close, X-Hop", "x-hop": "1", "te": "trailers", "accept": "a"})
    [('accept', 'a')]
    """
    listed = {option.strip().lower() for option in headers.get("connection", "").split(",")}
    return [(name, value) for name, value in headers.items() if name not in HOP_BY_HOP and name not in listed]


def body_length(body: bytes | streamed_body.StreamedBody) -> int | None:
    """Return the length of a request's body in bytes; None if it is not known before the end."""
    return len(body) if isinstance(body, bytes) else body.length


def encode_head(
    method: str, target: bytes, headers: collections.abc.Iterable[tuple[str, str]], body_bytes: int | None
) -> bytes:
    """Return the head of an HTTP/1.1 request whose body has a length in bytes, or is chunked if that is None.

    Raises:
        errors.BadRequestError: The head would violate the grammar of HTTP/1.1, so that an origin could read
            it as more than one request.
    """
    lines = [method.encode(), b" ", target, b" HTTP/1.1"]
    for name, value in headers:
        lines += [b"\r\n", _encode_text(name), b": ", _encode_text(value)]
    if body_bytes is None:
        lines.append(b"\r\ntransfer-encoding: chunked")
    elif body_bytes or method in METHODS_WITH_BODY:
        lines.append(b"\r\ncontent-length: %d" % body_bytes)
    head = b"".join(lines)
    if grammar.REQUEST_HEAD.fullmatch(head) is None:
        raise errors.BadRequestError(
            "the request has characters that are not allowed in the head of an HTTP message"
        )
    return head + b"\r\n\r\n"


def encode(
    method: str, target: bytes, headers: collections.abc.Iterable[tuple[str, str]], body: bytes
) -> bytes:
    """Return the bytes of an HTTP/1.1 request; raises BadRequestError as `encode_head` does."""
    return encode_head(method, target, headers, len(body)) + body


def _encode_text(text: str) -> bytes:
    """Return a header name or value as Latin-1: one byte for each character.

    Raises:
        errors.BadRequestError: A character is not in Latin-1.
    """
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError:
        raise errors.BadRequestError("a header has a character that is not in Latin-1") from None
