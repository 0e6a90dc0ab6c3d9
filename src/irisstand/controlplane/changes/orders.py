"""Orders: the changes that operators and singleton tasks submit, and the table that each kind writes.

An order is sent between nodes as `(kind, change, payload)`. The payload is a plain tuple, list or string; the
module that plans the kind of order parses it into a typed object.
"""

import enum
import typing

from irisstand import errors
from irisstand.state import items


class OrderKind(enum.StrEnum):
    """The kinds of orders; the values are the names that are sent between nodes."""

    CHANGE = "change"
    AMEND = "amend"
    PURGE = "purge"
    EVACUATE = "evacuate"
    RETURN = "return"
    ENROL_CONFIGURATION = "enrol-blueprint"
    ENROL_LEDGER = "enrol-ledger"
    ENROL_CLAIMS = "enrol-claims"
    RETIRE_CONFIGURATION = "retire-blueprint"
    RETIRE_LEDGER = "retire-ledger"
    RETIRE_CLAIMS = "retire-claims"
    VOTERS_CONFIGURATION = "voters-blueprint"
    VOTERS_LEDGER = "voters-ledger"
    VOTERS_CLAIMS = "voters-claims"
    CLAIM_KEY = "claim"
    SETTLE_KEY = "settle"
    LEASE = "term"
    FENCED_WRITE = "fenced"
    ADVANCE_CONFIGURATION_TIME = "tick-blueprint"
    ADVANCE_LEDGER_TIME = "tick-ledger"
    ADVANCE_CLAIMS_TIME = "tick-claims"


TABLE_BY_KIND: dict[str, str] = {
    OrderKind.CHANGE: items.CONFIGURATION,
    OrderKind.AMEND: items.CONFIGURATION,
    OrderKind.PURGE: items.LEDGER,
    OrderKind.EVACUATE: items.LEDGER,
    OrderKind.RETURN: items.LEDGER,
    OrderKind.ENROL_CONFIGURATION: items.CONFIGURATION,
    OrderKind.ENROL_LEDGER: items.LEDGER,
    OrderKind.ENROL_CLAIMS: items.IDEMPOTENCY_KEYS,
    OrderKind.RETIRE_CONFIGURATION: items.CONFIGURATION,
    OrderKind.RETIRE_LEDGER: items.LEDGER,
    OrderKind.RETIRE_CLAIMS: items.IDEMPOTENCY_KEYS,
    OrderKind.VOTERS_CONFIGURATION: items.CONFIGURATION,
    OrderKind.VOTERS_LEDGER: items.LEDGER,
    OrderKind.VOTERS_CLAIMS: items.IDEMPOTENCY_KEYS,
    OrderKind.CLAIM_KEY: items.IDEMPOTENCY_KEYS,
    OrderKind.SETTLE_KEY: items.IDEMPOTENCY_KEYS,
    OrderKind.LEASE: items.LEDGER,
    OrderKind.FENCED_WRITE: items.LEDGER,
    OrderKind.ADVANCE_CONFIGURATION_TIME: items.CONFIGURATION,
    OrderKind.ADVANCE_LEDGER_TIME: items.LEDGER,
    OrderKind.ADVANCE_CLAIMS_TIME: items.IDEMPOTENCY_KEYS,
}


class Order(typing.NamedTuple):
    """One order as it is sent between nodes.

    Attributes:
        kind: A value of `OrderKind`, or a name that this software version does not know.
        change: The change id that the sender chose, empty if there is none. A repeated order with the same
            change id gets the result of the first one.
        payload: The arguments of the order as decoded from the wire; their form depends on the kind.
    """

    kind: str
    change: str
    payload: typing.Any


def table_of(kind: str) -> str:
    """Return the name of the table that orders of a kind write.

    Raises:
        UnknownNameError: This software version does not know the kind.
    """
    if kind not in TABLE_BY_KIND:
        raise errors.UnknownNameError(
            f"unknown kind of order {kind!r}", f"use one of {', '.join(TABLE_BY_KIND)}"
        )
    return TABLE_BY_KIND[kind]
