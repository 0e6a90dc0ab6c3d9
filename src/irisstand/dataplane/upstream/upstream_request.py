"""A client's request as it is sent on to an origin."""

import collections.abc
import typing

# Headers that concern a single connection (RFC 9110, section 7.6.1); the rest of a request goes on as it
# came.
HOP = frozenset(
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
    """Header names in lower case; `target` is the path and query as they came."""

    method: str
    target: bytes
    host: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


def encode(
    method: str, target: bytes, headers: collections.abc.Iterable[tuple[str, str]], body: bytes
) -> bytes:
    """Return the bytes of an HTTP/1.1 request."""
    lines = [method.encode(), b" ", target, b" HTTP/1.1\r\n"]
    for name, value in headers:
        lines += [name.encode("latin-1"), b": ", value.encode("latin-1"), b"\r\n"]
    if body or method in METHODS_WITH_BODY:
        lines.append(b"content-length: %d\r\n" % len(body))
    lines += [b"\r\n", body]
    return b"".join(lines)
