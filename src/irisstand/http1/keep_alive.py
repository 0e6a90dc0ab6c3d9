"""The Keep-Alive header, by which a server announces when it closes an idle connection."""

from irisstand.http1 import grammar


def timeout_seconds(header: str) -> int | None:
    """Return the timeout that the value of a Keep-Alive header announces; None if it has none.

    >>> timeout_seconds("timeout=5, max=100"), timeout_seconds("max=1")
    (5, None)
    """
    for part in header.split(","):
        name, _, value = part.strip().partition("=")
        if name == "timeout":
            return grammar.whole_number(value)
    return None
