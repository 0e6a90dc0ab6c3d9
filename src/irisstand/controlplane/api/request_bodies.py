"""Parsing of operators' request bodies: JSON objects that can be sent between nodes and stored."""

import json
import typing

from irisstand import errors
from irisstand.validation import canonical_content

REMEDY = "send a JSON object"


def unique_fields(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
    """Return the object with these fields; duplicates are refused, as JSON parsers treat them differently.

    Raises:
        ValueError: A field occurs more than once.
    """
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a field of a JSON object occurs more than once")
    return found


def read_object(body: bytes) -> dict[str, typing.Any]:
    """Return the JSON object in a request body.

    Values that the encoders of messages and files do not support are refused here, before they crash a node.

    Raises:
        BadRequestError: The body is not a JSON object, or contains a value that cannot be encoded.

    >>> read_object(b'{"a": 1}')
    {'a': 1}
    """
    try:
        content = json.loads(body, object_pairs_hook=unique_fields)
    except (ValueError, RecursionError):
        raise errors.BadRequestError(
            "the body is not complete JSON, or an object contains a field more than once", REMEDY
        ) from None
    if not isinstance(content, dict):
        raise errors.BadRequestError("the body is not a JSON object", REMEDY)
    fault = canonical_content.encoding_fault(content)
    if fault:
        raise errors.BadRequestError(
            f"the body contains {fault}", "send finite numbers and plain text, not too deep"
        )
    return content
