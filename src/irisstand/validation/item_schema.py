"""The JSON schemas of versioned configuration items: durations are in seconds, rates per second."""

import functools
import typing

from irisstand.validation import lazy_jsonschema

SECONDS_SCHEMA = {"type": "number", "minimum": 0, "maximum": 86400}
RATE_SCHEMA = {"type": ["number", "null"], "exclusiveMinimum": 0}
NAME_SCHEMA = {"type": "string", "minLength": 1, "maxLength": 200}
# The path of health probes, which nodes send to origins unchanged. The pattern ends in \Z, because $ would
# also match before a line break at the end.
PROBE_PATH_PATTERN = r'^/[!"$-~]*\Z'
VERSION_SCHEMA = {"type": "integer", "minimum": 0, "maximum": 2**53}
# Messages of jsonschema are cut to this many characters, because they quote the invalid value.
MESSAGE_LIMIT_CHARACTERS = 300

# The schemas by kind of item. Fields that a schema does not name are stored and returned, but have no effect.
SCHEMAS: dict[str, dict[str, typing.Any]] = {
    "route": {
        "type": "object",
        "required": ["name", "version", "host", "prefix", "kind", "timeout"],
        "properties": {
            "name": NAME_SCHEMA,
            "version": VERSION_SCHEMA,
            "host": {"type": "string", "minLength": 1, "maxLength": 255},
            "prefix": {"type": "string", "pattern": "^/", "maxLength": 1024},
            "kind": {"enum": ["cacheable", "idempotent", "non_idempotent"]},
            "timeout": {**SECONDS_SCHEMA, "exclusiveMinimum": 0},
            "target": {"type": ["number", "null"], "minimum": 0},
            "priority": {"type": ["integer", "null"], "minimum": 0},
            "attempts": {"type": ["integer", "null"], "minimum": 1, "maximum": 100},
            "cache_life": {"type": ["number", "null"], "minimum": 0},
            "regions": {"type": ["array", "null"], "items": {"type": "string"}},
            "service": {"type": ["string", "null"]},
            "split": {
                "type": ["array", "null"],
                "items": {
                    "type": "object",
                    "required": ["service", "weight"],
                    "properties": {"service": NAME_SCHEMA, "weight": {"type": "number", "minimum": 0}},
                },
            },
        },
    },
    "upstream": {
        "type": "object",
        "required": ["name", "version"],
        "properties": {
            "name": NAME_SCHEMA,
            "version": VERSION_SCHEMA,
            "probe": {"type": ["string", "null"], "pattern": PROBE_PATH_PATTERN},
            "connections": {"type": ["integer", "null"], "minimum": 1},
            "warmup": {"type": ["number", "null"], "minimum": 0},
            "cold_rate": RATE_SCHEMA,
            "rate": RATE_SCHEMA,
        },
    },
    "limits": {
        "type": "object",
        "required": ["version"],
        "properties": {
            "version": VERSION_SCHEMA,
            "header_bytes": {"type": "integer", "minimum": 1},
            "body_bytes": {"type": "integer", "minimum": 0},
            "header": SECONDS_SCHEMA,
            "idle": SECONDS_SCHEMA,
        },
    },
}
DROP_SCHEMA = {
    "type": "object",
    "required": ["name", "version"],
    "properties": {"name": NAME_SCHEMA, "version": VERSION_SCHEMA},
}


class ItemFault(typing.NamedTuple):
    """What is wrong with one field of an item.

    Attributes:
        item: The name of the item, or of the part of the call that is wrong.
        field: The field that is wrong; "" for the whole item.
        message: What is wrong with the field, and how to correct it.
    """

    item: str
    field: str
    message: str


@functools.cache
def validator(kind: str) -> typing.Any:
    """Return the jsonschema validator of a kind of item, which is compiled only once."""
    return lazy_jsonschema.compile_schema(SCHEMAS[kind])


@functools.cache
def drop_validator() -> typing.Any:
    """Return the jsonschema validator of an entry that drops an item, which is compiled only once."""
    return lazy_jsonschema.compile_schema(DROP_SCHEMA)


def schema_faults(kind: str, item: typing.Any) -> list[ItemFault]:
    """Return the violations of the schema of its kind that an item contains."""
    name = str(item.get("name", kind)) if isinstance(item, dict) else kind
    return [
        ItemFault(name, ".".join(map(str, error.absolute_path)), error.message[:MESSAGE_LIMIT_CHARACTERS])
        for error in validator(kind).iter_errors(item)
    ]
