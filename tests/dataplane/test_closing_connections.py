"""Connections that are being closed end when their clients have the answer, or take in nothing any more."""

import types

from test_listener import play, quick

from irisstand.dataplane.http import closing_connections

STALL_SECONDS = 5.0


class Transport:
    def __init__(self, left, is_closing=True):
        self.left, self.closing, self.is_aborted = left, is_closing, False

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return self.left

    def abort(self):
        self.is_aborted = True


class Connection:
    def __init__(self, transport):
        self.transport = transport


def watched(transport, takes_in, seconds):
    """Check each second while the client takes in some bytes; return when its connection was aborted."""
    clock = types.SimpleNamespace(time=0.0)
    connection = Connection(transport)
    watch = closing_connections.ClosingConnections(
        lambda: clock.time, lambda: [connection], lambda: STALL_SECONDS
    )
    for second in range(seconds):
        clock.time = float(second)
        watch.check()
        if transport.is_aborted:
            return second
        transport.left -= takes_in
    return None


def test_answer_that_a_thin_client_takes_in_slowly_is_not_cut_off_by_the_close_of_its_connection():
    assert watched(Transport(1000), takes_in=1, seconds=900) is None


def test_closing_connection_whose_client_takes_in_nothing_is_aborted_after_the_idle_limit():
    assert watched(Transport(1000), takes_in=0, seconds=20) == STALL_SECONDS + 1


def test_connection_that_is_not_being_closed_is_left_alone():
    assert watched(Transport(1000, is_closing=False), takes_in=0, seconds=20) is None


def test_sanic_gives_up_neither_a_request_nor_a_close_before_the_longest_deadline():
    async def scene(face):
        return face.listener.app.config

    longest = 86400
    config = play(scene, quick)
    assert longest < config.RESPONSE_TIMEOUT
    assert longest < config.GRACEFUL_TCP_CLOSE_TIMEOUT
