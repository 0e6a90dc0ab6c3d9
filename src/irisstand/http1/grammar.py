"""The grammar of HTTP/1.1 messages (RFC 9110, sections 5.1, 5.5 and 5.6.2; RFC 9112, sections 2.2 to 7.1).

Readers differ in what they make of a byte that the grammar does not allow: one takes a lone LF as the end of
a line, another as a part of the line. So such a message is neither taken nor sent.
"""

import re

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# Visible characters but the mark of a fragment, which no request has.
_TARGET = rb"[!\"$-~]+"
# Blanks inside and around a value, visible characters, and bytes beyond ASCII, which stand for themselves.
_VALUE = rb"[\t -~\x80-\xff]*"
_FIELD_LINE = rb"\r\n" + _TOKEN + rb":" + _VALUE

TOKEN = re.compile(_TOKEN)
# A request's head without the empty line that ends it.
REQUEST_HEAD = re.compile(_TOKEN + rb" " + _TARGET + rb" HTTP/1\.[01](?:" + _FIELD_LINE + rb")*")
# A host with or without a port (RFC 9110, section 7.2); empty where the target has no host.
HOST = re.compile(r"[A-Za-z0-9\-._~%!$&'()*+,;=:\[\]]*")
# More digits than any length or time needs, and fewer than Python refuses.
WHOLE_NUMBER = re.compile(r"[0-9]{1,18}")
# The line before a chunk, behind the line break that ends what came before it (RFC 9112, section 7.1).
CHUNK_LINE = re.compile(rb"\r\n[0-9A-Fa-f]{1,16}(?:[ \t]*;" + _VALUE + rb")?\r\n")


def whole_number(text: str) -> int | None:
    """Return the number that a header's value is; None if it is none, or too long to be meant.

    >>> whole_number("1000"), whole_number("+1"), whole_number("1_0"), whole_number("\u00b2")
    (1000, None, None, None)
    """
    return int(text) if WHOLE_NUMBER.fullmatch(text) else None
