"""The server side of connections between nodes: passes requests to handlers, and sends back their results."""

import asyncio
import collections.abc
import contextlib
import typing

from irisstand import counters, errors, event_log, resource_budget
from irisstand.transport import codec, network

# The maximum number of requests in flight on one connection; a connection that exceeds it is closed.
REQUESTS_IN_FLIGHT_LIMIT = 2000
# The errors that a handler or decoder raises for a malformed body.
MALFORMED_BODY_ERRORS = (ValueError, TypeError, IndexError, KeyError)


class Handler(typing.Protocol):
    """A function that answers the requests of one kind."""

    def __call__(self, sender: str, body: typing.Any, /) -> collections.abc.Awaitable[typing.Any]:
        """Answer one request of a peer.

        Args:
            sender: The node name of the peer.
            body: The body of the request, decoded and not checked; a list if an irisstand node sent it.

        Returns:
            The body of the response, of types that msgpack can encode.

        Raises:
            IrisError: The error is sent to the peer, whose call raises it.
            ValueError, TypeError, IndexError, KeyError: The body is malformed; the peer gets bad-request.
        """
        ...


class RequestServer:
    """Accepts connections of peers, and answers their requests.

    Attributes:
        counters: The metrics of this node.
        name: This node's name, for its hello.
        handlers: The request handlers by kind of request; another kind is added as an entry.
        own_incarnation_id: Returns the current incarnation id of this process.
        own_incarnation_ids: All incarnation ids for which this process accepts requests. A process that was
            falsely declared failed takes a new incarnation id but keeps its state, so the earlier ids stay
            valid. Requests of nodes of the previous version have the id "".
        listener: The listening socket, None until `open` is called.
        serving_tasks: The tasks that serve incoming connections; the values are not used.
        budget: The budget in which responses count until they are sent; None if they do not.
    """

    def __init__(self, net: network.Network, counters: counters.Counters, name: str) -> None:
        self.net = net
        self.counters = counters
        self.name = name
        self.handlers: dict[str, Handler] = {}
        self.own_incarnation_id: collections.abc.Callable[[], str] = str
        self.own_incarnation_ids = {""}
        self.listener: network.Listener | None = None
        self.budget: resource_budget.ResourceBudget | None = None
        # A dict keeps the order in which the tasks were started. The order of a set differs between runs, and
        # simulated days must be reproducible.
        self.serving_tasks: dict[asyncio.Task[typing.Any], None] = {}

    def hello(self) -> codec.Hello:
        """Return this node's hello, and accept requests for the incarnation id in it from now on."""
        self.own_incarnation_ids.add(self.own_incarnation_id())
        return codec.Hello(self.name, self.own_incarnation_id())

    def is_own_incarnation(self, incarnation_id: str) -> bool:
        """Return whether this process accepts requests for an incarnation id."""
        return incarnation_id in self.own_incarnation_ids or incarnation_id == self.own_incarnation_id()

    async def open(self, address: network.Address) -> None:
        """Listen at an address for connections of peers."""
        self.listener = await self.net.listen(address, self.serve)

    async def close(self) -> None:
        """Stop accepting connections, and close the accepted ones."""
        if self.listener is not None:
            self.listener.close()
        for task in list(self.serving_tasks):
            task.cancel()

    async def serve(self, stream: network.Stream) -> None:
        """Serve one incoming connection until it ends; each connection has a task of its own."""
        task = asyncio.current_task()
        assert task is not None, "serve() must run in an asyncio task"
        self.serving_tasks[task] = None
        try:
            await IncomingConnection(stream, self).serve()
        finally:
            self.serving_tasks.pop(task, None)

    async def respond(self, sender: str, request: codec.Request) -> codec.Response | codec.ErrorResponse:
        """Run the handler of a request; errors become responses, so that the caller need not time out."""
        try:
            return codec.Response(request.number, await self._handle(sender, request))
        except errors.IrisError as error:
            return codec.ErrorResponse(request.number, error.to_wire())
        except MALFORMED_BODY_ERRORS as error:
            self.counters.add("frames_dropped", reason="malformed-ask")
            event_log.record("malformed-ask", error=repr(error), sender=sender)
            return codec.ErrorResponse(request.number, errors.BadRequestError(repr(error)).to_wire())
        except Exception as error:
            # Any other error is a bug in this node: it is recorded, and the process keeps serving requests.
            self.counters.add("asks_crashed")
            event_log.record("ask-crashed", error=repr(error), sender=sender)
            return codec.ErrorResponse(request.number, errors.IrisError(repr(error)).to_wire())

    async def _handle(self, sender: str, request: codec.Request) -> typing.Any:
        if not self.is_own_incarnation(request.incarnation_id):
            self.counters.add("asks_for_ended_lives")
            raise errors.IncarnationEndedError(f"the request is for another incarnation of {self.name}")
        handler = self.handlers.get(request.kind)
        if handler is None:
            self.counters.add("frames_dropped", reason="unknown-kind")
            raise errors.UnknownNameError(f"there is no handler for requests of kind {request.kind}")
        return await handler(sender, request.body)


