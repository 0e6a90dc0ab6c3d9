"""The grammar of HTTP/1.1 messages (RFC 9110, section 5.6)."""

import re

# More digits than any length or time needs, and fewer than Python refuses.
WHOLE_NUMBER = re.compile(r"[0-9]{1,18}")


def whole_number(text: str) -> int | None:
    """Return the number that a header's value is; None if it is none, or too long to be meant.

    >>> whole_number("1000"), whole_number("+1"), whole_number("1_0"), whole_number("\u00b2")
    (1000, None, None, None)
    """
    return int(text) if WHOLE_NUMBER.fullmatch(text) else None
