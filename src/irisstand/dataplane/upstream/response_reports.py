"""Reports of responses on connections to origins that were not taken as the response to the request."""

import collections.abc
import enum
import typing

from irisstand import counters, event_log


class ResponseFate(enum.Enum):
    """What became of a response or of bytes that were not taken."""

    # The response was dropped, and the request waits on.
    SKIPPED = "skipped"
    # The connection was closed; a request that waited has failed.
    REFUSED = "refused"


class RefusalReason(enum.Enum):
    """Why a response was not taken."""

    OTHER_ID = "other-id"
    NO_ID = "no-id"
    NO_REQUEST = "no-request"
    TOO_MANY = "too-many"
    MALFORMED = "malformed"


# With these reasons, the head of the response was read.
REASONS_WITH_HEAD = (RefusalReason.OTHER_ID, RefusalReason.NO_ID, RefusalReason.TOO_MANY)


class ResponseReport(typing.NamedTuple):
    """A response that was not taken.

    Attributes:
        fate: What became of it.
        reason: Why it was not taken.
        local_port: The port of this node's end of the connection; 0 if it is not known.
        expected_id: The id of the request that waited; empty if it had none, or if none waited.
        found_id: The id that the response bore; empty if it bore none.
        status: The HTTP status; 0 if it is not known.
    """

    fate: ResponseFate
    reason: RefusalReason
    local_port: int
    expected_id: str
    found_id: str = ""
    status: int = 0


Report = collections.abc.Callable[[ResponseReport], None]


def ignore(_: ResponseReport) -> None:
    """Take a report of a connection whose owner wants none."""


def recorder(counters: counters.Counters) -> Report:
    """Return a function that counts reports and records each as an event."""

    def record(report: ResponseReport) -> None:
        counters.add("surplus_responses", fate=report.fate.value, reason=report.reason.value)
        event_log.record(
            "surplus-response",
            fate=report.fate.value,
            reason=report.reason.value,
            local_port=report.local_port,
            expected=report.expected_id,
            found=report.found_id,
            status=report.status,
        )

    return record
