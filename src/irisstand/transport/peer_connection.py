"""The client side of a connection to one peer: sends requests and matches responses by call number."""

import asyncio
import contextlib
import typing

from irisstand import counters, errors
from irisstand.transport import codec, network


class PendingCall(typing.NamedTuple):
    """A request that was sent and waits for its response.

    Attributes:
        number: The call number of the request.
        response: A future for the body of the response, or the error that the call failed with.
    """

    number: int
    response: asyncio.Future[typing.Any]


class PeerConnection:
    """An outgoing connection to a peer that has given its name in a hello.

    Attributes:
        name: The peer's node name, from its hello.
        incarnation_id: The peer's incarnation id, from its hello; "" if the peer runs the previous version.
        is_open: False once the connection is closed.
        closes_when_idle: Whether new requests are refused and the connection closes after the last response.
        last_received_at: When the last frame from the peer arrived, in seconds of the event loop's clock.
        reader_task: The task that runs `read_responses`, None until it is started.
        pending: The futures of calls that wait for a response, by call number.
        last_call_number: The call number of the newest request, 0 before the first.
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
        # Call numbers are never reused on a connection, so that the late response to a cancelled request is
        # not taken for the response to another call.
        self.pending: dict[int, asyncio.Future[typing.Any]] = {}
        self.last_call_number = 0

    def is_usable_for(self, name: str) -> bool:
        """Return whether new requests to the peer `name` may be sent here; "" stands for any peer."""
        return self.is_open and not self.closes_when_idle and (not name or self.name == name)

    def send(self, kind: str, body: tuple[typing.Any, ...], incarnation_id: str) -> PendingCall:
        """Send a request, and return the pending call without waiting for the response.

        Args:
            kind: The name of the peer's handler.
            body: The argument of the handler.
            incarnation_id: The only incarnation of the peer that may execute the request; "" for the one in
                the peer's hello.

        Raises:
            OSError: The connection is closed; nothing was sent.
        """
        if not self.is_open:
            raise ConnectionResetError("the request cannot be sent: the connection is closed")
        self.last_call_number += 1
        call = PendingCall(self.last_call_number, asyncio.get_running_loop().create_future())
        self.pending[call.number] = call.response
        # A peer of the previous version sends no incarnation id in its hello, and does not know the field.
        receiver_incarnation_id = (incarnation_id or self.incarnation_id) if self.incarnation_id else ""
        try:
            self.stream.write(codec.encode(codec.Request(call.number, kind, body, receiver_incarnation_id)))
        except OSError:
            self.pending.pop(call.number, None)
            self.close()
            raise
        return call

    def cancel(self, number: int) -> None:
        """Ask the peer to stop executing a request whose caller no longer waits for it."""
        self.pending.pop(number, None)
        if self.is_open:
            # If the connection breaks, the cancellation is lost, but the peer then stops all of its requests.
            with contextlib.suppress(OSError):
                self.stream.write(codec.encode(codec.Cancel(number)))

    def close_when_idle(self) -> None:
        """Refuse new requests, and close the connection once no call is pending."""
        self.closes_when_idle = True
        self.counters.add("links_retired")
        if not self.pending:
            self.close()

    def close(self) -> None:
        """Close the connection at once; pending calls fail with UnansweredError."""
        self.is_open = False
        self.stream.close()
        for response in self.pending.values():
            if not response.done():
                response.set_exception(errors.UnansweredError("the connection closed before the response"))
        self.pending.clear()

    async def read_responses(self) -> None:
        """Read responses until the connection ends, or until no call is pending if it closes when idle."""
        try:
            while self.pending or not self.closes_when_idle:
                # No variable keeps a response while this waits for the next one.
                self._deliver(codec.decode(await self.stream.read()))
        except OSError:
            pass
        except errors.MalformedFrameError as error:
            self.counters.add("frames_dropped", reason=codec.drop_reason(error))
        finally:
            self.close()

    def _deliver(self, message: codec.Message) -> None:
        self.last_received_at = asyncio.get_running_loop().time()
        if not isinstance(message, codec.Response | codec.ErrorResponse):
            raise errors.MalformedFrameError("the message is neither a response nor an error")
        response = self.pending.pop(message.number, None)
        if response is None or response.done():
            return
        if isinstance(message, codec.Response):
            response.set_result(message.body)
        else:
            response.set_exception(errors.from_wire(message.error))
