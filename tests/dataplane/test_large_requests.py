"""Large requests on real sockets: sent to their origin while they arrive, once; reset if they end early."""

import asyncio
from unittest import mock

import pytest
import scripted_transport
import test_exchange

from irisstand import errors
from irisstand.dataplane.http import request_body
from irisstand.dataplane.upstream import connector, streamed_body
from irisstand.http1 import body_source, chunked_coding
from irisstand.simulator import virtual_time

MB = 1_000_000


class Upload:
    """The body of a request that arrives in pieces."""

    def __init__(self, pieces, length):
        self.pieces = iter(pieces)
        self.body = streamed_body.StreamedBody(b"beginning", length, self.receive)

    async def receive(self):
        await asyncio.sleep(0)
        piece = next(self.pieces, b"")
        if isinstance(piece, Exception):
            raise piece
        return piece


@pytest.mark.parametrize("is_chunked", [False, True])
def test_large_request_is_sent_while_it_arrives(is_chunked):
    received = []

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        if is_chunked:
            assert b"transfer-encoding: chunked" in head
            while size := int(await reader.readline(), 16):
                received.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            received.append(await reader.readexactly(len("beginning") + 3 * MB))
        writer.write(test_exchange.answer("a", b"done"))
        writer.close()

    async def scenario():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        connection = await connector.connector(test_exchange.ID)(*server.sockets[0].getsockname())
        length = None if is_chunked else len("beginning") + 3 * MB
        upload = Upload([b"x" * MB] * 3, length)
        found = await connection.send("POST", b"/x", [("host", "h")], upload.body, "a")
        connection.close()
        server.close()
        return found.body, upload.body.is_complete

    assert asyncio.run(scenario()) == (b"done", True)
    assert b"".join(received) == b"beginning" + b"x" * 3 * MB


def test_request_whose_client_stops_sending_resets_the_connection_to_its_origin():
    ends = []

    async def origin(number, reader, writer):
        try:
            await reader.readexactly(5 * MB)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            ends.append(type(error).__name__)
            raise

    async def scenario(connection):
        upload = Upload([b"x" * MB, ValueError("the client stopped")], 5 * MB)
        with pytest.raises(errors.OriginFailedError):
            await connection.send("POST", b"/x", [("host", "h")], upload.body, "a")
        await asyncio.sleep(0.1)
        return connection.may_have_sent, connection.is_usable(), str(upload.body.error)

    found = test_exchange.run_with_origin(origin, scenario)
    assert found == (True, False, "the client stopped")
    assert len(ends) == 1


def test_answer_before_the_end_of_its_request_leaves_no_connection_for_the_next():
    async def origin(number, reader, writer):
        writer.write(test_exchange.answer("a", b"refused"))
        await asyncio.sleep(1)

    async def scenario(connection):
        upload = Upload([b"x" * body_source.HELD_BODY_BYTES] * 3, 500 * MB)
        found = await connection.send("POST", b"/x", [("host", "h")], upload.body, "a")
        return found.body, connection.is_usable()

    assert test_exchange.run_with_origin(origin, scenario) == (b"refused", False)


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("path", ["/writes/1", "/reads/1", "/objects/1"])
def test_request_that_ends_before_its_body_came_is_not_read_on_for_its_origin(path, is_chunked):
    """Guards against UNASKED: an attempt that reads on, beside others, after its client has been answered."""
    pieces_read = []

    async def receive():
        # Past the route's timeout of 2 s.
        await asyncio.sleep(2.5)
        pieces_read.append(b"rest")
        return b"rest"

    async def scenario():
        harness = scripted_transport.Harness(lambda request_id: [])
        length = None if is_chunked else 1000
        body = streamed_body.StreamedBody(b"beginning", length, receive)
        with pytest.raises(errors.IrisError) as rejection:
            await harness.ask(path, "POST", body=body)
        await asyncio.sleep(10)
        return rejection.value.status, [transport.is_reset for transport in harness.transports]

    assert virtual_time.run(scenario()) == (504, [True])
    assert pieces_read == []


class ClientStream:
    """Sanic's stream of a request whose body has the given pieces; others may read from it, too."""

    def __init__(self, pieces, length):
        self.pieces = list(pieces)
        self.request_body = True if length else "chunked"
        self.request_bytes = length or 0
        self.protocol = mock.Mock()
        self.decoder = chunked_coding.ChunkedDecoder()
        self.decoder.declared_bytes = sum(map(len, pieces))

    async def read(self):
        if self.pieces:
            return self.pieces.pop(0)
        self.request_body = None
        self.decoder.is_complete = True
        return None


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize("lost", [0, 1, 2])
def test_body_of_which_others_took_a_piece_is_not_complete(lost, is_chunked):
    """Guards against UNASKED: an upload with missing pieces that is closed as a whole one."""

    async def scenario():
        pieces = [b"x" * (body_source.HELD_BODY_BYTES + 1), b"second", b"third"]
        stream = ClientStream(pieces, None if is_chunked else sum(map(len, pieces)))
        body = await request_body.RequestBodyReader(stream, 100 * MB, 5.0).read()
        for _ in range(lost):
            await stream.read()
        found = []
        while piece := await body.read():
            found.append(piece)
        return found == pieces, await body.read()

    if lost:
        with pytest.raises(request_body.IncompleteRequestError):
            asyncio.run(scenario())
    else:
        assert asyncio.run(scenario()) == (True, b"")
