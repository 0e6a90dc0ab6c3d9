"""What is the same content: one canonical form of JSON, and its digest.

Field order, a field that is absent or null, and the spelling of a number make no difference.
"""

import hashlib
import json
import math
import typing

DIGEST_BYTES = 12
# Deeper than any item, and far from what the packers of messages and snapshots take.
DEPTH_LIMIT = 32
WHOLE_LIMIT = 2**63


def canonical(value: typing.Any) -> typing.Any:
    """The one form that stands for all spellings of a content.

    >>> canonical({"b": 5.0, "a": None, "c": (True, 2.5)})
    {'b': 5, 'c': [True, 2.5]}
    """
    if isinstance(value, dict):
        return {key: canonical(part) for key, part in value.items() if part is not None}
    if isinstance(value, list | tuple):
        return [canonical(part) for part in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def digest(value: typing.Any) -> str:
    """
    >>> digest({"a": 1, "b": None}) == digest({"a": 1.0}), digest({"a": 1}) == digest({"a": True})
    (True, False)
    """
    text = json.dumps(canonical(value), sort_keys=True, separators=(",", ":"), default=repr)
    return hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()


def is_same(one: typing.Any, other: typing.Any) -> bool:
    # Most repeats are the same to the letter, which is known for less than two digests.
    return repr(one) == repr(other) or digest(one) == digest(other)


def fault_of(value: typing.Any, depth: int = 0) -> str:
    """Why a JSON value could not be carried or stored; empty if it can.

    >>> fault_of({"a": [1, "x", None]}), fault_of([10**30]), fault_of({"a": float("inf")})
    ('', 'a number over 64 bits', 'a number that is not finite')
    """
    if depth > DEPTH_LIMIT:
        return f"over {DEPTH_LIMIT} levels deep"
    if isinstance(value, dict):
        return first_fault([*value.keys(), *value.values()], depth)
    if isinstance(value, list):
        return first_fault(value, depth)
    if isinstance(value, str):
        return "" if is_text(value) else "text that is not Unicode"
    if isinstance(value, float):
        return "" if math.isfinite(value) else "a number that is not finite"
    if isinstance(value, int) and not -WHOLE_LIMIT <= value < WHOLE_LIMIT:
        return "a number over 64 bits"
    return ""


def first_fault(parts: list, depth: int) -> str:
    for part in parts:
        found = fault_of(part, depth + 1)
        if found:
            return found
    return ""


def is_text(value: str) -> bool:
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
