"""Formats of operators' files: JSON rows, and Kubernetes-style objects in YAML."""

import collections.abc
import json
import typing

from irisstand.validation import file_faults, object_format

FILE_BYTES_LIMIT = 1024 * 1024
DEFAULT_FORMAT = "rows"

Row = dict[str, typing.Any]
Rows = list[Row]


class FileFormat(typing.NamedTuple):
    """A format of files: the endings of their names, and the function that reads their rows."""

    endings: tuple[str, ...]
    read: collections.abc.Callable[[bytes], Rows]


class RowKey(typing.NamedTuple):
    """The kind and name of a row, as a file or a table has them."""

    kind: typing.Any
    name: typing.Any

    @classmethod
    def of(cls, row: Row) -> "RowKey":
        """Return the key of a row."""
        return cls(row.get("kind"), row.get("name"))


def read_json(content: bytes) -> Rows:
    """Read a JSON list of rows, or an object that has them in `rows`, as the operators' page does.

    Raises:
        InvalidChangeError: It is neither.
    """
    try:
        decoded = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise file_faults.error_for_file(f"not JSON: {error}") from None
    rows = decoded.get("rows") if isinstance(decoded, dict) else decoded
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise file_faults.error_for_file("not a list of rows")
    return rows


# Plug-in point: a format is an entry here.
REGISTRY: dict[str, FileFormat] = {
    DEFAULT_FORMAT: FileFormat((".json",), read_json),
    "objects": FileFormat((".yaml", ".yml"), object_format.read_objects),
}


def read(name: str, content: bytes, format_name: str = "") -> Rows:
    """Return the rows of a file.

    Args:
        name: The file's name, whose ending tells the format if none is given.
        content: The file's content.
        format_name: A format of `REGISTRY`.

    Raises:
        InvalidChangeError: The file is too large or has faults.

    >>> read("x.yaml", b"{apiVersion: irisstand/v1, kind: Site, metadata: {name: north}, spec: {weight: 2}}")
    [{'kind': 'site', 'name': 'north', 'value': {'weight': 2}}]
    """
    if len(content) > FILE_BYTES_LIMIT:
        raise file_faults.error_for_file(f"over {FILE_BYTES_LIMIT} bytes; send it in parts")
    return REGISTRY[format_name or format_of(name)].read(content)


def format_of(name: str) -> str:
    """Return the format that a file's name tells by its ending."""
    for format_name, file_format in REGISTRY.items():
        if name.lower().endswith(file_format.endings):
            return format_name
    return DEFAULT_FORMAT


def differences(wanted: Rows, table: Rows) -> list[str]:
    """Return one line for each row that a table has otherwise than a file."""
    wanted_values = {RowKey.of(row): row.get("value") for row in wanted}
    table_values = {RowKey.of(row): row["value"] for row in table}
    lines = []
    for key in sorted(set(wanted_values) | set(table_values), key=str):
        title = f"{key.kind} {key.name}"
        if key not in table_values:
            # A row that the file removes is not to be there.
            if wanted_values[key] is not None:
                lines.append(f"missing: {title}")
        elif key not in wanted_values:
            lines.append(f"not in the file: {title}")
        elif wanted_values[key] != table_values[key]:
            lines.append(f"other: {title}: {table_values[key]} where {wanted_values[key]} was wanted")
    return lines
