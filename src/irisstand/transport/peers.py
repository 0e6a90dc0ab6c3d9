"""Asking peers and answering them: one connection and one reading task for each pair."""

import asyncio
import collections.abc
import contextlib
import typing

from irisstand import counters as counting
from irisstand import errors, event_log
from irisstand.transport import codec, network

Handler = collections.abc.Callable[[str, list], collections.abc.Awaitable[tuple]]
REQUESTS_IN_FLIGHT_LIMIT = 2000
# Seconds without a word from the other end, after which an unanswered ask puts the connection in doubt.
UNRESPONSIVE_SECONDS = 0.5


class IncarnationEndedError(errors.NotSentError):
    """Certain: it was not carried out. Meant for an earlier life of whoever answers at the address now."""

    code, remedy = "life-ended", "ask another colleague; the one that was meant has ended"


class PeerConnection:
    """An outgoing connection that has been confirmed for by the peer's own hello."""

    def __init__(self, stream: network.Stream, hello: codec.Hello, counters: counting.Counters) -> None:
        self.counters = counters
        self.stream, self.name, self.incarnation_id = stream, hello.name, hello.incarnation_id
        self.pending: dict[int, asyncio.Future] = {}
        self.number = 0
        self.open = True
        self.closes_when_idle = False
        self.last_received_at = asyncio.get_running_loop().time()
        self.reader: asyncio.Task | None = None

    def is_usable_for(self, name: str) -> bool:
        """Whether new requests to the peer `name` may use this connection; "" stands for any peer."""
        return self.open and not self.closes_when_idle and (not name or self.name == name)

    async def read_on(self) -> None:
        try:
            while not (self.closes_when_idle and not self.pending):
                message = codec.decode(await self.stream.read())
                self.last_received_at = asyncio.get_running_loop().time()
                if not isinstance(message, codec.Response | codec.ErrorResponse):
                    raise errors.MalformedFrameError("neither a result nor a fault")
                # A number is never used again on a link, so what was withdrawn finds nobody here.
                future = self.pending.pop(message.number, None)
                if future is not None and not future.done():
                    if isinstance(message, codec.Response):
                        future.set_result(message.body)
                    else:
                        future.set_exception(errors.from_wire(message.error))
        except OSError:
            pass
        except errors.MalformedFrameError as error:
            self.counters.add("frames_dropped", reason=codec.drop_reason(error))
        finally:
            self.close()

    def close(self) -> None:
        self.open = False
        self.stream.close()
        for future in self.pending.values():
            if not future.done():
                future.set_exception(errors.UnansweredError("the connection was lost under the request"))
        self.pending.clear()


