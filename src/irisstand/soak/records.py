"""Records of a soak run: work at origins, requests of clients, signals to processes; all times in seconds."""

import collections
import dataclasses
import enum
import typing

from irisstand.emulators import object_records


class RunEnd(enum.StrEnum):
    """How the work of an origin on a request ended."""

    RUNNING = "at work"
    ANSWERED = "answered"
    CANCELLED = "cut off by the caller"
    TIMED_OUT = "at its deadline"
    SPOILED = "cut off after the origin sent a response without an id"


@dataclasses.dataclass(slots=True)
class OriginRun:
    """One execution of a request at an origin instance, with event loop times of its start and end."""

    request_id: str
    instance: str
    path: str
    began_at: float
    ended_at: float = 0.0
    end: RunEnd = RunEnd.RUNNING


class RequestEnd(enum.StrEnum):
    """How a client's request ended: with a response of an origin or of the node, or without a response."""

    ANSWERED = "whole answer"
    NODE_RESPONSE = "answer of the node's own"
    CLOSED = "connection ended"
    DEADLINE = "client's deadline"


@dataclasses.dataclass(slots=True)
class ClientRequest:
    """One request of a client.

    Attributes:
        request_id: Value of the request's X-Request-Id header.
        edge: Name of the edge that the client's connection goes to.
        start_number: Which start of the edge's process accepted the connection, counted from 1.
        kind: Kind of the request; one of `clients.REQUEST_KINDS`.
        path: Path of the request.
        sent_at: Event loop time when the last byte was written.
        deadline_at: Event loop time when the client stops waiting.
        ended_at: Event loop time when the request ended.
        end: How the request ended.
        status: HTTP status of the response; 0 if there was none.
        code: Error code in the body of a node's own response; empty if there was none.
        mixed: What shows that the response is not the request's own; empty if it is.
        stale: What shows that the response is an old copy; empty if it is not.
    """

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
    mixed: str = ""
    stale: str = ""


@dataclasses.dataclass(slots=True)
class Stop:
    """The first SIGTERM sent to one started process, and the exit of that process.

    Attributes:
        name: Name of the process.
        start_number: Which start of the process received the signal, counted from 1.
        sent_at: Event loop time of the signal.
        age_seconds: How long the process had been running when it received the signal.
        ended_at: Event loop time of the exit.
        code: Exit code of the process; None while it is still running.
    """

    name: str
    start_number: int
    sent_at: float
    age_seconds: float
    ended_at: float = 0.0
    code: int | None = None


class Purge(typing.NamedTuple):
    """A purge of an object, with event loop times of its order and its confirmation."""

    sent_at: float
    confirmed_at: float


@dataclasses.dataclass(slots=True)
class Records:
    """Everything that is recorded during one run.

    Attributes:
        runs: Executions at origins by the id of their request.
        requests: Finished requests of all clients.
        stops: First SIGTERM to each started process, by the name and start number of the process.
        kills: Event loop time of each SIGKILL, by the name and start number of the process.
        unexpected_ends: One sentence for each exit of a process that had been sent neither signal.
        failed_checks: One sentence for each process that failed the check after the load.
        sighups: Number of times that SIGHUP was sent.
        changes: Number of configurations that the control plane accepted.
        peak_memory_mb: Largest resident memory of a process by role, in MB.
        peak_descriptors: Largest number of open descriptors of a process by role.
        objects: Versions of objects, and the responses that origins gave.
        purges: Confirmed purges of each object, by path, in the order of their confirmations.
        surplus_count: Number of surplus responses that origins sent.
        longest_lag_seconds: Longest delay of the event loop that clients and origins share.
    """

    runs: dict[str, list[OriginRun]] = dataclasses.field(default_factory=dict)
    requests: list[ClientRequest] = dataclasses.field(default_factory=list)
    stops: dict[tuple[str, int], Stop] = dataclasses.field(default_factory=dict)
    kills: dict[tuple[str, int], float] = dataclasses.field(default_factory=dict)
    unexpected_ends: list[str] = dataclasses.field(default_factory=list)
    failed_checks: list[str] = dataclasses.field(default_factory=list)
    sighups: int = 0
    changes: int = 0
    peak_memory_mb: dict[str, float] = dataclasses.field(default_factory=dict)
    peak_descriptors: dict[str, int] = dataclasses.field(default_factory=dict)
    objects: object_records.ObjectRecords = dataclasses.field(default_factory=object_records.ObjectRecords)
    purges: collections.defaultdict[str, list[Purge]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    surplus_count: int = 0
    longest_lag_seconds: float = 0.0

    def newest_purge(self, path: str, confirmed_before: float) -> float:
        """Return when the newest purge of an object was sent that was confirmed before a time; 0 if none."""
        sent = [purge.sent_at for purge in self.purges[path] if purge.confirmed_at < confirmed_before]
        return max(sent, default=0.0)

    def note_spoiled(self, request_id: str, instance: str) -> None:
        """Record that an origin itself gave the reason to cut off its newest execution of a request."""
        own_runs = [run for run in self.runs.get(request_id, []) if run.instance == instance]
        for run in own_runs[-1:]:
            if run.end is RunEnd.CANCELLED:
                run.end = RunEnd.SPOILED

    def add_run(self, run: OriginRun) -> None:
        """Record an execution at an origin under the id of its request."""
        self.runs.setdefault(run.request_id, []).append(run)
