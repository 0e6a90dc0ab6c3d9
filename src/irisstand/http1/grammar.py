"""The grammar of HTTP/1.1 messages (RFC 9110, sections 5.1, 5.5 and 5.6.2; RFC 9112, sections 2.2 to 7.1).

HTTP implementations treat bytes that the grammar forbids differently: one takes a lone LF as the end of a
line, another as part of the line. Such differences allow request smuggling, so messages with such bytes are
neither accepted nor sent.
"""

import re

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# Visible ASCII characters except `#`, which starts a fragment and is not allowed in a request.
_TARGET = rb"[!\"$-~]+"
# Blanks inside and around a header's value, visible ASCII characters, and bytes from 0x80 on, which are
# passed on unchanged.
_VALUE = rb"[\t -~\x80-\xff]*"
_FIELD_LINE = rb"\r\n" + _TOKEN + rb":" + _VALUE

TOKEN = re.compile(_TOKEN)
# The head of a request, without the empty line that ends it.
REQUEST_HEAD = re.compile(_TOKEN + rb" " + _TARGET + rb" HTTP/1\.[01](?:" + _FIELD_LINE + rb")*")
# A host with or without a port (RFC 9110, section 7.2); empty if the target of the request has no host.
HOST = re.compile(r"[A-Za-z0-9\-._~%!$&'()*+,;=:\[\]]*")
# A decimal number of at most 18 digits: enough for any length or time, and fewer digits than `int` rejects.
WHOLE_NUMBER = re.compile(r"[0-9]{1,18}")
# The line with a chunk's size, and in front of it the line break that ends the head or the previous chunk
# (RFC 9112, section 7.1). The group is the size.
CHUNK_LINE = re.compile(rb"\r\n([0-9A-Fa-f]{1,16})(?:[ \t]*;" + _VALUE + rb")?\r\n")


def whole_number(text: str) -> int | None:
    """Return the whole number in a header's value; None if it has other characters or over 18 digits.

    >>> whole_number("1000"), whole_number("+1"), whole_number("1_0"), whole_number("\u00b2")
    (1000, None, None, None)
    """
    return int(text) if WHOLE_NUMBER.fullmatch(text) else None
