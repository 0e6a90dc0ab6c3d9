"""Large answers as clients get them on sockets: the last chunk comes with a whole body alone."""

import asyncio

import pytest
import scripted_transport
import strict_edge
from scripted_transport import in_chunks, split

from irisstand.http1 import body_source

BODY = b"0123456789abcdef" * (body_source.HELD_BODY_BYTES // 16 + 300)
LAST_CHUNK = b"0\r\n\r\n"
ROUTES = [("GET", "/reads/1"), ("POST", "/writes/1"), ("GET", "/objects/1")]


class ScriptedEdge(strict_edge.Edge):
    """An edge whose origins answer by `answer(request id)`."""

    def __init__(self, answer):
        self.answer = answer

    async def make_harness(self, settings):
        return scripted_transport.Harness(self.answer, settings=settings)

    async def stop(self):
        await self.listener.stop_listening()
        await self.context.close()


def body_for(answer, method, path):
    """Return what a client gets behind the head of its answer, until the connection closes."""

    async def scenario():
        edge = await ScriptedEdge(answer).start()
        request = f"{method} {path} HTTP/1.1\r\nhost: h\r\nx-request-id: a\r\nconnection: close\r\n\r\n"
        try:
            return await edge.send(request.encode())
        finally:
            await edge.stop()

    head, _, body = asyncio.run(scenario()).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    return body


def decode(chunks):
    """Return the content of whole chunks."""
    content = bytearray()
    while chunks:
        size, _, chunks = chunks.partition(b"\r\n")
        content += chunks[: int(size, 16)]
        chunks = chunks[int(size, 16) + 2 :]
    return bytes(content)


@pytest.mark.parametrize("read_bytes", [1 << 30, 64 * 1024])
@pytest.mark.parametrize(("method", "path"), ROUTES)
def test_client_gets_a_chunked_answer_of_a_little_over_the_limit_whole(method, path, read_bytes):
    """Guards against MIXED: a complete success with the origin's seal and no body (review case 7)."""
    body = body_for(lambda found: split(in_chunks(found, BODY), read_bytes), method, path)
    assert body.endswith(LAST_CHUNK)
    assert decode(body) == BODY


@pytest.mark.parametrize(("method", "path"), ROUTES)
def test_client_of_an_answer_that_is_reset_gets_no_last_chunk(method, path):
    """Guards against MIXED: an answer that ends early and looks complete."""

    def answer(found):
        whole = in_chunks(found, BODY * 2)
        return [*split(whole[: len(BODY) + 300_000], 64 * 1024), ConnectionResetError("reset")]

    assert not body_for(answer, method, path).endswith(LAST_CHUNK)
