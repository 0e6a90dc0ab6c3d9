"""Asking peers and answering them: one connection and one reading task for each pair."""

import asyncio
import collections.abc
import contextlib
import typing

from irisstand import counters as counting
from irisstand import errors, event_log
from irisstand.transport import codec, network

Handler = collections.abc.Callable[[str, list], collections.abc.Awaitable[tuple]]
ASKS_LIMIT = 2000
# Seconds without a word from the other end, after which an unanswered ask puts the connection in doubt.
SILENCE = 0.5


class IncarnationEndedError(errors.NotSentError):
    """Certain: it was not carried out. Meant for an earlier life of whoever answers at the address now."""

    code, remedy = "life-ended", "ask another colleague; the one that was meant has ended"


class Link:
    """An outgoing connection that has been confirmed for by the peer's own hello."""

    def __init__(self, stream: network.Stream, hello: codec.Hello, counters: counting.Counters) -> None:
        self.counters = counters
        self.stream, self.name, self.life = stream, hello.name, hello.life
        self.waiting: dict[int, asyncio.Future] = {}
        self.number = 0
        self.open = True
        self.retired = False
        self.heard_at = asyncio.get_running_loop().time()
        self.reader: asyncio.Task | None = None

    async def read_on(self) -> None:
        try:
            while not (self.retired and not self.waiting):
                message = codec.decode(await self.stream.read())
                self.heard_at = asyncio.get_running_loop().time()
                if not isinstance(message, codec.Result | codec.Fault):
                    raise errors.MalformedFrameError("neither a result nor a fault")
                # A number is never used again on a link, so what was withdrawn finds nobody here.
                future = self.waiting.pop(message.number, None)
                if future is not None and not future.done():
                    if isinstance(message, codec.Result):
                        future.set_result(message.body)
                    else:
                        future.set_exception(errors.from_tuple(message.parts))
        except OSError:
            pass
        except errors.MalformedFrameError as error:
            self.counters.add("frames_dropped", reason=type(error).__name__)
        finally:
            self.shut()

    def shut(self) -> None:
        self.open = False
        self.stream.close()
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(errors.UnansweredError("the connection was lost under the request"))
        self.waiting.clear()


