"""Which JSON contents are the same: a canonical form, and its digest.

The order of fields, a field that is absent or null, and the spelling of a number make no difference.
"""

import collections.abc
import hashlib
import json
import math
import typing

DIGEST_BYTES = 12
# Deeper than any item, and far below what the packers of messages and snapshots can take.
DEPTH_LIMIT = 32
INTEGER_LIMIT = 2**63


def canonical(value: typing.Any) -> typing.Any:
    """Return the form that all spellings of a content have in common.

    >>> canonical({"b": 5.0, "a": None, "c": (True, 2.5)})
    {'b': 5, 'c': [True, 2.5]}
    """
    if isinstance(value, dict):
        return {key: canonical(member) for key, member in value.items() if member is not None}
    if isinstance(value, list | tuple):
        return [canonical(member) for member in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def digest(value: typing.Any) -> str:
    """Return the digest of a content's canonical form, in hexadecimal digits.

    >>> digest({"a": 1, "b": None}) == digest({"a": 1.0}), digest({"a": 1}) == digest({"a": True})
    (True, False)
    """
    text = json.dumps(canonical(value), sort_keys=True, separators=(",", ":"), default=repr)
    return hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()


def is_same(one: typing.Any, other: typing.Any) -> bool:
    """Return whether two contents are the same."""
    # Most repeats are spelt the same, and to see that costs less than two digests.
    return repr(one) == repr(other) or digest(one) == digest(other)


def encoding_fault(value: typing.Any, depth: int = 0) -> str:
    """Return why a JSON value could not be carried or stored, empty if it can.

    >>> encoding_fault({"a": [1, "x", None]}), encoding_fault([10**30]), encoding_fault({"a": float("inf")})
    ('', 'a number over 64 bits', 'a number that is not finite')
    """
    if depth > DEPTH_LIMIT:
        return f"over {DEPTH_LIMIT} levels deep"
    if isinstance(value, dict):
        return first_encoding_fault([*value.keys(), *value.values()], depth)
    if isinstance(value, list):
        return first_encoding_fault(value, depth)
    return scalar_encoding_fault(value)


def scalar_encoding_fault(value: typing.Any) -> str:
    """Return why a string, number, boolean or null could not be carried or stored, empty if it can."""
    if isinstance(value, str):
        return "" if is_unicode(value) else "text that is not Unicode"
    if isinstance(value, float):
        return "" if math.isfinite(value) else "a number that is not finite"
    if isinstance(value, int) and not -INTEGER_LIMIT <= value < INTEGER_LIMIT:
        return "a number over 64 bits"
    return ""


def first_encoding_fault(members: collections.abc.Iterable[typing.Any], depth: int) -> str:
    """Return the first fault in the members of an object or list, empty if there is none."""
    for member in members:
        found = encoding_fault(member, depth + 1)
        if found:
            return found
    return ""


def is_unicode(value: str) -> bool:
    """Return whether a string can be encoded: JSON may hold half of a surrogate pair."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
