"""Finds violations in the records of a soak run: lost requests, repeated writes, slow or failed shutdowns.

A request that an edge has read or forwarded is lost in one of two ways: its connection closes before the
whole response has arrived, or the node responds by itself while an origin is still working on the request or
after the node has cancelled that work.
"""

import signal
import typing

from irisstand.soak import machine_limits, records, shape

# A request that is sent while the edge closes the connection stays unread and ends within this time.
CROSSING_CLOSE_SECONDS = 0.2
# Time after SIGTERM from which a stopping edge may cancel requests: the last sixth of the grace period.
EXCUSED_FROM_SECONDS = shape.GRACE_SECONDS * 5 / 6
# Only requests that were sent no later than this after SIGTERM may be cancelled.
EXCUSED_SENT_SECONDS = 3.0
# How long before the client's deadline a node may already respond that the deadline has passed.
DEADLINE_MARGIN_SECONDS = 0.1
# Work of an origin that ends at most this long after a node's own response counts as ended before it.
RESPONSE_MARGIN_SECONDS = 0.02

# A kill excuses requests that are sent within this time after it.
CONTACT_SECONDS = 3.0

# HTTP statuses by which a node states that the request was not executed and never will be.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Violation(typing.NamedTuple):
    """A breach of an invariant: its kind, by which breaches are counted, and the details of this one."""

    kind: str
    detail: str


