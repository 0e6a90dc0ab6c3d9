"""Names of the files in the data folder of a voter."""

import hashlib

from irisstand.state import items

# Holds the disk id.
DISK_ID_FILE = "vault"


def record_prefix(table: str) -> str:
    """Return how the names of all records of a table begin."""
    return f"{table}.voter."


def record_file(table: str, number: int) -> str:
    """Return the name of a voter's record for one table; the highest number counts."""
    return f"{record_prefix(table)}{number:012d}"


def segment_prefix(table: str) -> str:
    """Return how the names of all segments of a table begin."""
    return f"{table}.segment."


def segment_file(table: str, number: int) -> str:
    """Return the name of a file that holds many items."""
    return f"{segment_prefix(table)}{number:012d}"


def item_prefix(table: str) -> str:
    """Return how the names of all item files of a table begin."""
    return f"{table}.item."


def item_file(table: str, item: items.Item) -> str:
    """Return the name of a file that holds one item.

    It tells key and version, so that a new version never overwrites an old one.
    """
    key = hashlib.sha256(item.key.encode()).hexdigest()[:24]
    node = hashlib.sha256(item.version.node.encode()).hexdigest()[:8]
    return f"{item_prefix(table)}{key}.{item.version.counter:012d}.{node}"


def file_number(name: str) -> int:
    """Return the number of a record or a segment.

    >>> file_number(record_file("ledger", 7))
    7
    """
    return int(name.rsplit(".", 1)[1])
