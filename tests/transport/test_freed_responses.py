"""A response of a peer belongs to its caller alone: the connection keeps none while it waits for the next."""

import asyncio

from irisstand import counters
from irisstand.transport import codec, peer_connection


class Body(bytes):
    """The body of a response, which records when it is freed."""

    freed = 0

    def __del__(self):
        Body.freed += 1


class OneResponseStream:
    """A stream on which one response arrives, and then nothing until the connection ends."""

    def __init__(self):
        self.frames = [b"response"]
        self.is_waiting = asyncio.Event()
        self.has_ended = asyncio.Event()

    def write(self, payload):
        pass

    def close(self):
        self.has_ended.set()

    async def read(self):
        if self.frames:
            return self.frames.pop()
        self.is_waiting.set()
        await self.has_ended.wait()
        raise ConnectionResetError


def test_connection_that_waits_for_its_next_response_keeps_none(monkeypatch):
    async def scenario():
        stream = OneResponseStream()
        connection = peer_connection.PeerConnection(stream, codec.Hello("peer", "1"), counters.Counters())
        call = connection.send("get", (), "1")
        number = call.number
        monkeypatch.setattr(codec, "decode", lambda frame: codec.Response(number, Body(b"x" * 100_000)))
        reading = asyncio.create_task(connection.read_responses())
        await stream.is_waiting.wait()
        assert len(await call.response) == 100_000
        freed_before = Body.freed
        del call
        assert Body.freed == freed_before + 1
        connection.close()
        await reading

    asyncio.run(scenario())
