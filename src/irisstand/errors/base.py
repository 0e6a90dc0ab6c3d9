"""The root of all errors, and the form in which errors travel between nodes."""

import typing

# Kinds that may travel between nodes, by code: all whose constructor takes a message, a remedy and a delay.
REGISTRY: dict[str, type["IrisError"]] = {}


class WireError(typing.NamedTuple):
    """An error as one node sends it to another.

    Attributes:
        code: The stable code of the kind of error.
        message: What happened, for people.
        remedy: What to do about it, for people.
        retry_after: Seconds after which it is worth trying again; 0.0 for no such advice.
    """

    code: str
    message: str
    remedy: str
    retry_after: float

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "WireError":
        """Check the decoded fields of an error.

        Raises:
            ValueError: The number of fields is wrong, or the delay is no number.
            TypeError: The fields are no sequence, or the delay is of a wrong type.
        """
        code, message, remedy, retry_after = fields
        return cls(str(code), str(message), str(remedy), float(retry_after))


class IrisError(Exception):
    """Root of all kinds of error that this software raises on purpose.

    Attributes:
        code: Stable name of the kind, for programs. Two kinds of different callers may share one.
        status: HTTP status of an answer that reports the error.
        remedy: What the reader of the message should do.
        default_retry_after: Seconds after which it is worth trying again, where the code that raises the
            error knows no better; 0.0 for no such advice.
    """

    code = "irisstand"
    status = 500
    remedy = "look at the log ring of the node that answered"
    default_retry_after = 0.0

    def __init__(self, message: str = "", remedy: str = "", retry_after: float = 0.0) -> None:
        super().__init__(message or self.code)
        self.remedy = remedy or type(self).remedy
        self.retry_after = retry_after or type(self).default_retry_after

    def __init_subclass__(cls, *, is_registered: bool = True) -> None:
        # A kind with arguments of its own cannot be rebuilt from the fields of a WireError.
        if is_registered and "__init__" not in vars(cls):
            REGISTRY[cls.code] = cls

    def to_wire(self) -> WireError:
        """Return what other nodes are sent of this error."""
        return WireError(self.code, str(self), self.remedy, self.retry_after)

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON object that HTTP answers carry."""
        return {"code": self.code, "message": str(self), "remedy": self.remedy}


def from_wire(wire_error: WireError) -> IrisError:
    """Rebuild an error that a peer sent; a code that is unknown here gives an IrisError.

    >>> from_wire(IrisError("no disk", "wait", 1.0).to_wire()).retry_after
    1.0
    """
    kind = REGISTRY.get(wire_error.code, IrisError)
    return kind(wire_error.message, wire_error.remedy, wire_error.retry_after)