class Transport:
    """All talk with peers. `handlers` is the registry: a message kind is added by an entry."""

    def __init__(self, net: network.Network, counters: counting.Counters, name: str) -> None:
        self.net, self.counters, self.name = net, counters, name
        # This process's life, as SWIM has it. One that was falsely declared failed gets a new one, and still
        # knows what it did in those that it told; peers of the version before mean none.
        self.own_incarnation_id: collections.abc.Callable[[], str] = str
        self.own_incarnation_ids = {""}
        self.handlers: dict[str, Handler] = {}
        self.connections: dict[network.Address, PeerConnection] = {}
        self.connect_locks: dict[network.Address, asyncio.Lock] = {}
        self.serving_tasks: dict[asyncio.Task, None] = {}
        self.server: typing.Any = None

    def hello(self) -> codec.Hello:
        self.own_incarnation_ids.add(self.own_incarnation_id())
        return codec.Hello(self.name, self.own_incarnation_id())

    def is_own_incarnation(self, incarnation_id: str) -> bool:
        return incarnation_id in self.own_incarnation_ids or incarnation_id == self.own_incarnation_id()

    async def open(self, address: network.Address) -> None:
        self.server = await self.net.listen(address, self.serve)

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections.values()):
            connection.close()
            if connection.reader is not None:
                connection.reader.cancel()
        for task in list(self.serving_tasks):
            task.cancel()

    async def connect(self, address: network.Address, name: str) -> PeerConnection:
        """A live link to that very peer; the address alone proves nothing."""
        lock = self.connect_locks.setdefault(address, asyncio.Lock())
        async with lock:
            connection = self.connections.get(address)
            if (
                connection is not None
                and connection.open
                and not connection.closes_when_idle
                and (not name or connection.name == name)
            ):
                return connection
            stream = await self.net.connect(address)
            try:
                stream.write(codec.encode(self.hello()))
                hello = codec.decode(await stream.read())
                if not isinstance(hello, codec.Hello) or (name and hello.name != name):
                    raise errors.NotSentError(f"{address} is not {name} any more")
            except BaseException:
                stream.close()
                raise
            connection = PeerConnection(stream, hello, self.counters)
            connection.reader = asyncio.create_task(connection.read_on())
            self.connections[address] = connection
            return connection

    async def call(
        self,
        address: network.Address,
        name: str,
        kind: str,
        body: tuple,
        timeout_seconds: float,
        incarnation_id: str = "",
    ) -> typing.Any:
        """The peer's result; Unreached if it certainly never left, Unanswered if it may have.

        With `life`, only that life of the peer may answer.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_seconds
        address = (address[0], address[1])
        try:
            async with asyncio.timeout(timeout_seconds):
                connection = await self.connect(address, name)
        except (OSError, TimeoutError, errors.MalformedFrameError, ValueError, TypeError) as error:
            raise errors.NotSentError(f"{name or address}: {codec.drop_reason(error)}") from None
        # Nothing is awaited between this check and the write, so a closed link is known as such.
        if not connection.open:
            raise errors.NotSentError(f"{name or address}: the connection was closed")
        connection.number += 1
        number = connection.number
        future = loop.create_future()
        connection.pending[number] = future
        meant = (incarnation_id or connection.incarnation_id) if connection.incarnation_id else ""
        try:
            connection.stream.write(codec.encode(codec.Request(number, kind, body, meant)))
        except OSError:
            connection.pending.pop(number, None)
            connection.close()
            raise errors.NotSentError(f"{name or address}: the connection was closed") from None
        self.counters.add("frames_sent", kind=kind)
        try:
            async with asyncio.timeout_at(deadline):
                await connection.stream.flush()
                return await future
        except TimeoutError:
            self.cancel(connection, number)
            # A machine that lost its power never closes a connection. What is silent gets no new asks,
            # while those already on it may still be answered.
            if (
                timeout_seconds >= UNRESPONSIVE_SECONDS
                and connection.last_received_at < deadline - timeout_seconds
            ):
                self.close_when_idle(connection)
            raise errors.UnansweredError(f"{name or address} gave no result in time") from None
        except OSError:
            raise errors.UnansweredError(f"{name or address}: the connection broke") from None
        except asyncio.CancelledError:
            self.cancel(connection, number)
            raise

    def cancel(self, connection: PeerConnection, number: int) -> None:
        """Queued work whose asker has gone is to be dropped at the other end."""
        connection.pending.pop(number, None)
        if connection.open:
            # Over a closed connection the other end drops its work by itself.
            with contextlib.suppress(OSError):
                connection.stream.write(codec.encode(codec.Cancel(number)))

    def close_when_idle(self, connection: PeerConnection) -> None:
        connection.closes_when_idle = True
        self.counters.add("links_retired")
        if not connection.pending:
            connection.close()

    async def serve(self, stream: network.Stream) -> None:
        """One task for each incoming connection."""
        asks: dict[int, asyncio.Task] = {}
        task = asyncio.current_task()
        self.serving_tasks[task] = None
        sender = ""
        try:
            while True:
                message = codec.decode(await stream.read())
                if isinstance(message, codec.Hello):
                    sender = message.name
                    stream.write(codec.encode(self.hello()))
                elif isinstance(message, codec.Request) and sender and len(asks) < REQUESTS_IN_FLIGHT_LIMIT:
                    # A number that repeats while its ask is under way could not be withdrawn or told apart.
                    if message.number in asks:
                        raise errors.MalformedFrameError("a number that is in use")
                    ask = asyncio.create_task(self.answer(stream, sender, message))
                    asks[message.number] = ask
                    ask.add_done_callback(lambda _, number=message.number: asks.pop(number, None))
                elif isinstance(message, codec.Cancel):
                    if message.number in asks:
                        asks[message.number].cancel()
                else:
                    raise errors.MalformedFrameError(f"{type(message).__name__} makes no sense here")
        except (OSError, asyncio.CancelledError):
            pass
        except (errors.MalformedFrameError, ValueError, TypeError, IndexError, KeyError) as error:
            # A malformed stream cannot be trusted to be in step again, so it is closed and counted.
            self.counters.add("frames_dropped", reason=codec.drop_reason(error))
        finally:
            self.serving_tasks.pop(task, None)
            stream.close()
            for ask in list(asks.values()):
                ask.cancel()

    async def answer(self, stream: network.Stream, sender: str, ask: codec.Request) -> None:
        number = ask.number
        try:
            if not self.is_own_incarnation(ask.incarnation_id):
                self.counters.add("asks_for_ended_lives")
                raise IncarnationEndedError(f"{self.name} is in another life")
            handler = self.handlers.get(ask.kind)
            if handler is None:
                self.counters.add("frames_dropped", reason="unknown-kind")
                raise errors.UnknownNameError(f"no handler for {ask.kind}")
            reply: codec.Message = codec.Response(number, await handler(sender, ask.body))
        except errors.IrisError as error:
            reply = codec.ErrorResponse(number, error.to_wire())
        except (ValueError, TypeError, IndexError, KeyError) as error:
            self.counters.add("frames_dropped", reason="malformed-ask")
            event_log.record("malformed-ask", error=repr(error), sender=sender)
            reply = codec.ErrorResponse(number, errors.BadRequestError(repr(error)).to_wire())
        except Exception as error:
            # The asker must not wait for its deadline because of a fault of this node's own.
            self.counters.add("asks_crashed")
            event_log.record("ask-crashed", error=repr(error), sender=sender)
            reply = codec.ErrorResponse(number, errors.IrisError(repr(error)).to_wire())
        try:
            stream.write(codec.encode(reply))
            await stream.flush()
        except OSError:
            pass
