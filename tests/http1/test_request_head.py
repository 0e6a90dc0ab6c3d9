"""Request heads: contradictory headers and bytes that the grammar forbids are rejected."""

import pytest
import smuggling_places

from irisstand import errors
from irisstand.http1 import grammar, request_head

LINE = b"POST /writes/1 HTTP/1.1\r\n"
AMBIGUOUS = [
    (b"Content-Length: 5\r\nContent-Length: 6", "two different lengths"),
    (b"Content-Length: 5\r\nContent-Length: 5", "the same length twice"),
    (b"Content-Length: 5, 5", "a list of lengths"),
    (b"Content-Length: +5", "a length with a plus sign"),
    (b"Content-Length: -5", "a negative length"),
    (b"Content-Length: 0x5", "a hexadecimal length"),
    (b"Content-Length: 1_0", "a length with a Python digit separator"),
    (b"Content-Length: \xc2\xb2", "a length with a non-ASCII digit"),
    (b"Content-Length: " + b"1" * 19, "a length with too many digits"),
    (b"Content-Length:", "an empty length"),
    (b"Content-Length: 5\r\nTransfer-Encoding: chunked", "a length and a transfer coding"),
    (b"Transfer-Encoding: chunked\r\nContent-Length: 5", "a transfer coding and a length"),
    (b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "a repeated transfer-encoding header"),
    (b"Transfer-Encoding: chunked, chunked", "the chunked coding twice"),
    (b"Transfer-Encoding: gzip, chunked", "a transfer coding that is not supported"),
    (b"Transfer-Encoding: identity", "a transfer coding that defines no end of the body"),
    (b"Transfer-Encoding: xchunked", "an unknown transfer coding that ends in chunked"),
    (b"Transfer-Encoding:", "an empty transfer coding"),
    (b"Transfer-Encoding : chunked", "a blank before the colon"),
    (b"Content-Length\t: 5", "a tab before the colon"),
    (b"X-Note: a\r\n Transfer-Encoding: chunked", "a folded line"),
    (b"X-Note: a\r\n\tb", "a line folded with a tab"),
    (b" X-Note: a", "a blank before the first header name"),
    (b": a", "an empty header name"),
    (b"X-Note", "a header without a colon"),
    (b"Host: a\r\nHost: b", "two different hosts"),
    (b"Host: h\r\nHost: h", "the same host twice"),
    (b"Host: h, g", "a list of hosts"),
    (b"Host: h/reads", "a host with a path"),
    (b"Host: u@h", "a host with a user"),
]


@pytest.mark.parametrize(("lines", "what"), AMBIGUOUS, ids=[what for _, what in AMBIGUOUS])
def test_heads_that_can_be_read_in_two_ways_are_refused(lines, what):
    """Guards against UNASKED: an origin that reads another host or end of the body than the edge does."""
    with pytest.raises(errors.BadRequestError) as caught:
        request_head.parse(LINE + lines)
    assert caught.value.status == 400


def test_a_coding_in_an_old_version_is_refused():
    head = b"POST /writes/1 HTTP/1.0\r\nTransfer-Encoding: chunked"
    with pytest.raises(errors.BadRequestError):
        request_head.parse(head)
    assert request_head.parse(head.replace(b"1.0", b"1.1")).headers == {"transfer-encoding": "chunked"}


@pytest.mark.parametrize("byte", range(256))
def test_every_byte_in_a_name_or_a_value_is_taken_or_refused_by_the_grammar(byte):
    """Guards against UNASKED: header bytes that RFC 9110, sections 5.1 and 5.5, forbids."""
    data = bytes([byte])
    for template, accepted in (
        (b"X-No@te: a", smuggling_places.TOKEN),
        (b"@X-Note: a", smuggling_places.TOKEN),
        (b"X-Note: a@b", smuggling_places.VALUE),
        (b"X-Note:@b", smuggling_places.VALUE),
        (b"X-Note: b@", smuggling_places.VALUE),
    ):
        line = template.replace(b"@", data)
        # A colon inside a header name ends the name, and the rest of the line is the value.
        if byte in accepted or (data == b":" and line[:1] != b":"):
            name, _, value = line.decode("latin-1").partition(":")
            assert request_head.parse(LINE + line).headers == {name.lower(): value.strip(" \t")}
        else:
            with pytest.raises(errors.BadRequestError):
                request_head.parse(LINE + line)


def test_values_keep_the_bytes_that_came():
    """Guards against a header value with non-ASCII bytes that was forwarded as other bytes or rejected."""
    value = bytes(range(0x80, 0x100)) + "ž".encode()
    assert request_head.parse(LINE + b"X-Note: " + value).headers["x-note"].encode("latin-1") == value


def test_refusals_name_the_line_and_repeat_none_of_it():
    with pytest.raises(errors.BadRequestError, match="the name of header 2 is not a valid token"):
        request_head.parse(LINE + b"Host: h\r\nX Note: secret")
    with pytest.raises(errors.BadRequestError, match="the value of header 1 contains a control character"):
        request_head.parse(LINE + b"X-Note: a\nb")
    with pytest.raises(errors.BadRequestError, match="the request line is malformed"):
        request_head.parse(b"GET  / HTTP/1.1")


@pytest.mark.parametrize("line", [b"5", b"5;a", b"5 ;a=b", b'5;a="b"', b"0", b"F" * 16])
def test_lines_before_chunks_are_taken(line):
    assert grammar.CHUNK_LINE.match(b"\r\n" + line + b"\r\n")


@pytest.mark.parametrize(
    "line", [b"", b"0x5", b"-5", b"+5", b"1_0", b" 5", b"5 ", b"5;a\nb", b"g", b"\xc2\xb2", b"F" * 17]
)
def test_lines_before_chunks_that_can_be_read_in_two_ways_are_refused(line):
    """Guards against UNASKED: chunk size lines that RFC 9112, section 7.1, forbids."""
    assert grammar.CHUNK_LINE.match(b"\r\n" + line + b"\r\n") is None
