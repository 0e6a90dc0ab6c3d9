"""The answering end of connections: requests of peers are handed to handlers, and their results sent back."""

import asyncio
import collections.abc
import contextlib
import typing

from irisstand import counters, errors, event_log
from irisstand.transport import codec, network

# Of one connection; a peer that sends more is cut off.
REQUESTS_IN_FLIGHT_LIMIT = 2000
# What a handler raises if it cannot read the body that it is given.
MALFORMED_BODY_ERRORS = (ValueError, TypeError, IndexError, KeyError)


class Handler(typing.Protocol):
    """Answers the requests of one kind."""

    def __call__(self, sender: str, body: typing.Any, /) -> collections.abc.Awaitable[typing.Any]:
        """Answer one request.

        Args:
            sender: The node name of the peer.
            body: What the peer sent, decoded and not checked; for peers of this software a list.

        Returns:
            The body of the response, of types that msgpack can encode.

        Raises:
            IrisError: Sent to the peer and raised there.
            ValueError, TypeError, IndexError, KeyError: The body is malformed; the peer is sent bad-request.
        """
        ...


class RequestServer:
    """Answers the requests of all peers.

    Attributes:
        handlers: The registry: a kind of request is added by an entry.
        own_incarnation_id: Returns the current incarnation of this process.
        own_incarnation_ids: All incarnations that peers may mean by this process. One that was falsely
            declared failed starts a new incarnation, and still knows what it did in those before. Peers of
            the version before send "".
    """

    def __init__(self, net: network.Network, counters: counters.Counters, name: str) -> None:
        self.net = net
        self.counters = counters
        self.name = name
        self.handlers: dict[str, Handler] = {}
        self.own_incarnation_id: collections.abc.Callable[[], str] = str
        self.own_incarnation_ids = {""}
        self.listener: network.Listener | None = None
        # By task, in the order of their start: a set would give another order in every run.
        self.serving_tasks: dict[asyncio.Task[typing.Any], None] = {}

    def hello(self) -> codec.Hello:
        """Return this node's hello, and remember the incarnation in it as one that peers may mean."""
        self.own_incarnation_ids.add(self.own_incarnation_id())
        return codec.Hello(self.name, self.own_incarnation_id())

    def is_own_incarnation(self, incarnation_id: str) -> bool:
        """Return whether a request for that incarnation is meant for this process."""
        return incarnation_id in self.own_incarnation_ids or incarnation_id == self.own_incarnation_id()

    async def open(self, address: network.Address) -> None:
        """Accept connections of peers."""
        self.listener = await self.net.listen(address, self.serve)

    async def close(self) -> None:
        """Accept no more connections, and close those that exist."""
        if self.listener is not None:
            self.listener.close()
        for task in list(self.serving_tasks):
            task.cancel()

    async def serve(self, stream: network.Stream) -> None:
        """Serve one incoming connection until it ends; one task for each."""
        task = asyncio.current_task()
        assert task is not None, "awaited by a coroutine, so there is a task"
        self.serving_tasks[task] = None
        try:
            await IncomingConnection(stream, self).serve()
        finally:
            self.serving_tasks.pop(task, None)

    async def respond(self, sender: str, request: codec.Request) -> codec.Response | codec.ErrorResponse:
        """Run the handler of a request; an error becomes a response, so that the caller need not time out."""
        try:
            return codec.Response(request.number, await self._handle(sender, request))
        except errors.IrisError as error:
            return codec.ErrorResponse(request.number, error.to_wire())
        except MALFORMED_BODY_ERRORS as error:
            self.counters.add("frames_dropped", reason="malformed-ask")
            event_log.record("malformed-ask", error=repr(error), sender=sender)
            return codec.ErrorResponse(request.number, errors.BadRequestError(repr(error)).to_wire())
        except Exception as error:
            # A fault of this node's own; it is reported, and the process goes on to serve others.
            self.counters.add("asks_crashed")
            event_log.record("ask-crashed", error=repr(error), sender=sender)
            return codec.ErrorResponse(request.number, errors.IrisError(repr(error)).to_wire())

    async def _handle(self, sender: str, request: codec.Request) -> typing.Any:
        if not self.is_own_incarnation(request.incarnation_id):
            self.counters.add("asks_for_ended_lives")
            raise errors.IncarnationEndedError(f"{self.name} is in another life")
        handler = self.handlers.get(request.kind)
        if handler is None:
            self.counters.add("frames_dropped", reason="unknown-kind")
            raise errors.UnknownNameError(f"no handler for {request.kind}")
        return await handler(sender, request.body)


class IncomingConnection:
    """A connection that a peer has opened, and the tasks that work on its requests."""

    def __init__(self, stream: network.Stream, server: RequestServer) -> None:
        self.stream = stream
        self.server = server
        # The peer's node name, "" before its hello.
        self.sender = ""
        self.tasks: dict[int, asyncio.Task[None]] = {}

    async def serve(self) -> None:
        """Read messages until the connection ends or one is malformed; then stop the work on its requests."""
        try:
            while True:
                self._receive(codec.decode(await self.stream.read()))
        except (OSError, asyncio.CancelledError):
            # The connection's end, or this node's: nobody waits for the result of this task.
            pass
        except (errors.MalformedFrameError, *MALFORMED_BODY_ERRORS) as error:
            # A malformed stream cannot be trusted to be in step again, so it is closed and counted.
            self.server.counters.add("frames_dropped", reason=codec.drop_reason(error))
        finally:
            self.stream.close()
            for task in list(self.tasks.values()):
                task.cancel()

    def _receive(self, message: codec.Message) -> None:
        match message:
            case codec.Hello():
                self.sender = message.name
                self.stream.write(codec.encode(self.server.hello()))
            case codec.Request() if self.sender and len(self.tasks) < REQUESTS_IN_FLIGHT_LIMIT:
                self._start(message)
            case codec.Cancel():
                if message.number in self.tasks:
                    self.tasks[message.number].cancel()
            case _:
                raise errors.MalformedFrameError(f"{type(message).__name__} makes no sense here")

    def _start(self, request: codec.Request) -> None:
        number = request.number
        # If a number repeats while its request is in flight, the two could not be cancelled or told apart.
        if number in self.tasks:
            raise errors.MalformedFrameError("a number that is in use")
        task = asyncio.create_task(self._answer(request))
        self.tasks[number] = task
        task.add_done_callback(lambda _: self.tasks.pop(number, None))

    async def _answer(self, request: codec.Request) -> None:
        response = await self.server.respond(self.sender, request)
        # If the connection has ended, the caller knows that from its own end.
        with contextlib.suppress(OSError):
            self.stream.write(codec.encode(response))
            await self.stream.flush()
