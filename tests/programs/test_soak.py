"""Short soak runs of real processes; `irisstand soak` plays longer and larger ones, by the same seeds."""

import asyncio

import pytest

from irisstand.soak import records, runner, shape, verdict

CI_SECONDS = 20.0


def findings(ask, run=None, stop=None):
    seen = records.Records(asks=[ask])
    if run is not None:
        seen.begin_run(run)
    if stop is not None:
        seen.stops[stop.name, stop.life] = stop
    return [finding.rule for finding in verdict.Verdict(seen).findings]


def an_ask(end, ended_at, status=0, kind="objects", sent_at=100.0):
    return records.Ask("r1", "edge-1", 1, kind, "/x", sent_at, 110.0, ended_at, end, status)


def a_run(ended_at, end):
    return records.OriginRun("r1", "content-1", "/x", 100.1, ended_at, end)


def a_stop(sent_at):
    return records.Stop("edge-1", 1, sent_at, age_seconds=20.0)


OWN, CLOSED = records.AskEnd.OWN_ANSWER, records.AskEnd.CLOSED
CUT, ANSWERED = records.RunEnd.CUT, records.RunEnd.ANSWERED


@pytest.mark.parametrize(
    ("ask", "run", "stop", "found"),
    [
        (
            an_ask(OWN, 100.7, 503),
            a_run(100.7, CUT),
            None,
            "own answer while an origin was at work, calm edge",
        ),
        (
            an_ask(OWN, 100.7, 503),
            a_run(101.7, ANSWERED),
            a_stop(99.0),
            "own answer while an origin was at work, stopping edge",
        ),
        (an_ask(OWN, 100.2, 503), None, None, None),
        (an_ask(OWN, 109.95, 504), a_run(109.95, CUT), None, None),
        (an_ask(CLOSED, 100.7), None, None, "no answer, calm edge"),
        (an_ask(CLOSED, 100.1), None, None, None),
        (an_ask(CLOSED, 105.1), a_run(105.1, CUT), a_stop(99.9), None),
        (an_ask(CLOSED, 105.1), a_run(105.1, CUT), a_stop(96.0), "no answer, stopping edge"),
        (an_ask(CLOSED, 105.1), None, a_stop(99.9), "no answer, stopping edge"),
        (
            an_ask(OWN, 101, 503, "writes"),
            a_run(100.5, ANSWERED),
            None,
            "a write ran that was promised not to, calm edge",
        ),
    ],
)
def test_verdict_tells_lost_requests_from_excused_ones(ask, run, stop, found):
    assert findings(ask, run, stop) == ([found] if found else [])


@pytest.mark.parametrize("seed", [9, 16, 19])
def test_no_request_is_lost_in_a_short_soak(seed, tmp_path):
    report = asyncio.run(runner.play(shape.draw(seed, 8, CI_SECONDS), tmp_path))
    assert report.findings == []
    assert int(str(report.figures["requests"])) > 100
