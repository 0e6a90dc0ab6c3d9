"""Bodies of operators' requests: JSON objects that can be carried and stored, or a typed refusal."""

import json
import typing

from irisstand import errors
from irisstand.validation import canonical_content

REMEDY = "send a JSON object"


def unique_fields(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
    """Return the object with these fields; readers differ in which they take of a field that stands twice.

    Raises:
        ValueError: A field stands twice.
    """
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a field stands twice")
    return found


def read_object(body: bytes) -> dict[str, typing.Any]:
    """Return the JSON object of a body.

    What the packers of messages and files do not take is refused here, before it can stop a node.

    Raises:
        BadRequestError: The body is no JSON object, or holds what cannot be carried.

    >>> read_object(b'{"a": 1}')
    {'a': 1}
    """
    try:
        content = json.loads(body, object_pairs_hook=unique_fields)
    except (ValueError, RecursionError):
        raise errors.BadRequestError("the body is not whole JSON, with each field once", REMEDY) from None
    if not isinstance(content, dict):
        raise errors.BadRequestError("the body is not a JSON object", REMEDY)
    fault = canonical_content.encoding_fault(content)
    if fault:
        raise errors.BadRequestError(
            f"the body holds {fault}", "send finite numbers and plain text, not too deep"
        )
    return content
