"""Judges a soak run: requests that were read or sent on and had no whole answer, and stops that took long.

A request is lost in two ways: its connection ends without a whole answer, or the node answers by itself while
an origin works on that very request, or after it broke that work off.
"""

import signal
import typing

from irisstand.soak import records, shape

# A request that crosses the close of its connection ends within this time, unread.
CROSSING_CLOSE_SECONDS = 0.2
# The end of the grace, in which work at an origin may be broken off if its request came early enough.
EXCUSED_FROM_SECONDS = shape.GRACE_SECONDS * 5 / 6
EXCUSED_SENT_SECONDS = 3.0
# Before a deadline, by which a node may answer that it passed.
DEADLINE_MARGIN_SECONDS = 0.1
# Between the end of an origin's work and the answer of the node that broke it off.
RESPONSE_MARGIN_SECONDS = 0.02

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Violation(typing.NamedTuple):
    """One thing that must not have happened."""

    kind: str
    detail: str


class Verdict:
    """The findings of a run."""

    def __init__(self, run_records: records.Records) -> None:
        self.records = run_records
        self.violations: list[Violation] = []
        self.starts_with_requests = {(request.edge, request.start_number) for request in run_records.requests}
        for request in run_records.requests:
            self.check_write(request)
            self.check_request(request)
        for stop in run_records.stops.values():
            self.check_stop(stop)
        self.violations += [
            Violation("a process ended by itself", text) for text in run_records.unexpected_ends
        ]

    def check_write(self, request: records.ClientRequest) -> None:
        """Judge that a write ran once at the most, and never if its answer promised that it had not run."""
        runs = self.records.runs.get(request.request_id, [])
        if request.kind != "writes" or not runs:
            return
        if len(runs) > 1:
            self.add_violation("a write ran twice", request, runs)
        if request.end is records.RequestEnd.NODE_RESPONSE and request.status in NOT_RUN_STATUSES:
            self.add_violation("a write ran that was promised not to", request, runs)

    def check_request(self, request: records.ClientRequest) -> None:
        """Judge how one request ended."""
        if request.end in (records.RequestEnd.ANSWERED, records.RequestEnd.DEADLINE):
            return
        if request.ended_at >= request.deadline_at - DEADLINE_MARGIN_SECONDS:
            return
        runs = self.records.runs.get(request.request_id, [])
        if self.is_excused(request):
            return
        if request.end is records.RequestEnd.CLOSED:
            if runs or request.ended_at - request.sent_at > CROSSING_CLOSE_SECONDS:
                self.add_violation("no answer", request, runs)
        elif any(self.is_abandoned(run, request) for run in runs):
            self.add_violation("own answer while an origin was at work", request, runs)

    @staticmethod
    def is_abandoned(run: records.OriginRun, request: records.ClientRequest) -> bool:
        """Return whether a run had brought no answer when the client got one of the node's own."""
        if run.end is records.RunEnd.CANCELLED:
            return True
        return run.end is records.RunEnd.RUNNING or run.ended_at > request.ended_at + RESPONSE_MARGIN_SECONDS

    def is_excused(self, request: records.ClientRequest) -> bool:
        """Return whether a request that came early enough ended in the last part of a stop's grace."""
        stop = self.records.stops.get((request.edge, request.start_number))
        if stop is None or request.sent_at - stop.sent_at > EXCUSED_SENT_SECONDS:
            return False
        runs = self.records.runs.get(request.request_id, [])
        excused_from = stop.sent_at + EXCUSED_FROM_SECONDS
        return request.ended_at >= excused_from and any(run.ended_at >= excused_from for run in runs)

    def check_stop(self, stop: records.Stop) -> None:
        """Judge how long a stop took, and how the process ended."""
        if stop.code is None:
            return
        stop_seconds = stop.ended_at - stop.sent_at
        detail = (
            f"{stop.name}: {stop_seconds:.2f} s, exit code {stop.code}, at an age of {stop.age_seconds:.2f} s"
        )
        if stop_seconds > shape.GRACE_SECONDS:
            self.violations.append(Violation("a stop took longer than the grace", detail))
        # Before its handlers are there, a process has read nothing, and the signal itself ends it.
        if stop.code == -signal.SIGTERM and (stop.name, stop.start_number) not in self.starts_with_requests:
            return
        if stop.code:
            self.violations.append(Violation("a stop ended badly", detail))

    def add_violation(self, kind: str, request: records.ClientRequest, runs: list[records.OriginRun]) -> None:
        """Add a finding about a request."""
        stop = self.records.stops.get((request.edge, request.start_number))
        phase = "calm edge"
        if stop is not None and request.ended_at >= stop.sent_at:
            phase = f"stopping edge, sent {request.sent_at - stop.sent_at:+.2f} s from SIGTERM"
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
