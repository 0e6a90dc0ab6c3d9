"""The source of the list of origins: the platform's answer, its schema, and fetching it over HTTP."""

import collections.abc
import functools
import importlib
import json
import typing

from irisstand import errors
from irisstand.http1 import grammar
from irisstand.validation import lazy_jsonschema

HTTP_TIMEOUT_SECONDS = 2.0
HTTP_OK = 200
ANSWER_LIMIT_BYTES = 8 * 1024 * 1024
PIECE_BYTES = 64 * 1024
ORIGIN_SCHEMA = {
    "type": "object",
    "required": ["id", "service", "host", "port", "site", "state"],
    "properties": {
        "id": {"type": "string", "pattern": r"^[A-Za-z0-9._-]{1,64}\Z"},
        "service": {"type": "string"},
        "host": {"type": "string"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "site": {"type": "string"},
        "state": {"enum": ["cold", "ready", "leaving"]},
        "warmup": {"type": "number", "minimum": 0},
        "slots": {"type": "integer", "minimum": 0},
    },
}
ANSWER_SCHEMA = {
    "type": "object",
    "required": ["origins"],
    "properties": {
        "origins": {"type": "array", "items": ORIGIN_SCHEMA},
        "revision": {"type": "integer", "minimum": 0},
    },
}


class PlatformAnswer(typing.NamedTuple):
    """The body of the platform's answer, and its age in seconds (the Age header of RFC 9111, section 5.1)."""

    content: bytes
    age: float


class HttpAnswer(typing.NamedTuple):
    """The body and the headers of an HTTP response with status 200."""

    body: bytes
    headers: collections.abc.Mapping[str, str]


class OriginList(typing.NamedTuple):
    """The origins that the platform lists, and the revision number of the list, None if it has none."""

    origins: list[dict[str, typing.Any]]
    revision: int | None


# Fetches the platform's list of origins; raises an IrisError, an OSError, a ValueError or a TimeoutError if
# the platform does not return one.
FetchOrigins = collections.abc.Callable[[], collections.abc.Awaitable[PlatformAnswer]]


@functools.cache
def answer_validator() -> typing.Any:
    """Return the jsonschema validator for the platform's answers."""
    return lazy_jsonschema.compile_schema(ANSWER_SCHEMA)


def parse(content: bytes) -> OriginList:
    """Parse the body of the platform's answer.

    Raises:
        ValueError: The body is not JSON.
        BadRequestError: The JSON value does not match `ANSWER_SCHEMA`.
    """
    answer = json.loads(content)
    fault = next(answer_validator().iter_errors(answer), None)
    if fault is not None:
        raise errors.BadRequestError(
            f"the platform's list of origins does not match its schema: {fault.message}"
        )
    return OriginList(answer["origins"], answer.get("revision"))


async def http_get(url: str, timeout_seconds: float = HTTP_TIMEOUT_SECONDS) -> HttpAnswer:
    """Send a GET request for a URL on a new connection, and return the response.

    Raises:
        BadRequestError: The response has a status other than 200 or is larger than `ANSWER_LIMIT_BYTES`, or
            the request failed.
        TimeoutError: There was no complete response within `timeout_seconds`.
    """
    # Imported only by the node that asks the platform: without this import the others restart faster.
    aiohttp = importlib.import_module("aiohttp")
    timeout = aiohttp.ClientTimeout(total=timeout_seconds)
    connector = aiohttp.TCPConnector(force_close=True)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout, connector=connector) as session,
            session.get(url) as response,
        ):
            if response.status != HTTP_OK:
                raise errors.BadRequestError(f"the platform responded with status {response.status}")
            body = bytearray()
            async for piece in response.content.iter_chunked(PIECE_BYTES):
                body += piece
                if len(body) > ANSWER_LIMIT_BYTES:
                    raise errors.BadRequestError("the platform's response is too large")
            return HttpAnswer(bytes(body), response.headers)
    except aiohttp.ClientError as error:
        raise errors.BadRequestError(f"the request to the platform failed: {error!r}") from None


def http_origin_source(address: tuple[str, int]) -> FetchOrigins:
    """Return a function that fetches the list of origins over HTTP, each time on a new connection."""

    async def fetch_origins() -> PlatformAnswer:
        answer = await http_get(f"http://{address[0]}:{address[1]}/origins")
        age = answer.headers.get("Age", "0")
        return PlatformAnswer(answer.body, float(grammar.whole_number(age) or 0))

    return fetch_origins
