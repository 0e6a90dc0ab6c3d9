"""The network of the model: each request and each reply is an event that may be lost."""

import asyncio
import collections.abc
import typing

from irisstand import errors
from irisstand.modelcheck import events, scheduler
from irisstand.simulator import virtual_time
from irisstand.transport import codec

Handler = collections.abc.Callable[[str, typing.Any], collections.abc.Awaitable[typing.Any]]


class CallNode(typing.Protocol):
    """What a call needs of the nodes at its two ends."""

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
        """Add an input to the node's history."""
        ...


class Call:
    """One remote call: the request, the work at the peer and the reply; messages may be lost."""

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
        """Let the caller give up: no reply came in time."""
        if not self.future.done():
            self.caller.record_input(f"unanswered {self.label}")
            self.future.set_exception(errors.UnansweredError(f"{self.callee.name} gave no result in time"))

    def serve(self) -> None:
        """Run the peer's handler as the peer; a peer that is down refuses the connection."""
        if self.callee.is_up:
            self.callee.calls_in_progress.append(self)
            self.callee.actor.start(self.run_handler())
        elif not self.future.done():
            self.caller.record_input(f"unreached {self.label}")
            self.future.set_exception(errors.NotSentError(f"{self.callee.name} is down"))

    async def run_handler(self) -> None:
        """Run the handler and post the reply; errors travel as they do on the real transport."""
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
        """Post the event that delivers the reply."""

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
        """Resolve the caller's future, unless the caller has given up."""
        status, content = codec.unpack(payload)
        if self.future.done():
            return
        if status == "result":
            self.future.set_result(content)
        else:
            self.future.set_exception(errors.from_wire(errors.WireError.from_wire(content)))


class ModelTransport:
    """Stands in for `transport.peers.Transport`: the same registry of handlers, every call an event."""

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
        """Call a peer. The time-out is not counted: the scheduler chooses whether the caller gives up.

        Args:
            address: Host and port, unused: nodes are found by name.
            name: The peer's name.
            kind: The kind of message.
            body: The message's fields.
            timeout_seconds: Seconds until the caller would give up, unused.

        Returns:
            The decoded result.

        Raises:
            errors.IrisError: The peer refused, is down, or gave no reply.
        """
        self.calls_made += 1
        payload = codec.pack(("ask", 0, (kind, body)))
        call = Call(self.scheduler, self.node, self.nodes[name], payload)
        self.scheduler.post(call.request_event())
        return await call.future
