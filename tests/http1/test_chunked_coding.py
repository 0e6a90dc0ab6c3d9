"""Decoding of chunked request bodies, in whatever pieces they arrive."""

import pytest

from irisstand import errors
from irisstand.http1 import chunked_coding


def decode(data, arriving_bytes):
    """Decode a body that arrives in pieces of a size; return its content, and what is left behind its end."""
    decoder, buffer, content = chunked_coding.ChunkedDecoder(), bytearray(), b""
    for start in range(0, len(data), arriving_bytes):
        buffer += data[start : start + arriving_bytes]
        while piece := decoder.decode(buffer):
            content += piece
        if decoder.is_complete:
            return content, bytes(buffer) + data[start + arriving_bytes :]
    return content, None


@pytest.mark.parametrize("arriving_bytes", [1, 2, 3, 7, 1000])
def test_body_is_decoded_and_the_next_request_is_left(arriving_bytes):
    data = b"\r\n5\r\nwhole\r\n1;name=value\r\n!\r\n0\r\n\r\nGET /"
    assert decode(data, arriving_bytes) == (b"whole!", b"GET /")


@pytest.mark.parametrize("arriving_bytes", [1, 5, 1000])
@pytest.mark.parametrize(
    "data",
    [
        b"\r\nx\r\nwhole",
        b"\r\n-5\r\nwhole",
        b"\r\n5\nwhole",
        b"\r\n5\r\nwholeX\r\n0\r\n\r\n",
        b"\r\n5\r\nwhole\r\n0\r\nName: value\r\n\r\n",
        b"\r\n5;" + b"x" * 300,
        b"\r\n" + b"1" * 17 + b"\r\n",
    ],
)
def test_malformed_body_is_refused(data, arriving_bytes):
    with pytest.raises(errors.BadRequestError):
        decode(data, arriving_bytes)


def test_body_without_its_end_is_not_complete():
    assert decode(b"\r\n5\r\nwhole\r\n0\r\n", 1) == (b"whole", None)


def test_one_call_decodes_a_limited_number_of_chunks():
    buffer = bytearray(b"\r\n1\r\nx" * 10_000)
    assert len(chunked_coding.ChunkedDecoder().decode(buffer)) == chunked_coding.CHUNKS_PER_CALL
