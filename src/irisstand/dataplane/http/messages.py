"""Sanic's requests and responses as the clients' listener reads and writes them."""

import sanic.request
import sanic.response

from irisstand import errors


def joined_headers(request: sanic.request.Request) -> dict[str, str]:
    """Return a request's headers, names in lower case, repeated ones joined by commas."""
    headers: dict[str, str] = {}
    for name, value in request.headers.items():
        key = name.lower()
        headers[key] = f"{headers[key]}, {value}" if key in headers else value
    return headers


def error_response(error: errors.IrisError) -> sanic.response.HTTPResponse:
    """Return the response that reports an error, with Retry-After to a hundredth of a second."""
    headers = {"Cache-Control": "no-store"}
    if error.retry_after:
        headers["Retry-After"] = f"{error.retry_after:.2f}"
    return sanic.response.json(error.to_json(), error.status, headers)
