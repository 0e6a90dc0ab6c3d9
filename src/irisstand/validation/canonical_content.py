"""Comparison of JSON values by a canonical form and its digest.

Two values are the same if they differ only in the order of fields, in fields that are null or absent, or in
the notation of a number (5 and 5.0).
"""

import collections.abc
import hashlib
import json
import math
import typing

DIGEST_BYTES = 12
# The nesting limit of a JSON value: more than any configuration item needs, and far below what the encoders
# of messages and snapshots support.
DEPTH_LIMIT = 32
INTEGER_LIMIT = 2**63


def canonical(value: typing.Any) -> typing.Any:
    """Return the canonical form of a JSON value: without null fields, and with whole numbers as integers.

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
    """Return the digest of the canonical form of a JSON value, in hexadecimal digits.

    >>> digest({"a": 1, "b": None}) == digest({"a": 1.0}), digest({"a": 1}) == digest({"a": True})
    (True, False)
    """
    text = json.dumps(canonical(value), sort_keys=True, separators=(",", ":"), default=repr)
    return hashlib.blake2b(text.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES).hexdigest()


def is_same(one: typing.Any, other: typing.Any) -> bool:
    """Return whether two JSON values have the same canonical form."""
    # Repeated values are mostly written identically, and comparing their texts costs less than two digests.
    return repr(one) == repr(other) or digest(one) == digest(other)


def encoding_fault(value: typing.Any, depth: int = 0) -> str:
    """Return what keeps a JSON value from being sent between nodes or stored, empty if it can be.

    >>> encoding_fault({"a": [1, "x", None]}), encoding_fault([10**30]), encoding_fault({"a": float("inf")})
    ('', 'an integer over 64 bits', 'a number that is not finite')
    """
    if depth > DEPTH_LIMIT:
        return f"values nested over {DEPTH_LIMIT} levels deep"
    if isinstance(value, dict):
        return first_encoding_fault([*value.keys(), *value.values()], depth)
    if isinstance(value, list):
        return first_encoding_fault(value, depth)
    return scalar_encoding_fault(value)


def scalar_encoding_fault(value: typing.Any) -> str:
    """Return what keeps a string, number, boolean or null from being sent or stored, empty if it can be."""
    if isinstance(value, str):
        return "" if is_unicode(value) else "text that is not valid Unicode"
    if isinstance(value, float):
        return "" if math.isfinite(value) else "a number that is not finite"
    if isinstance(value, int) and not -INTEGER_LIMIT <= value < INTEGER_LIMIT:
        return "an integer over 64 bits"
    return ""


def first_encoding_fault(members: collections.abc.Iterable[typing.Any], depth: int) -> str:
    """Return the first encoding fault among the members of an object or list, empty if there is none."""
    for member in members:
        found = encoding_fault(member, depth + 1)
        if found:
            return found
    return ""


def is_unicode(value: str) -> bool:
    """Return whether a string can be encoded in UTF-8; JSON can escape a lone surrogate, which cannot."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
