"""Client connections at their idle timeout: a request that was accepted is answered before they close."""

import test_listener

HEAD = test_listener.HEAD
LONG_AGO = -1e9


def play_second_request(order):
    """Apply the steps in `order` to a kept-alive connection that has carried one request.

    Return the bytes that the client receives then, and the number of requests that the node handled.
    """
    asked = []

    async def answer(request):
        asked.append(request)
        return await test_listener.echo_body(request)

    async def scenario(edge):
        reader, writer = await edge.connect()
        writer.write(HEAD)
        await reader.readuntil(b"whole")
        (connection,) = edge.listener.server.connections
        connection._time = LONG_AGO
        for step in order:
            step(connection)
        received = await reader.read(4096)
        writer.close()
        return received, len(asked)

    return test_listener.run_with_listener(scenario, answer)


def request_comes(connection):
    connection.data_received(HEAD)


def idle_time_ends(connection):
    connection.check_timeouts()


def test_request_that_comes_before_the_end_of_the_idle_time_is_answered():
    received, asked = play_second_request([request_comes, idle_time_ends])
    assert received.startswith(b"HTTP/1.1 200")
    assert asked == 2


def test_request_that_comes_after_the_end_of_the_idle_time_is_not_handed_on():
    assert play_second_request([idle_time_ends, request_comes]) == (b"", 1)