class Transport:
    """All talk with peers. `handlers` is the registry: a message kind is added by an entry."""

    def __init__(self, net: network.Network, counters: counting.Counters, name: str) -> None:
        self.net, self.counters, self.name = net, counters, name
        # This process's life, as SWIM has it. One that was falsely declared failed gets a new one, and still
        # knows what it did in those that it told; peers of the version before mean none.
        self.own_life: collections.abc.Callable[[], str] = str
        self.lives = {""}
        self.handlers: dict[str, Handler] = {}
        self.links: dict[network.Address, Link] = {}
        self.dialling: dict[network.Address, asyncio.Lock] = {}
        self.serving: dict[asyncio.Task, None] = {}
        self.server: typing.Any = None

    def hello(self) -> codec.Hello:
        self.lives.add(self.own_life())
        return codec.Hello(self.name, self.own_life())

    def is_meant(self, life: str) -> bool:
        return life in self.lives or life == self.own_life()

    async def open(self, address: network.Address) -> None:
        self.server = await self.net.listen(address, self.serve)

    async def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for link in list(self.links.values()):
            link.shut()
            if link.reader is not None:
                link.reader.cancel()
        for task in list(self.serving):
            task.cancel()

    async def dial(self, address: network.Address, name: str) -> Link:
        """A live link to that very peer; the address alone proves nothing."""
        lock = self.dialling.setdefault(address, asyncio.Lock())
        async with lock:
            link = self.links.get(address)
            if link is not None and link.open and not link.retired and (not name or link.name == name):
                return link
            stream = await self.net.connect(address)
            try:
                stream.write(codec.encode(self.hello()))
                hello = codec.decode(await stream.read())
                if not isinstance(hello, codec.Hello) or (name and hello.name != name):
                    raise errors.NotSentError(f"{address} is not {name} any more")
            except BaseException:
                stream.close()
                raise
            link = Link(stream, hello, self.counters)
            link.reader = asyncio.create_task(link.read_on())
            self.links[address] = link
            return link

    async def ask(
        self, address: network.Address, name: str, kind: str, body: tuple, patience: float, life: str = ""
    ) -> typing.Any:
        """The peer's result; Unreached if it certainly never left, Unanswered if it may have.

        With `life`, only that life of the peer may answer.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + patience
        address = (address[0], address[1])
        try:
            async with asyncio.timeout(patience):
                link = await self.dial(address, name)
        except (OSError, TimeoutError, errors.MalformedFrameError, ValueError, TypeError) as error:
            raise errors.NotSentError(f"{name or address}: {type(error).__name__}") from None
        # Nothing is awaited between this check and the write, so a closed link is known as such.
        if not link.open:
            raise errors.NotSentError(f"{name or address}: the connection was closed")
        link.number += 1
        number = link.number
        future = loop.create_future()
        link.waiting[number] = future
        meant = (life or link.life) if link.life else ""
        try:
            link.stream.write(codec.encode(codec.Ask(number, kind, body, meant)))
        except OSError:
            link.waiting.pop(number, None)
            link.shut()
            raise errors.NotSentError(f"{name or address}: the connection was closed") from None
        self.counters.add("frames_sent", kind=kind)
        try:
            async with asyncio.timeout_at(deadline):
                await link.stream.flush()
                return await future
        except TimeoutError:
            self.withdraw(link, number)
            # A machine that lost its power never closes a connection. What is silent gets no new asks,
            # while those already on it may still be answered.
            if patience >= SILENCE and link.heard_at < deadline - patience:
                self.retire(link)
            raise errors.UnansweredError(f"{name or address} gave no result in time") from None
        except OSError:
            raise errors.UnansweredError(f"{name or address}: the connection broke") from None
        except asyncio.CancelledError:
            self.withdraw(link, number)
            raise

    def withdraw(self, link: Link, number: int) -> None:
        """Queued work whose asker has gone is to be dropped at the other end."""
        link.waiting.pop(number, None)
        if link.open:
            # Over a closed connection the other end drops its work by itself.
            with contextlib.suppress(OSError):
                link.stream.write(codec.encode(codec.Withdraw(number)))

    def retire(self, link: Link) -> None:
        link.retired = True
        self.counters.add("links_retired")
        if not link.waiting:
            link.shut()

    async def serve(self, stream: network.Stream) -> None:
        """One task for each incoming connection."""
        asks: dict[int, asyncio.Task] = {}
        task = asyncio.current_task()
        self.serving[task] = None
        sender = ""
        try:
            while True:
                message = codec.decode(await stream.read())
                if isinstance(message, codec.Hello):
                    sender = message.name
                    stream.write(codec.encode(self.hello()))
                elif isinstance(message, codec.Ask) and sender and len(asks) < ASKS_LIMIT:
                    # A number that repeats while its ask is under way could not be withdrawn or told apart.
                    if message.number in asks:
                        raise errors.MalformedFrameError("a number that is in use")
                    ask = asyncio.create_task(self.answer(stream, sender, message))
                    asks[message.number] = ask
                    ask.add_done_callback(lambda _, number=message.number: asks.pop(number, None))
                elif isinstance(message, codec.Withdraw):
                    if message.number in asks:
                        asks[message.number].cancel()
                else:
                    raise errors.MalformedFrameError(f"{type(message).__name__} makes no sense here")
        except (OSError, asyncio.CancelledError):
            pass
        except (errors.MalformedFrameError, ValueError, TypeError, IndexError, KeyError) as error:
            # A malformed stream cannot be trusted to be in step again, so it is closed and counted.
            self.counters.add("frames_dropped", reason=type(error).__name__)
        finally:
            self.serving.pop(task, None)
            stream.close()
            for ask in list(asks.values()):
                ask.cancel()

    async def answer(self, stream: network.Stream, sender: str, ask: codec.Ask) -> None:
        number = ask.number
        try:
            if not self.is_meant(ask.life):
                self.counters.add("asks_for_ended_lives")
                raise IncarnationEndedError(f"{self.name} is in another life")
            handler = self.handlers.get(ask.kind)
            if handler is None:
                self.counters.add("frames_dropped", reason="unknown-kind")
                raise errors.UnknownNameError(f"no handler for {ask.kind}")
            reply: codec.Message = codec.Result(number, await handler(sender, ask.body))
        except errors.IrisError as error:
            reply = codec.Fault(number, error.as_tuple())
        except (ValueError, TypeError, IndexError, KeyError) as error:
            self.counters.add("frames_dropped", reason="malformed-ask")
            event_log.note("malformed-ask", error=repr(error), sender=sender)
            reply = codec.Fault(number, errors.BadRequestError(repr(error)).as_tuple())
        except Exception as error:
            # The asker must not wait for its deadline because of a fault of this node's own.
            self.counters.add("asks_crashed")
            event_log.note("ask-crashed", error=repr(error), sender=sender)
            reply = codec.Fault(number, errors.IrisError(repr(error)).as_tuple())
        try:
            stream.write(codec.encode(reply))
            await stream.flush()
        except OSError:
            pass
