"""Checks that the end of an origin's response can be determined by its head."""

import collections.abc

FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = (204, 304)


def check(method: str, status: int, headers: collections.abc.Mapping[str, str]) -> None:
    """Check the head of a response to a request with a method; header names are in lower case.

    Raises:
        ValueError: The end of the response can't be determined, or the response is not the final one.
    """
    is_bodiless = method == "HEAD" or status in BODILESS_STATUSES or status < FIRST_FINAL_STATUS
    is_chunked = "chunked" in headers.get("transfer-encoding", "")
    if "content-length" not in headers and not is_chunked and not is_bodiless:
        raise ValueError("the response has neither a content-length nor chunks")
    if status < FIRST_FINAL_STATUS:
        raise ValueError("the response is interim, and only final responses are supported")
