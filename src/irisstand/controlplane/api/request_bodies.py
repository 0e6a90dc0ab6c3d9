"""Bodies of operators' requests: a JSON object that can be carried and stored, or a typed refusal."""

import json

from irisstand import errors
from irisstand.validation import canonical_content

OBJECT = "send a JSON object"


def distinct(pairs: list[tuple]) -> dict:
    """A field given twice has two contents, and readers differ in which one they take."""
    found = dict(pairs)
    if len(found) < len(pairs):
        raise ValueError("a field stands twice")
    return found


def read_object(body: bytes) -> dict:
    """Refused here, what a packer does not take can never stop a node that carries or stores it.

    >>> read_object(b'{"a": 1}')
    {'a': 1}
    """
    try:
        content = json.loads(body, object_pairs_hook=distinct)
    except (ValueError, RecursionError):
        raise errors.BadRequestError("the body is not whole JSON, with each field once", OBJECT) from None
    if not isinstance(content, dict):
        raise errors.BadRequestError("the body is not a JSON object", OBJECT)
    fault = canonical_content.fault_in(content)
    if fault:
        raise errors.BadRequestError(
            f"the body holds {fault}", "send finite numbers and plain text, not too deep"
        )
    return content
