"""A simulated network in which each request and each reply is an event that may be lost."""

import asyncio
import collections.abc
import typing

from irisstand import errors
from irisstand.modelcheck import events, scheduler
from irisstand.simulator import virtual_time
from irisstand.transport import codec

Handler = collections.abc.Callable[[str, typing.Any], collections.abc.Awaitable[typing.Any]]


class CallNode(typing.Protocol):
    """The interface of a node that makes or serves a remote call."""

    name: str
    incarnation: int
    actor: virtual_time.Actor
    transport: "ModelTransport"
    calls_in_progress: list["Call"]

    @property
    def is_up(self) -> bool:
        """Whether the node accepts connections."""
        ...

    def record_input(self, label: str) -> None:
        """Add an input, such as a delivered event, to the hash of the node's inputs."""
        ...


class Call:
    """A remote call between two nodes, whose request or reply may be lost.

    Args:
        event_scheduler: The scheduler that delivers the reply.
        caller: The node that makes the call.
        callee: The node that serves the call.
        payload: The encoded request.
    """

    def __init__(
        self, event_scheduler: scheduler.Scheduler, caller: CallNode, callee: CallNode, payload: bytes
    ) -> None:
        self.scheduler = event_scheduler
        self.caller = caller
        self.callee = callee
        self.payload = payload
        self.future: asyncio.Future[typing.Any] = asyncio.get_running_loop().create_future()
        kind = codec.unpack(payload)[2][0]
        sender = f"{caller.name}.{caller.incarnation}#{caller.transport.calls_made}"
        self.label = f"{sender}>{callee.name} {kind} {events.digest(payload)}"

    def request_event(self) -> events.Event:
        """Return the event that delivers the request."""
        return events.Event(
            events.EventKind.REQUEST,
            self.callee.name,
            self.caller.name,
            self.label,
            self.serve,
            self.fail_unanswered,
        )

    def fail_unanswered(self) -> None:
        """Fail the call at the caller with a timeout, unless it already has a result."""
        if not self.future.done():
            self.caller.record_input(f"unanswered {self.label}")
            self.future.set_exception(
                errors.UnansweredError(f"{self.callee.name} did not reply within the timeout")
            )

    def serve(self) -> None:
        """Start the handler in the callee's process, or fail the call as not sent if the callee is down."""
        if self.callee.is_up:
            self.callee.calls_in_progress.append(self)
            self.callee.actor.start(self.run_handler())
        elif not self.future.done():
            self.caller.record_input(f"unreached {self.label}")
            self.future.set_exception(
                errors.NotSentError(f"{self.callee.name} is down and refused the connection")
            )

    async def run_handler(self) -> None:
        """Run the handler and post its reply; errors are encoded in the same way as on the real transport."""
        kind, body = codec.unpack(self.payload)[2]
        reply: tuple[str, typing.Any]
        try:
            reply = ("result", await self.callee.transport.handlers[kind](self.caller.name, body))
        except errors.IrisError as error:
            reply = ("fault", tuple(error.to_wire()))
        except (ValueError, TypeError, IndexError, KeyError) as error:
            reply = ("fault", tuple(errors.BadRequestError(repr(error)).to_wire()))
        if self in self.callee.calls_in_progress:
            self.callee.calls_in_progress.remove(self)
        self.post_reply(codec.pack(reply))

    def post_reply(self, payload: bytes) -> None:
        """Post the event that delivers an encoded reply to the caller."""

        def deliver() -> None:
            self.receive_reply(payload)

        label = f"{self.label} -> {events.digest(payload)}"
        self.scheduler.post(
            events.Event(
                events.EventKind.REPLY,
                self.caller.name,
                self.callee.name,
                label,
                deliver,
                self.fail_unanswered,
            )
        )

    def receive_reply(self, payload: bytes) -> None:
        """Set the result or error of the call at the caller, unless the call has failed before."""
        status, content = codec.unpack(payload)
        if self.future.done():
            return
        if status == "result":
            self.future.set_result(content)
        else:
            self.future.set_exception(errors.from_wire(errors.WireError.from_wire(content)))


class ModelTransport:
    """Replaces `transport.peers.Transport` with one whose calls are events of the scheduler.

    Args:
        event_scheduler: The scheduler that delivers requests and replies.
        nodes: All nodes of the cluster by name.
        node: The node that uses this transport.

    Attributes:
        handlers: The request handlers of this node by kind of message, as on the real transport.
        calls_made: The number of calls that this node has made since its start, for event labels.
    """

    def __init__(
        self,
        event_scheduler: scheduler.Scheduler,
        nodes: collections.abc.Mapping[str, CallNode],
        node: CallNode,
    ) -> None:
        self.scheduler = event_scheduler
        self.nodes = nodes
        self.node = node
        self.handlers: dict[str, Handler] = {}
        self.calls_made = 0

    async def call(
        self,
        address: tuple[str, int],
        name: str,
        kind: str,
        body: tuple[typing.Any, ...],
        timeout_seconds: float,
    ) -> typing.Any:
        """Call a peer and return its reply; the scheduler, not a timer, decides whether the call times out.

        Args:
            address: The host and port of the peer; unused, as peers are looked up by name.
            name: The node name of the peer.
            kind: The name of the peer's handler.
            body: The fields of the request.
            timeout_seconds: The timeout of the real transport, in seconds; unused.

        Returns:
            The decoded reply of the handler.

        Raises:
            errors.IrisError: The peer is down, did not reply, or replied with an error.
        """
        self.calls_made += 1
        payload = codec.pack(("ask", 0, (kind, body)))
        call = Call(self.scheduler, self.node, self.nodes[name], payload)
        self.scheduler.post(call.request_event())
        return await call.future
