"""Imports the jsonschema library at its first use, so that a node that was killed restarts sooner."""

import collections.abc
import importlib
import typing


def compile_schema(schema: collections.abc.Mapping[str, typing.Any]) -> typing.Any:
    """Return the jsonschema validator of a schema (JSON Schema, draft 2020-12).

    >>> [error.message for error in compile_schema({"type": "integer"}).iter_errors("x")]
    ["'x' is not of type 'integer'"]
    """
    return importlib.import_module("jsonschema").Draft202012Validator(schema)