class Verdict:
    """Checks the records of a run and collects the violations.

    Attributes:
        records: Records of the run.
        violations: Violations found.
        starts_with_requests: Name and start number of each edge process that clients sent requests to.
    """

    def __init__(self, run_records: records.Records) -> None:
        self.records = run_records
        self.violations: list[Violation] = []
        self.starts_with_requests = {(request.edge, request.start_number) for request in run_records.requests}
        for request in run_records.requests:
            self.check_write(request)
            self.check_request(request)
            self.check_response(request)
        for stop in run_records.stops.values():
            self.check_stop(stop)
        self.violations += [
            Violation("a process exited without SIGTERM", text) for text in run_records.unexpected_ends
        ]
        self.violations += [
            Violation("a process failed the check after the load", text) for text in run_records.failed_checks
        ]
        self.check_resources()

    def check_write(self, request: records.ClientRequest) -> None:
        """Check that a write ran at most once, and never if the response says that it did not run."""
        runs = self.records.runs.get(request.request_id, [])
        if request.kind != "writes" or not runs:
            return
        if len(runs) > 1:
            self.add_violation("a write ran more than once", request, runs)
        if request.end is records.RequestEnd.NODE_RESPONSE and request.status in NOT_RUN_STATUSES:
            self.add_violation("a write ran although the response says it did not", request, runs)

    def check_response(self, request: records.ClientRequest) -> None:
        """Check that a response is the request's own, and no old copy, by what the origins recorded."""
        where = f"{request.request_id} {request.path} at {request.edge}"
        if request.mixed:
            detail = f"{where}: {request.mixed}"
            self.violations.append(Violation("a response was not the request's own", detail))
        if request.stale:
            self.violations.append(Violation("an old copy was served", f"{where}: {request.stale}"))

    def check_request(self, request: records.ClientRequest) -> None:
        """Check that a request without an origin's response was not lost before its deadline."""
        if request.end in (records.RequestEnd.ANSWERED, records.RequestEnd.DEADLINE):
            return
        if request.ended_at >= request.deadline_at - DEADLINE_MARGIN_SECONDS:
            return
        runs = self.records.runs.get(request.request_id, [])
        if self.is_excused(request) or self.is_near_kill(request):
            return
        if request.end is records.RequestEnd.CLOSED:
            if runs or request.ended_at - request.sent_at > CROSSING_CLOSE_SECONDS:
                self.add_violation("connection closed without a whole response", request, runs)
        elif any(self.is_abandoned(run, request) for run in runs if not is_lost_hedge(run, runs)):
            self.add_violation("node responded by itself while an origin was working", request, runs)

    @staticmethod
    def is_abandoned(run: records.OriginRun, request: records.ClientRequest) -> bool:
        """Return whether an origin was cancelled or still working when the node responded by itself."""
        if run.end is records.RunEnd.SPOILED:
            return False
        if run.end is records.RunEnd.CANCELLED:
            return True
        return run.end is records.RunEnd.RUNNING or run.ended_at > request.ended_at + RESPONSE_MARGIN_SECONDS

    def is_excused(self, request: records.ClientRequest) -> bool:
        """Return whether a stopping edge was allowed to cancel a request late in its grace period."""
        stop = self.records.stops.get((request.edge, request.start_number))
        if stop is None or request.sent_at - stop.sent_at > EXCUSED_SENT_SECONDS:
            return False
        runs = self.records.runs.get(request.request_id, [])
        excused_from = stop.sent_at + EXCUSED_FROM_SECONDS
        return request.ended_at >= excused_from and any(run.ended_at >= excused_from for run in runs)

    def is_near_kill(self, request: records.ClientRequest) -> bool:
        """Return whether any process was killed shortly before the request or before its end."""
        earliest = request.sent_at - CONTACT_SECONDS
        return any(earliest <= killed_at <= request.ended_at for killed_at in self.records.kills.values())

    def check_resources(self) -> None:
        """Check that no process used more memory or descriptors than its machine has."""
        for role, limits in machine_limits.LIMITS_BY_ROLE.items():
            used_mb = self.records.peak_memory_mb.get(role, 0.0)
            descriptors = self.records.peak_descriptors.get(role, 0)
            if used_mb > limits.memory_mb or descriptors >= limits.descriptors:
                detail = f"{role}: {used_mb:.0f} MB, {descriptors} descriptors, of {limits}"
                self.violations.append(Violation("a process used all of its machine", detail))

    def check_stop(self, stop: records.Stop) -> None:
        """Check that a process exited within the grace period after SIGTERM and with exit code 0."""
        if stop.code is None:
            return
        stop_seconds = stop.ended_at - stop.sent_at
        detail = (
            f"{stop.name}: {stop_seconds:.2f} s, exit code {stop.code}, at an age of {stop.age_seconds:.2f} s"
        )
        if stop_seconds > shape.GRACE_SECONDS:
            self.violations.append(Violation("a shutdown took longer than the grace period", detail))
        # SIGTERM kills a process that has not installed its signal handlers yet; it has read no request then.
        if stop.code == -signal.SIGTERM and (stop.name, stop.start_number) not in self.starts_with_requests:
            return
        if stop.code:
            self.violations.append(Violation("a shutdown ended with a nonzero exit code", detail))

    def add_violation(self, kind: str, request: records.ClientRequest, runs: list[records.OriginRun]) -> None:
        """Add a violation that concerns a request, with the state of its edge and its times at origins."""
        stop = self.records.stops.get((request.edge, request.start_number))
        phase = "running edge"
        if stop is not None and request.ended_at >= stop.sent_at:
            phase = f"stopping edge, sent {request.sent_at - stop.sent_at:+.2f} s after SIGTERM"
        runs_with_times = [
            (run, run.began_at - request.sent_at, run.ended_at - request.sent_at) for run in runs
        ]
        runs_text = "; ".join(
            f"{run.instance} {began:+.2f} to {ended:+.2f} s {run.end}"
            for run, began, ended in runs_with_times
        )
        detail = (
            f"{request.request_id} {request.path} at {request.edge} ({phase}): "
            f"{request.status or 'no'} {request.code} after {request.ended_at - request.sent_at:.2f} "
            f"of {request.deadline_at - request.sent_at:.2f} s [{runs_text}]"
        )
        self.violations.append(Violation(f"{kind}, {phase.split(',')[0]}", detail))


def is_lost_hedge(run: records.OriginRun, runs: list[records.OriginRun]) -> bool:
    """Return whether a run was cancelled as another run of the same request had just been answered."""
    return run.end is records.RunEnd.CANCELLED and any(
        other.end is records.RunEnd.ANSWERED
        and other.began_at < run.ended_at
        and abs(other.ended_at - run.ended_at) <= RESPONSE_MARGIN_SECONDS
        for other in runs
    )
