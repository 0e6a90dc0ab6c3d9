"""Messages by which a control plane node forwards an order to a voter and receives the result."""

import dataclasses
import enum
import typing

from irisstand import control_errors, errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import request


class OrderResult(typing.TypedDict):
    """The result of a confirmed order, as operators receive it.

    Attributes:
        serial: The version of the batch that contains the order, as a string.
        rows: The keys that the order wrote.
    """

    serial: str
    rows: list[str]


class OrderStatus(enum.StrEnum):
    """The status of a reply to an order, unless that is the `code` of a `control_errors.DetailedError`."""

    DONE = "done"
    INVALID_CHANGE = "bad-change"
    STALE_VERSION = "stale-serial"
    KEY_CLAIMED = "claimed"
    OUTCOME_UNKNOWN = "unknown"


class OrderReply(typing.NamedTuple):
    """A voter's reply to an order: a status, and as content the result or the details of the refusal."""

    status: str
    content: typing.Any

    @classmethod
    def from_wire(cls, body: typing.Any) -> "OrderReply":
        """Decode the reply to an order; ValueError or TypeError if it is malformed."""
        status, content = body
        return cls(status, content)

    @classmethod
    def from_error(cls, error: errors.IrisError) -> "OrderReply | None":
        """Return a reply with the details of a refusal; None for errors that are sent as error responses."""
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
            irisstand.errors.IrisError: The order was refused, or its outcome is unknown.
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
        # An unknown status, which a later release may send, does not confirm the order.
        raise errors.ChangeOutcomeUnknownError(f"unknown status {self.status!r} in the voter's reply")


@dataclasses.dataclass(frozen=True)
class OrderRequest(request.Request[OrderReply]):
    """Asks a voter to have an order decided."""

    kind = request.MessageKind.ORDER
    order: orders.Order

    @classmethod
    def from_wire(cls, body: typing.Any) -> "OrderRequest":
        """Decode the request; TypeError if it has a wrong number of fields."""
        return cls(orders.Order(*body))

    def to_wire(self) -> request.WireBody:
        """Return the body as a plain tuple."""
        return tuple(self.order)

    def decode_reply(self, body: typing.Any) -> OrderReply:
        """Decode the reply, which has a status and a content."""
        return OrderReply.from_wire(body)
