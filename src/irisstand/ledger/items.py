"""Items: what the tables hold. Each carries its own serial."""

import typing

from irisstand.ledger import serials

BLUEPRINT, LEDGER, CLAIMS = "blueprint", "ledger", "claims"
TABLES = (BLUEPRINT, LEDGER, CLAIMS)
# Claims are many and matter to the core alone; carried to every node they would cost more than all else.
CARRIED = (BLUEPRINT, LEDGER)
# Keys that begin with this are the system's own and are not shown as operators' rows.
RESERVED = "~"
VOTERS = "~voters"
# How long a table has been kept, by its own time.
TIME = "~time"
# Purges up to this serial may have been forgotten: what was fetched under an older tip is not used.
PURGED = "~purged"


class Item(typing.NamedTuple):
    """`value` None is a tombstone: the row was removed at that serial."""

    key: str
    serial: serials.Serial
    value: typing.Any


class Batch(typing.NamedTuple):
    """Rows decided together: in force whole or not at all. Rows are (key, value, forget)."""

    serial: serials.Serial
    base: serials.Serial
    rows: tuple


def encode(item: Item) -> tuple:
    return (item.key, tuple(item.serial), item.value)


def decode(parts: typing.Any) -> Item:
    key, serial, value = parts
    if not isinstance(key, str) or len(key) > 4096:
        raise ValueError("not a key")
    return Item(key, serials.decode(serial), value)


def encode_batch(batch: Batch) -> tuple:
    return (tuple(batch.serial), tuple(batch.base), batch.rows)


def decode_batch(parts: typing.Any) -> Batch:
    serial, base, rows = parts
    checked = []
    for key, value, forget in rows:
        if not isinstance(key, str) or type(forget) is not bool:
            raise ValueError("not a row")
        checked.append((key, value, forget))
    return Batch(serials.decode(serial), serials.decode(base), tuple(checked))
