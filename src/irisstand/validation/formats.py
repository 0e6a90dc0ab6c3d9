"""Formats of configuration files: JSON rows, and Kubernetes-style objects in YAML."""

import collections.abc
import json
import typing

from irisstand.validation import file_faults, object_format

FILE_BYTES_LIMIT = 1024 * 1024
DEFAULT_FORMAT = "rows"

Row = dict[str, typing.Any]
Rows = list[Row]


class FileFormat(typing.NamedTuple):
    """A format of configuration files.

    Attributes:
        endings: The endings of the names of files in this format.
        read: Returns the configuration rows in the content of a file.
    """

    endings: tuple[str, ...]
    read: collections.abc.Callable[[bytes], Rows]


class RowKey(typing.NamedTuple):
    """The kind and name of a configuration row, unchecked as they stand in a file or a table."""

    kind: typing.Any
    name: typing.Any

    @classmethod
    def of(cls, row: Row) -> "RowKey":
        """Return the key of a configuration row."""
        return cls(row.get("kind"), row.get("name"))


def read_json(content: bytes) -> Rows:
    """Read a JSON list of rows, or an object with such a list under `rows`, as the operators' API returns it.

    Raises:
        InvalidChangeError: The content is neither of the two.
    """
    try:
        decoded = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise file_faults.error_for_file(f"the file is not JSON: {error}") from None
    rows = decoded.get("rows") if isinstance(decoded, dict) else decoded
    if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
        raise file_faults.error_for_file("not a list of rows")
    return rows


# Extension point: the formats of configuration files by name; add a format as another entry.
REGISTRY: dict[str, FileFormat] = {
    DEFAULT_FORMAT: FileFormat((".json",), read_json),
    "objects": FileFormat((".yaml", ".yml"), object_format.read_objects),
}


def read(name: str, content: bytes, format_name: str = "") -> Rows:
    """Return the configuration rows of a file.

    Args:
        name: The name of the file; its ending determines the format if `format_name` is empty.
        content: The content of the file.
        format_name: The name of a format in `REGISTRY`, or "".

    Raises:
        InvalidChangeError: The file is too large or has faults.

    >>> read("x.yaml", b"{apiVersion: irisstand/v1, kind: Site, metadata: {name: north}, spec: {weight: 2}}")
    [{'kind': 'site', 'name': 'north', 'value': {'weight': 2}}]
    """
    if len(content) > FILE_BYTES_LIMIT:
        raise file_faults.error_for_file(
            f"the file has over {FILE_BYTES_LIMIT} bytes; split it into several files"
        )
    return REGISTRY[format_name or format_of(name)].read(content)


def format_of(name: str) -> str:
    """Return the name of the format that the ending of a file's name stands for."""
    for format_name, file_format in REGISTRY.items():
        if name.lower().endswith(file_format.endings):
            return format_name
    return DEFAULT_FORMAT


def differences(wanted: Rows, table: Rows) -> list[str]:
    """Return one line of text for each row that differs between a file and a table.

    Args:
        wanted: The rows of the file; a row without a value is to be removed from the table.
        table: The rows of the table.
    """
    wanted_values = {RowKey.of(row): row.get("value") for row in wanted}
    table_values = {RowKey.of(row): row["value"] for row in table}
    lines = []
    for key in sorted(set(wanted_values) | set(table_values), key=str):
        title = f"{key.kind} {key.name}"
        if key not in table_values:
            # A row that the file removes is rightly missing from the table.
            if wanted_values[key] is not None:
                lines.append(f"missing: {title}")
        elif key not in wanted_values:
            lines.append(f"not in the file: {title}")
        elif wanted_values[key] != table_values[key]:
            lines.append(f"other: {title}: {table_values[key]} where {wanted_values[key]} was wanted")
    return lines
