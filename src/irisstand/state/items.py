"""Items: what the tables hold. Each carries its own version."""

import typing

from irisstand.state import versions

CONFIGURATION, LEDGER, CLAIMS = "blueprint", "ledger", "claims"
TABLES = (CONFIGURATION, LEDGER, CLAIMS)
# Claims are many and matter to the core alone; carried to every node they would cost more than all else.
CARRIED = (CONFIGURATION, LEDGER)
# Keys that begin with this are the system's own and are not shown as operators' rows.
RESERVED = "~"
VOTERS = "~voters"
# How long a table has been kept, by its own time.
TIME = "~time"
# Purges up to this version may have been forgotten: what was fetched under an older applied version is not
# used.
PURGED = "~purged"


class Item(typing.NamedTuple):
    """`value` None is a tombstone: the row was removed at that version."""

    key: str
    version: versions.Version
    value: typing.Any


class Batch(typing.NamedTuple):
    """Rows decided together: in force whole or not at all. Rows are (key, value, forget)."""

    version: versions.Version
    base: versions.Version
    rows: tuple


def encode(item: Item) -> tuple:
    return (item.key, tuple(item.version), item.value)


def decode(parts: typing.Any) -> Item:
    key, version, value = parts
    if not isinstance(key, str) or len(key) > 4096:
        raise ValueError("not a key")
    return Item(key, versions.decode(version), value)


def encode_batch(batch: Batch) -> tuple:
    return (tuple(batch.version), tuple(batch.base), batch.rows)


def decode_batch(parts: typing.Any) -> Batch:
    version, base, rows = parts
    checked = []
    for key, value, forget in rows:
        if not isinstance(key, str) or type(forget) is not bool:
            raise ValueError("not a row")
        checked.append((key, value, forget))
    return Batch(versions.decode(version), versions.decode(base), tuple(checked))
