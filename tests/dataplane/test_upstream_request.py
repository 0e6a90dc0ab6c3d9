"""Each request that is sent to an origin is a single HTTP message, whichever client or node it came from."""

import direct_edge
import pytest
import smuggling_places

from irisstand import errors
from irisstand.dataplane.upstream import exchange, upstream_request

PROPER = (("host", "h"), ("x-note", "a"))


def encoded(method="GET", target=b"/reads/1", headers=PROPER, body=b""):
    return upstream_request.encode(method, target, headers, body)


@pytest.mark.parametrize("code", range(256))
def test_no_character_of_a_request_is_written_that_could_end_a_line(code):
    """Guards against UNASKED: the encoder is the last check of bytes that clients and other nodes sent."""
    character, data = chr(code), bytes([code])
    places = {
        "method": ({"method": f"GE{character}T"}, smuggling_places.TOKEN),
        "target": ({"target": b"/reads/" + data}, smuggling_places.VISIBLE),
        "name": ({"headers": [("host", "h"), (f"x{character}", "a")]}, smuggling_places.TOKEN),
        "start of a name": ({"headers": [("host", "h"), (f"{character}x", "a")]}, smuggling_places.TOKEN),
        "value": ({"headers": [("host", "h"), ("x", f"a{character}b")]}, smuggling_places.VALUE),
        "host": ({"headers": [("host", f"h{character}")]}, smuggling_places.VALUE),
    }
    for place, (fields, accepted) in places.items():
        # A colon ends the header name and starts the value, which can't add another line.
        if code in accepted or (character == ":" and place == "name"):
            assert encoded(**fields).count(b"\r\n\r\n") == 1
        else:
            with pytest.raises(errors.BadRequestError):
                encoded(**fields)


def test_a_character_that_is_no_byte_is_refused():
    with pytest.raises(errors.BadRequestError):
        encoded(headers=[("x", "\u0142")])


def test_a_body_follows_its_head():
    assert encoded("POST", b"/writes/1", PROPER, b"a\r\n\r\nb").endswith(
        b"\r\ncontent-length: 6\r\n\r\na\r\n\r\nb"
    )


@pytest.mark.parametrize(
    ("path", "method"), [("/objects/1", "GET"), ("/reads/1", "GET"), ("/writes/1", "POST")]
)
def test_a_node_that_lets_a_line_break_by_has_it_refused_at_the_wire(path, method):
    """Guards against UNASKED in requests from a holder, which another node's listener accepted."""
    connections = []

    class Transport:
        """A transport that records written bytes, so that the test can check that there are none."""

        def __init__(self):
            self.written = b""

        def write(self, data):
            self.written += data

        def is_closing(self):
            return False

        def close(self):
            pass

    async def connect(host, port):
        connection = exchange.Exchange("x-request-id")
        connection.connection_made(Transport())
        connections.append(connection)
        return connection

    async def scenario(harness):
        pool = harness.direct_node.endpoints
        pool.follow_origin_list()
        for endpoint in pool.endpoints.values():
            endpoint.connect = connect
        with pytest.raises(errors.IrisError) as caught:
            await harness.ask(path, method, x_note="a\n\nPOST /writes/smuggled HTTP/1.1\n")
        return caught.value.status

    assert direct_edge.run_scenario(scenario) == 400
    assert [connection.transport.written for connection in connections if connection.transport.written] == []
