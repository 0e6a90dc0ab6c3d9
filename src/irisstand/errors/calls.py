"""Errors of calls between nodes, and of frames and request bodies that cannot be decoded."""

from irisstand.errors import base


class MalformedFrameError(base.IrisError):
    """A frame or datagram cannot be decoded.

    Attributes:
        drop_reason: The name of this error class in metric labels and messages; it stays when the class is
            renamed.
    """

    code, status, remedy = "bad-frame", 400, "speak this protocol's version, within the size limit"
    drop_reason = "BadFrame"


class NotSentError(base.IrisError):
    """No byte of the request was sent, so it was certainly not executed and may be sent to another peer."""

    code, status, remedy = "unreached", 503, "ask another colleague"
    default_retry_after = 1.0


class IncarnationEndedError(NotSentError):
    """A request was meant for an earlier incarnation of the peer, and was certainly not executed."""

    code, remedy = "life-ended", "ask another colleague; the one that was meant has ended"


class UnansweredError(base.IrisError):
    """The request was sent and no response arrived, so it is not known whether the peer executed it."""

    code, status, remedy = "unanswered", 504, "ask again later; do not assume that it did not run"
    default_retry_after = 1.0


class UnknownNameError(base.IrisError):
    """A request names something that does not exist, such as a handler, a table or a node."""

    code, status, remedy = "unknown-name", 404, "use one of the names listed"


class BadRequestError(base.IrisError):
    """A request cannot be decoded, or its fields are not those that the receiver expects."""

    code, status, remedy = "bad-request", 400, "send what the operators' page describes"
