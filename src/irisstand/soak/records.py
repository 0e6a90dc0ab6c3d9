"""What a soak run saw: runs at origins, requests of clients, and signals to processes; moments in seconds."""

import dataclasses
import enum


class RunEnd(enum.StrEnum):
    """How a run at an origin ended."""

    RUNNING = "at work"
    ANSWERED = "answered"
    CANCELLED = "cut off by the caller"
    TIMED_OUT = "at its deadline"


@dataclasses.dataclass(slots=True)
class OriginRun:
    """One run of a request at an origin."""

    request_id: str
    instance: str
    path: str
    began_at: float
    ended_at: float = 0.0
    end: RunEnd = RunEnd.RUNNING


class RequestEnd(enum.StrEnum):
    """How a client's request ended."""

    ANSWERED = "whole answer"
    NODE_RESPONSE = "answer of the node's own"
    CLOSED = "connection ended"
    DEADLINE = "client's deadline"


@dataclasses.dataclass(slots=True)
class ClientRequest:
    """One request of a client: `sent_at` is when its last byte was written."""

    request_id: str
    edge: str
    start_number: int
    kind: str
    path: str
    sent_at: float
    deadline_at: float
    ended_at: float = 0.0
    end: RequestEnd = RequestEnd.DEADLINE
    status: int = 0
    code: str = ""


@dataclasses.dataclass(slots=True)
class Stop:
    """A SIGTERM to one life of a process of some age, and its end; `code` is None while it still runs."""

    name: str
    start_number: int
    sent_at: float
    age_seconds: float
    ended_at: float = 0.0
    code: int | None = None


@dataclasses.dataclass(slots=True)
class Records:
    """All that one run saw; `longest_lag_seconds` is how late the run's own event loop was at the most."""

    runs: dict[str, list[OriginRun]] = dataclasses.field(default_factory=dict)
    requests: list[ClientRequest] = dataclasses.field(default_factory=list)
    stops: dict[tuple[str, int], Stop] = dataclasses.field(default_factory=dict)
    unexpected_ends: list[str] = dataclasses.field(default_factory=list)
    sighups: int = 0
    changes: int = 0
    peak_memory_mb: dict[str, float] = dataclasses.field(default_factory=dict)
    longest_lag_seconds: float = 0.0

    def add_run(self, run: OriginRun) -> None:
        """Keep a run under the id of its request."""
        self.runs.setdefault(run.request_id, []).append(run)
