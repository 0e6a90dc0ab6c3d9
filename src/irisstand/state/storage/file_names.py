"""Names of the files in a voter's data folder."""

import hashlib

from irisstand.state import items

# The file that stores the disk id.
DISK_ID_FILE = "vault"


def record_prefix(table: str) -> str:
    """Return the prefix that the file names of a table's records share."""
    return f"{table}.voter."


def record_file(table: str, number: int) -> str:
    """Return the file name of a voter's record for one table; the record with the highest number is valid."""
    return f"{record_prefix(table)}{number:012d}"


def segment_prefix(table: str) -> str:
    """Return the prefix that the file names of a table's segments share."""
    return f"{table}.segment."


def segment_file(table: str, number: int) -> str:
    """Return the name of a segment, which is a file that holds many items."""
    return f"{segment_prefix(table)}{number:012d}"


def item_prefix(table: str) -> str:
    """Return the prefix that the names of a table's item files share."""
    return f"{table}.item."


def item_file(table: str, item: items.Item) -> str:
    """Return the name of the file that holds one item.

    The name is made of the key and the version, so that a new version never overwrites an older one.
    """
    key = hashlib.sha256(item.key.encode()).hexdigest()[:24]
    node = hashlib.sha256(item.version.node.encode()).hexdigest()[:8]
    return f"{item_prefix(table)}{key}.{item.version.counter:012d}.{node}"


def file_number(name: str) -> int:
    """Return the number in the file name of a record or a segment.

    >>> file_number(record_file("ledger", 7))
    7
    """
    return int(name.rsplit(".", 1)[1])
