"""Reads the requests on a connection to an emulated origin."""

import collections.abc
import typing

REQUEST_ID_HEADER = "x-request-id"
END_OF_HEAD = b"\r\n\r\n"


class ReceivedRequest(typing.NamedTuple):
    """A request that was received in full; the names and values of its headers are in lower case."""

    request_id: str
    target: str
    method: str
    headers: dict[str, str]


class RequestBuffer:
    """The bytes of one connection that do not yet make up a whole request."""

    def __init__(self) -> None:
        self.received = b""

    def feed(self, data: bytes) -> collections.abc.Iterator[ReceivedRequest]:
        """Add bytes, and yield each request that is complete."""
        self.received += data
        while END_OF_HEAD in self.received:
            head, _, rest = self.received.partition(END_OF_HEAD)
            first, *lines = head.decode("latin-1").split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines)
            size = int(headers.get("content-length", "0"))
            if len(rest) < size:
                return
            self.received = rest[size:]
            method, target, _ = first.split(" ")
            yield ReceivedRequest(headers.get(REQUEST_ID_HEADER, ""), target, method, headers)
