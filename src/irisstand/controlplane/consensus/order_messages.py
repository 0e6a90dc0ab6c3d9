"""Orders that one control plane node forwards to a voter, and the voter's reply."""

import dataclasses
import enum
import typing

from irisstand import control_errors, errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import request


class OrderResult(typing.TypedDict):
    """The result of a confirmed order, as operators receive it: its version, and the keys it wrote."""

    serial: str
    rows: list[str]


class OrderStatus(enum.StrEnum):
    """The first field of a reply to an order; codes of `control_errors.DetailedError` stand there, too."""

    DONE = "done"
    INVALID_CHANGE = "bad-change"
    STALE_VERSION = "stale-serial"
    KEY_CLAIMED = "claimed"
    OUTCOME_UNKNOWN = "unknown"


class OrderReply(typing.NamedTuple):
    """A status, and the result or the details of the refusal."""

    status: str
    content: typing.Any

    @classmethod
    def from_wire(cls, body: typing.Any) -> "OrderReply":
        """Decode the reply; ValueError or TypeError if it is malformed."""
        status, content = body
        return cls(status, content)

    @classmethod
    def from_error(cls, error: errors.IrisError) -> "OrderReply | None":
        """Return the reply that carries a refusal with its details; None for errors that travel as faults."""
        match error:
            case errors.InvalidChangeError():
                return cls(OrderStatus.INVALID_CHANGE.value, error.faults)
            case errors.StaleVersionError():
                return cls(OrderStatus.STALE_VERSION.value, error.conflicts)
            case errors.KeyClaimedError():
                return cls(OrderStatus.KEY_CLAIMED.value, error.claim)
            case errors.ChangeOutcomeUnknownError():
                return cls(OrderStatus.OUTCOME_UNKNOWN.value, str(error))
            case control_errors.DetailedError():
                return cls(error.code, error.details)
        return None

    def to_wire(self) -> request.WireBody:
        """Return the reply as a plain tuple."""
        return tuple(self)

    def result(self) -> OrderResult:
        """Return the order's result.

        Raises:
            irisstand.errors.IrisError: The order was refused, or its outcome is not known.
        """
        match self.status:
            case OrderStatus.DONE:
                return typing.cast(OrderResult, self.content)
            case OrderStatus.INVALID_CHANGE:
                raise errors.InvalidChangeError(self.content)
            case OrderStatus.STALE_VERSION:
                raise errors.StaleVersionError(self.content)
            case OrderStatus.KEY_CLAIMED:
                raise errors.KeyClaimedError(self.content)
            case OrderStatus.OUTCOME_UNKNOWN:
                raise errors.ChangeOutcomeUnknownError(self.content)
        refusal = control_errors.rebuild(self.status, self.content)
        if refusal is not None:
            raise refusal
        # A status of later software is no confirmation.
        raise errors.ChangeOutcomeUnknownError(f"the voter answered {self.status!r}")


@dataclasses.dataclass(frozen=True)
class OrderRequest(request.Request[OrderReply]):
    """Ask a voter to have an order decided."""

    kind = request.MessageKind.ORDER
    order: orders.Order

    @classmethod
    def from_wire(cls, body: typing.Any) -> "OrderRequest":
        """Decode the request; TypeError if it has another number of fields."""
        return cls(orders.Order(*body))

    def to_wire(self) -> request.WireBody:
        """Return the body as a plain tuple."""
        return tuple(self.order)

    def decode_reply(self, body: typing.Any) -> OrderReply:
        """Decode the status and content."""
        return OrderReply.from_wire(body)
