"""A closing connection ends when its client has read the response, or reads nothing for too long."""

import types

from test_listener import echo_body, run_with_listener

from irisstand.dataplane.http import closing_connections

STALL_SECONDS = 5.0


class Transport:
    def __init__(self, unsent_bytes, is_closing=True):
        self.unsent_bytes, self.closing, self.is_aborted = unsent_bytes, is_closing, False

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return self.unsent_bytes

    def abort(self):
        self.is_aborted = True


class Connection:
    def __init__(self, transport):
        self.transport = transport


def seconds_until_abort(transport, bytes_read, seconds):
    """Check a connection once a second while its client reads; return the second in which it was aborted."""
    clock = types.SimpleNamespace(time=0.0)
    connection = Connection(transport)
    closing = closing_connections.ClosingConnections(
        lambda: clock.time, lambda: [connection], lambda: STALL_SECONDS
    )
    for second in range(seconds):
        clock.time = float(second)
        closing.check()
        if transport.is_aborted:
            return second
        transport.unsent_bytes -= bytes_read
    return None


def test_response_that_a_client_reads_slowly_is_not_aborted_by_the_close_of_its_connection():
    assert seconds_until_abort(Transport(1000), bytes_read=1, seconds=900) is None


def test_closing_connection_whose_client_reads_nothing_is_aborted_after_the_idle_limit():
    assert seconds_until_abort(Transport(1000), bytes_read=0, seconds=20) == STALL_SECONDS + 1


def test_connection_that_is_not_being_closed_is_left_alone():
    assert seconds_until_abort(Transport(1000, is_closing=False), bytes_read=0, seconds=20) is None


def test_sanic_gives_up_neither_a_request_nor_a_close_before_the_longest_deadline():
    async def scenario(harness):
        return harness.listener.app.config

    longest = 86400
    config = run_with_listener(scenario, echo_body)
    assert longest < config.RESPONSE_TIMEOUT
    assert longest < config.GRACEFUL_TCP_CLOSE_TIMEOUT
