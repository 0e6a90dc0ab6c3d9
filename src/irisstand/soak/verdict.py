"""Judges a soak run: requests that were read or sent on and had no whole answer, and stops that took long.

A request is lost in two ways: its connection ends without a whole answer, or the node answers by itself while
an origin works on that very request, or after it broke that work off.
"""

import signal
import typing

from irisstand.soak import records, shape

# A request that crosses the close of its connection ends within this time, unread.
CROSSING_SECONDS = 0.2
# The end of the grace, in which work at an origin may be broken off if its request came early enough.
EXCUSED_FROM_SECONDS = shape.GRACE_SECONDS * 5 / 6
EXCUSED_SENT_SECONDS = 3.0
# Before a deadline, by which a node may answer that it passed.
DEADLINE_MARGIN_SECONDS = 0.1
# Between the end of an origin's work and the answer of the node that broke it off.
EVENT_MARGIN_SECONDS = 0.02

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Finding(typing.NamedTuple):
    """One thing that must not have happened."""

    rule: str
    detail: str


class Verdict:
    """The findings of a run."""

    def __init__(self, seen: records.Records) -> None:
        self.records = seen
        self.findings: list[Finding] = []
        self.lives_asked = {(ask.edge, ask.life) for ask in seen.asks}
        for ask in seen.asks:
            self.judge_write(ask)
            self.judge_ask(ask)
        for stop in seen.stops.values():
            self.judge_stop(stop)
        self.findings += [Finding("a process ended by itself", text) for text in seen.unexpected_ends]

    def judge_write(self, ask: records.Ask) -> None:
        """Judge that a write ran once at the most, and never if its answer promised that it had not run."""
        runs = self.records.runs.get(ask.request_id, [])
        if ask.kind != "writes" or not runs:
            return
        if len(runs) > 1:
            self.report("a write ran twice", ask, runs)
        if ask.end is records.AskEnd.OWN_ANSWER and ask.status in NOT_RUN_STATUSES:
            self.report("a write ran that was promised not to", ask, runs)

    def judge_ask(self, ask: records.Ask) -> None:
        """Judge how one request ended."""
        if ask.end in (records.AskEnd.ANSWERED, records.AskEnd.DEADLINE):
            return
        if ask.ended_at >= ask.deadline_at - DEADLINE_MARGIN_SECONDS:
            return
        runs = self.records.runs.get(ask.request_id, [])
        if self.is_excused(ask):
            return
        if ask.end is records.AskEnd.CLOSED:
            if runs or ask.ended_at - ask.sent_at > CROSSING_SECONDS:
                self.report("no answer", ask, runs)
        elif any(self.is_broken_off(run, ask) for run in runs):
            self.report("own answer while an origin was at work", ask, runs)

    @staticmethod
    def is_broken_off(run: records.OriginRun, ask: records.Ask) -> bool:
        """Return whether a run had brought no answer when the client got one of the node's own."""
        if run.end is records.RunEnd.CUT:
            return True
        return run.end is records.RunEnd.AT_WORK or run.ended_at > ask.ended_at + EVENT_MARGIN_SECONDS

    def is_excused(self, ask: records.Ask) -> bool:
        """Return whether a request that came early enough ended in the last part of a stop's grace."""
        stop = self.records.stops.get((ask.edge, ask.life))
        if stop is None or ask.sent_at - stop.sent_at > EXCUSED_SENT_SECONDS:
            return False
        runs = self.records.runs.get(ask.request_id, [])
        excused_from = stop.sent_at + EXCUSED_FROM_SECONDS
        return ask.ended_at >= excused_from and any(run.ended_at >= excused_from for run in runs)

    def judge_stop(self, stop: records.Stop) -> None:
        """Judge how long a stop took, and how the process ended."""
        if stop.code is None:
            return
        took = stop.ended_at - stop.sent_at
        detail = f"{stop.name}: {took:.2f} s, exit code {stop.code}, at an age of {stop.age_seconds:.2f} s"
        if took > shape.GRACE_SECONDS:
            self.findings.append(Finding("a stop took longer than the grace", detail))
        # Before its handlers are there, a process has read nothing, and the signal itself ends it.
        if stop.code == -signal.SIGTERM and (stop.name, stop.life) not in self.lives_asked:
            return
        if stop.code:
            self.findings.append(Finding("a stop ended badly", detail))

    def report(self, rule: str, ask: records.Ask, runs: list[records.OriginRun]) -> None:
        """Add a finding about a request."""
        stop = self.records.stops.get((ask.edge, ask.life))
        phase = "calm edge"
        if stop is not None and ask.ended_at >= stop.sent_at:
            phase = f"stopping edge, sent {ask.sent_at - stop.sent_at:+.2f} s from SIGTERM"
        spans = [(run, run.began_at - ask.sent_at, run.ended_at - ask.sent_at) for run in runs]
        at_origins = "; ".join(
            f"{run.instance} {began:+.2f} to {ended:+.2f} s {run.end}" for run, began, ended in spans
        )
        detail = (
            f"{ask.request_id} {ask.path} at {ask.edge} ({phase}): {ask.status or 'no'} {ask.code} after "
            f"{ask.ended_at - ask.sent_at:.2f} of {ask.deadline_at - ask.sent_at:.2f} s [{at_origins}]"
        )
        self.findings.append(Finding(f"{rule}, {phase.split(',')[0]}", detail))
