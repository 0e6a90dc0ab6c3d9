"""The JSON schemas of configuration rows, one for each kind of row."""

import functools
import typing

from irisstand.validation import lazy_jsonschema

# The patterns end in \Z, because $ would also match before a line break at the end.
NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z"
PATH_PATTERN = r"^/[!-~]{0,255}\Z"
WEIGHT_SCHEMA = {"type": "number", "minimum": 0, "maximum": 1000}
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class RowFault(typing.NamedTuple):
    """What is wrong with one field of a configuration row.

    Attributes:
        field: The field that is wrong: "kind", "name", or its place in the value, such as "ceiling.rate".
        message: What is wrong with the field.
    """

    field: str
    message: str


class KindSchema(typing.NamedTuple):
    """The schema of one kind of configuration row.

    Attributes:
        name_pattern: The regular expression that names of rows have to match.
        value_schema: The JSON schema that values of rows have to match.
    """

    name_pattern: str
    value_schema: dict[str, typing.Any]


def object_schema(required: list[str], properties: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the JSON schema of an object with these properties and no others."""
    return {
        "type": "object",
        "required": required,
        "properties": properties,
        "additionalProperties": False,
    }


# Extension point: the kinds of configuration rows; add a kind as another entry with the pattern of its names.
REGISTRY: dict[str, KindSchema] = {
    "service": KindSchema(
        NAME_PATTERN,
        object_schema(
            ["deadline", "ceiling"],
            {
                "deadline": {"type": "number", "exclusiveMinimum": 0, "maximum": 60},
                "ceiling": object_schema(
                    ["rate", "inflight"],
                    {
                        "rate": {"type": "integer", "minimum": 1, "maximum": 1000000},
                        "inflight": {"type": "integer", "minimum": 1, "maximum": 100000},
                    },
                ),
                "probe": {"type": "string", "pattern": PATH_PATTERN},
            },
        ),
    ),
    "path": KindSchema(
        PATH_PATTERN,
        object_schema(
            ["grants"],
            {
                "grants": {
                    "type": "array",
                    "minItems": 1,
                    "maxItems": 16,
                    "items": object_schema(
                        ["service", "methods"],
                        {
                            "service": {"type": "string", "pattern": NAME_PATTERN},
                            "methods": {
                                "type": "array",
                                "minItems": 1,
                                "uniqueItems": True,
                                "items": {"enum": METHODS},
                            },
                            "weight": WEIGHT_SCHEMA,
                        },
                    ),
                },
                "life": {"type": "number", "minimum": 0, "maximum": 86400},
                "vary": {
                    "type": "array",
                    "maxItems": 8,
                    "items": {"type": "string", "pattern": r"^[A-Za-z0-9-]{1,64}\Z"},
                },
            },
        ),
    ),
    "site": KindSchema(NAME_PATTERN, object_schema([], {"weight": WEIGHT_SCHEMA})),
    "machine": KindSchema(NAME_PATTERN, object_schema([], {"awake": {"type": "boolean"}})),
    "shield": KindSchema(
        NAME_PATTERN, object_schema([], {"weight": WEIGHT_SCHEMA, "limit": {"type": "integer", "minimum": 1}})
    ),
}


@functools.cache
def value_validator(kind: str) -> typing.Any:
    """Return the jsonschema validator of the values of a kind of row, which is compiled only once."""
    return lazy_jsonschema.compile_schema(REGISTRY[kind].value_schema)


@functools.cache
def name_validator(kind: str) -> typing.Any:
    """Return the jsonschema validator of the names of a kind of row, which is compiled only once."""
    return lazy_jsonschema.compile_schema({"type": "string", "pattern": REGISTRY[kind].name_pattern})


def faults(kind: typing.Any, name: typing.Any, value: typing.Any) -> list[RowFault]:
    """Return what is wrong with one row; a value of None removes the row and is not checked.

    >>> faults("site", "north", {"weight": -1})
    [RowFault(field='weight', message='-1 is less than the minimum of 0')]
    >>> faults("zone", "north", {})[0].field
    'kind'
    """
    if not isinstance(kind, str) or kind not in REGISTRY:
        known = ", ".join(sorted(REGISTRY))
        return [RowFault("kind", f"{kind!r} is not a kind of row; use one of {known}")]
    found = [RowFault("name", error.message) for error in name_validator(kind).iter_errors(name)]
    if value is not None:
        for error in value_validator(kind).iter_errors(value):
            field = ".".join(map(str, error.absolute_path)) or "value"
            found.append(RowFault(field, error.message))
    return found
