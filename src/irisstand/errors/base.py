"""The base class of all typed errors, and the form in which errors are sent between nodes."""

import copy
import typing

# The error classes that `from_wire` can rebuild, by code: all classes whose constructor takes a message, a
# remedy and a retry delay.
REGISTRY: dict[str, type["IrisError"]] = {}


class WireError(typing.NamedTuple):
    """The fields of an error that one node sends to another.

    Attributes:
        code: The stable code of the error class, for programs.
        message: What happened, for people.
        remedy: What to do about the error, for people.
        retry_after: Seconds after which a retry may succeed; 0.0 if no delay is advised.
    """

    code: str
    message: str
    remedy: str
    retry_after: float

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "WireError":
        """Check the decoded fields of an error, and return them as a WireError.

        Raises:
            ValueError: The number of fields is wrong, or the retry delay is text that is not a number.
            TypeError: The fields are not a sequence, or the retry delay is neither a number nor text.
        """
        code, message, remedy, retry_after = fields
        return cls(str(code), str(message), str(remedy), float(retry_after))


class IrisError(Exception):
    """Base class of all errors that irisstand raises on purpose.

    Attributes:
        code: Stable name of the error class, for programs. Two classes may share a code if they are reported
            to different callers.
        status: HTTP status of a response that reports the error.
        remedy: What the reader of the message should do.
        retry_after: Seconds after which a retry may succeed; 0.0 if no delay is advised.
        default_retry_after: The value of `retry_after` for errors that are raised without one.
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
        # A class whose constructor takes other arguments cannot be rebuilt from the fields of a WireError.
        if is_registered and "__init__" not in vars(cls):
            REGISTRY[cls.code] = cls

    def to_wire(self) -> WireError:
        """Return the fields of this error that are sent to other nodes."""
        return WireError(self.code, str(self), self.remedy, self.retry_after)

    def copy(self) -> typing.Self:
        """Return an equal error to raise in place of one that is kept.

        Through its traceback, a raised error refers to the frames that it has passed. If one of them refers
        to the error, too, only the garbage collector frees them, with all that their request holds.
        """
        return copy.copy(self)

    def without_frames(self) -> typing.Self:
        """Forget the frames in which this error was raised, as it is kept as a value; return the error."""
        self.__traceback__ = self.__context__ = self.__cause__ = None
        return self

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON object that describes this error in the body of an HTTP response."""
        return {"code": self.code, "message": str(self), "remedy": self.remedy}


def from_wire(wire_error: WireError) -> IrisError:
    """Rebuild an error that a peer sent; a code that is not in `REGISTRY` gives a plain IrisError.

    >>> from_wire(IrisError("no disk", "wait", 1.0).to_wire()).retry_after
    1.0
    """
    error_class = REGISTRY.get(wire_error.code, IrisError)
    return error_class(wire_error.message, wire_error.remedy, wire_error.retry_after)
