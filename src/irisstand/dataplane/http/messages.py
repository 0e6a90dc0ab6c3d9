"""Builds the responses that the clients' listener passes to sanic."""

import sanic.response

from irisstand import errors


def error_response(error: errors.IrisError) -> sanic.response.HTTPResponse:
    """Return the response that reports an error; its Retry-After header has hundredths of a second."""
    headers = {"Cache-Control": "no-store"}
    if error.retry_after:
        headers["Retry-After"] = f"{error.retry_after:.2f}"
    return sanic.response.json(error.to_json(), error.status, headers)


def header_text(value: str) -> str:
    r"""Convert a header's value, which has one character per byte, to text that sanic encodes as these bytes.

    >>> header_text("caf\u00e9").encode(errors="surrogateescape")
    b'caf\xe9'
    """
    return value if value.isascii() else value.encode("latin-1").decode(errors="surrogateescape")
