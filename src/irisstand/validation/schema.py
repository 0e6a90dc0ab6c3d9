"""The schema of operators' rows, one for each kind, checked with jsonschema."""

import functools
import typing

from irisstand.validation import lazy_jsonschema

NAME = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"
PATH = r"^/[!-~]{0,255}$"
WEIGHT = {"type": "number", "minimum": 0, "maximum": 1000}
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


def row(required: list[str], properties: dict) -> dict:
    return {
        "type": "object",
        "required": required,
        "properties": properties,
        "additionalProperties": False,
    }


# Plug-in point: a new kind of row is an entry here, with the pattern of its names.
REGISTRY: dict[str, tuple[str, dict]] = {
    "service": (
        NAME,
        row(
            ["deadline", "ceiling"],
            {
                "deadline": {"type": "number", "exclusiveMinimum": 0, "maximum": 60},
                "ceiling": row(
                    ["rate", "inflight"],
                    {
                        "rate": {"type": "integer", "minimum": 1, "maximum": 1000000},
                        "inflight": {"type": "integer", "minimum": 1, "maximum": 100000},
                    },
                ),
                "probe": {"type": "string", "pattern": PATH},
            },
        ),
    ),
    "path": (
        PATH,
        row(
            ["grants"],
            {
                "grants": {
                    "type": "array",
                    "minItems": 1,
                    "maxItems": 16,
                    "items": row(
                        ["service", "methods"],
                        {
                            "service": {"type": "string", "pattern": NAME},
                            "methods": {
                                "type": "array",
                                "minItems": 1,
                                "uniqueItems": True,
                                "items": {"enum": METHODS},
                            },
                            "weight": WEIGHT,
                        },
                    ),
                },
                "life": {"type": "number", "minimum": 0, "maximum": 86400},
                "vary": {
                    "type": "array",
                    "maxItems": 8,
                    "items": {"type": "string", "pattern": r"^[A-Za-z0-9-]{1,64}$"},
                },
            },
        ),
    ),
    "site": (NAME, row([], {"weight": WEIGHT})),
    "machine": (NAME, row([], {"awake": {"type": "boolean"}})),
    "shield": (NAME, row([], {"weight": WEIGHT, "limit": {"type": "integer", "minimum": 1}})),
}


@functools.cache
def validator(kind: str) -> typing.Any:
    return lazy_jsonschema.compiled(REGISTRY[kind][1])


@functools.cache
def name_validator(kind: str) -> typing.Any:
    return lazy_jsonschema.compiled({"type": "string", "pattern": REGISTRY[kind][0]})


def faults(kind: typing.Any, name: typing.Any, value: typing.Any) -> list[tuple[str, str]]:
    """Faults of one row as (field, message).

    >>> faults("site", "north", {"weight": -1})
    [('weight', '-1 is less than the minimum of 0')]
    >>> faults("zone", "north", {})[0][0]
    'kind'
    """
    if not isinstance(kind, str) or kind not in REGISTRY:
        return [("kind", f"{kind!r} is not a kind of row; use one of {', '.join(sorted(REGISTRY))}")]
    found = [("name", error.message) for error in name_validator(kind).iter_errors(name)]
    # No value means that the row is removed, which needs no schema.
    if value is not None:
        for error in validator(kind).iter_errors(value):
            found.append((".".join(str(part) for part in error.absolute_path) or "value", error.message))
    return found
