"""Errors of calls between nodes and of malformed input."""

from irisstand.errors import base


class MalformedFrameError(base.IrisError):
    """A frame or datagram that cannot be decoded.

    Attributes:
        drop_reason: What metric labels and messages call this kind; it does not follow the class name.
    """

    code, status, remedy = "bad-frame", 400, "speak this protocol's version, within the size limit"
    drop_reason = "BadFrame"


class NotSentError(base.IrisError):
    """Certain: not one byte of the request was sent. Another peer may be called."""

    code, status, remedy = "unreached", 503, "ask another colleague"
    default_retry_after = 1.0


class IncarnationEndedError(NotSentError):
    """Certain: the request was not carried out. It was meant for an earlier incarnation of the peer."""

    code, remedy = "life-ended", "ask another colleague; the one that was meant has ended"


class UnansweredError(base.IrisError):
    """The request was sent and no response came: it is not known whether it was carried out."""

    code, status, remedy = "unanswered", 504, "ask again later; do not assume that it did not run"
    default_retry_after = 1.0


class UnknownNameError(base.IrisError):
    """The request names something that does not exist."""

    code, status, remedy = "unknown-name", 404, "use one of the names listed"


class BadRequestError(base.IrisError):
    """The content of the request cannot be read."""

    code, status, remedy = "bad-request", 400, "send what the operators' page describes"
