"""Kept connections of clients at the end of their idle time: what is handed on is answered first."""

import test_listener

HEAD = test_listener.HEAD
LONG_AGO = -1e9


def play_second_request(order):
    """Let a kept connection's second request and the end of its idle time come in this order."""
    asked = []

    async def answer(request):
        asked.append(request)
        return await test_listener.echo_body(request)

    async def scene(face):
        reader, writer = await face.connect()
        writer.write(HEAD)
        await reader.readuntil(b"whole")
        (connection,) = face.listener.server.connections
        connection._time = LONG_AGO
        for step in order:
            step(connection)
        told = await reader.read(4096)
        writer.close()
        return told, len(asked)

    return test_listener.run_with_listener(scene, answer)


def request_comes(connection):
    connection.data_received(HEAD)


def idle_time_ends(connection):
    connection.check_timeouts()


def test_request_that_comes_before_the_end_of_the_idle_time_is_answered():
    told, asked = play_second_request([request_comes, idle_time_ends])
    assert told.startswith(b"HTTP/1.1 200")
    assert asked == 2


def test_request_that_comes_after_the_end_of_the_idle_time_is_not_handed_on():
    assert play_second_request([idle_time_ends, request_comes]) == (b"", 1)
