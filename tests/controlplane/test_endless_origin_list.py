"""A platform whose answer has no end."""

import asyncio

import pytest

from irisstand import errors
from irisstand.controlplane.singletons import origin_source

PIECE = b"100000\r\n" + b" " * 0x100000 + b"\r\n"


def test_answer_without_end_is_refused_before_it_fills_the_memory():
    sent = []

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
        try:
            for _ in range(1000):
                writer.write(PIECE)
                await writer.drain()
                sent.append(len(PIECE))
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        with pytest.raises(errors.BadRequestError):
            await origin_source.http_get(f"http://{host}:{port}/origins", timeout_seconds=20)
        server.close()

    asyncio.run(scenario())
    assert sum(sent) < 4 * origin_source.ANSWER_LIMIT_BYTES
