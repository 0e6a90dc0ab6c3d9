"""The calling end of a connection to one peer: requests out, responses matched to them by number."""

import asyncio
import contextlib
import typing

from irisstand import counters, errors
from irisstand.transport import codec, network


class PendingCall(typing.NamedTuple):
    """A request that was sent. `response` is set to the response's body, or to the error that came back."""

    number: int
    response: asyncio.Future[typing.Any]


class PeerConnection:
    """An outgoing connection whose peer has confirmed its name by a hello of its own.

    Attributes:
        name: The peer's node name, from its hello.
        incarnation_id: The peer's incarnation, from its hello; "" from the version before.
        is_open: Whether requests may still be sent.
        closes_when_idle: Whether no new requests are to be sent, and the last response closes the connection.
        last_received_at: The event loop's time when anything last came from the peer, in seconds.
    """

    def __init__(self, stream: network.Stream, hello: codec.Hello, counters: counters.Counters) -> None:
        self.stream = stream
        self.counters = counters
        self.name = hello.name
        self.incarnation_id = hello.incarnation_id
        self.is_open = True
        self.closes_when_idle = False
        self.last_received_at = asyncio.get_running_loop().time()
        self.reader_task: asyncio.Task[None] | None = None
        # By number of the call. A number is never used again on a connection, so that the late response to a
        # cancelled request finds no other call.
        self.pending: dict[int, asyncio.Future[typing.Any]] = {}
        self.last_call_number = 0

    def is_usable_for(self, name: str) -> bool:
        """Return whether new requests to the peer `name` may be sent; "" stands for any peer."""
        return self.is_open and not self.closes_when_idle and (not name or self.name == name)

    def send(self, kind: str, body: tuple[typing.Any, ...], incarnation_id: str) -> PendingCall:
        """Send a request without waiting.

        Args:
            kind: The name of the peer's handler.
            body: What the handler is given.
            incarnation_id: The incarnation of the peer that may answer; "" for the one of its hello.

        Raises:
            OSError: The connection is closed; nothing was sent.
        """
        if not self.is_open:
            raise ConnectionResetError("the connection was closed")
        self.last_call_number += 1
        call = PendingCall(self.last_call_number, asyncio.get_running_loop().create_future())
        self.pending[call.number] = call.response
        # A peer of the version before sent no incarnation, and knows no such field.
        receiver_incarnation_id = (incarnation_id or self.incarnation_id) if self.incarnation_id else ""
        try:
            self.stream.write(codec.encode(codec.Request(call.number, kind, body, receiver_incarnation_id)))
        except OSError:
            self.pending.pop(call.number, None)
            self.close()
            raise
        return call

    def cancel(self, number: int) -> None:
        """Let the peer stop the work for a request whose caller no longer waits."""
        self.pending.pop(number, None)
        if self.is_open:
            # If the connection breaks at this moment, the peer stops the work by itself.
            with contextlib.suppress(OSError):
                self.stream.write(codec.encode(codec.Cancel(number)))

    def close_when_idle(self) -> None:
        """Send no new requests, and close after the last pending response."""
        self.closes_when_idle = True
        self.counters.add("links_retired")
        if not self.pending:
            self.close()

    def close(self) -> None:
        """Close at once; pending calls fail as unanswered."""
        self.is_open = False
        self.stream.close()
        for response in self.pending.values():
            if not response.done():
                response.set_exception(errors.UnansweredError("the connection was lost under the request"))
        self.pending.clear()

    async def read_responses(self) -> None:
        """Read until the connection ends, or is idle and to be closed then."""
        try:
            while self.pending or not self.closes_when_idle:
                message = codec.decode(await self.stream.read())
                self.last_received_at = asyncio.get_running_loop().time()
                self._deliver(message)
        except OSError:
            pass
        except errors.MalformedFrameError as error:
            self.counters.add("frames_dropped", reason=codec.drop_reason(error))
        finally:
            self.close()

    def _deliver(self, message: codec.Message) -> None:
        if not isinstance(message, codec.Response | codec.ErrorResponse):
            raise errors.MalformedFrameError("neither a result nor a fault")
        response = self.pending.pop(message.number, None)
        if response is None or response.done():
            return
        if isinstance(message, codec.Response):
            response.set_result(message.body)
        else:
            response.set_exception(errors.from_wire(message.error))
