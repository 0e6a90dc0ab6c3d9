"""A request whose body is held whole keeps no second copy of what has arrived."""

import asyncio
import types

from irisstand.http1 import held_request

PIECE_BYTES = 65_536


class Piece(bytes):
    """A piece of a body that records when it is freed."""

    freed = 0

    def __del__(self):
        Piece.freed += 1


class StalledStream:
    """A request's stream whose client sends a number of pieces, and then nothing until `go_on` is set."""

    def __init__(self, pieces):
        self.request_body = True
        self.pieces = pieces
        self.is_waiting = asyncio.Event()
        self.go_on = asyncio.Event()

    async def read(self):
        if self.pieces:
            self.pieces -= 1
            return Piece(b"x" * PIECE_BYTES)
        self.is_waiting.set()
        await self.go_on.wait()
        self.request_body = None
        return None

    async def __aiter__(self):
        while self.request_body:
            piece = await self.read()
            if piece:
                yield piece


def make_request(stream):
    app = types.SimpleNamespace(ctx=types.SimpleNamespace())
    request = held_request.HeldRequest(b"/amendments", {}, "1.1", "POST", None, app)
    request.stream = stream
    return request


def test_request_that_waits_for_the_rest_of_its_body_keeps_no_piece_beside_it():
    async def scenario():
        freed_before = Piece.freed
        stream = StalledStream(pieces=3)
        request = make_request(stream)
        receiving = asyncio.create_task(request.receive_body())
        await stream.is_waiting.wait()
        freed = Piece.freed - freed_before
        stream.go_on.set()
        await receiving
        assert freed == 3
        assert request.body == b"x" * (3 * PIECE_BYTES)

    asyncio.run(scenario())