class IncomingConnection:
    """A connection that a peer has opened, and the tasks that execute its requests.

    Attributes:
        stream: The connection.
        server: The server with the handlers.
        sender: The peer's node name; "" before its hello.
        tasks: The tasks of requests in flight, by call number.
        writing: Held by the response that is being written, until the peer has read most of it.
        holding: What the responses that wait for the peer hold of the budget; None if they do not count.
    """

    def __init__(self, stream: network.Stream, server: RequestServer) -> None:
        self.stream = stream
        self.server = server
        self.sender = ""
        self.tasks: dict[int, asyncio.Task[None]] = {}
        self.writing = asyncio.Lock()
        self.holding = None if server.budget is None else server.budget.open(self)

    async def serve(self) -> None:
        """Read messages until the connection ends or one is malformed, then cancel the requests in flight."""
        try:
            while True:
                self._receive(codec.decode(await self.stream.read()))
        except (OSError, asyncio.CancelledError):
            # The connection ended, or this server is closing: nothing awaits the result of this task.
            pass
        except (errors.MalformedFrameError, *MALFORMED_BODY_ERRORS) as error:
            # After a malformed frame the start of the next one is not reliable, so the connection is closed.
            self.server.counters.add("frames_dropped", reason=codec.drop_reason(error))
        finally:
            self.stream.close()
            for task in list(self.tasks.values()):
                task.cancel()
            if self.holding is not None:
                self.holding.close()

    def is_evictable(self) -> bool:
        """Return whether responses wait for the peer to read."""
        return self.writing.locked()

    def evict(self) -> None:
        """Close the connection at once; the peer's calls fail."""
        self.stream.abort()

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
                raise errors.MalformedFrameError(f"a {type(message).__name__} message is not allowed now")

    def _start(self, request: codec.Request) -> None:
        number = request.number
        # Two requests in flight with the same number could be neither told apart nor cancelled separately.
        if number in self.tasks:
            raise errors.MalformedFrameError("the call number belongs to a request that is still in flight")
        task = asyncio.create_task(self._answer(request))
        self.tasks[number] = task
        task.add_done_callback(lambda _: self.tasks.pop(number, None))

    async def _answer(self, request: codec.Request) -> None:
        response = await self.server.respond(self.sender, request)
        frame = codec.encode(response)
        held_bytes = len(frame)
        if not self._hold(held_bytes):
            held_bytes = 0
            error = errors.LimitExceededError("this node has no memory left for the response")
            frame = codec.encode(codec.ErrorResponse(request.number, error.to_wire()))
        try:
            # If the connection has closed, the response is dropped: the caller sees the closed connection.
            with contextlib.suppress(OSError):
                # A response is written once the peer has read most of those before.
                async with self.writing:
                    self.stream.write(frame)
                    await self.stream.flush()
        finally:
            self._release(held_bytes)

    def _hold(self, length: int) -> bool:
        """Count a response until it is sent; return whether there is room for it."""
        return self.holding is None or self.holding.try_set(self.holding.size + length)

    def _release(self, length: int) -> None:
        if self.holding is not None:
            self.holding.speed.add(length)
            self.holding.try_set(max(0, self.holding.size - length))
