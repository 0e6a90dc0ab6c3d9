"""Checks of soak runs, and short runs of real processes; `irisstand soak` plays longer and larger ones."""

import asyncio

import pytest

from irisstand.soak import records, runner, shape, verdict

CI_SECONDS = 20.0


def violations(sent_request, run=None, stop=None):
    run_records = records.Records(requests=[sent_request])
    if run is not None:
        run_records.add_run(run)
    if stop is not None:
        run_records.stops[stop.name, stop.start_number] = stop
    return [violation.kind for violation in verdict.Verdict(run_records).violations]


def make_request(end, ended_at, status=0, kind="objects", sent_at=100.0):
    return records.ClientRequest("r1", "edge-1", 1, kind, "/x", sent_at, 110.0, ended_at, end, status)


def make_run(ended_at, end):
    return records.OriginRun("r1", "content-1", "/x", 100.1, ended_at, end)


def make_stop(sent_at):
    return records.Stop("edge-1", 1, sent_at, age_seconds=20.0)


NODE_RESPONSE, CLOSED = records.RequestEnd.NODE_RESPONSE, records.RequestEnd.CLOSED
CANCELLED, ANSWERED = records.RunEnd.CANCELLED, records.RunEnd.ANSWERED


@pytest.mark.parametrize(
    ("sent_request", "run", "stop", "expected_kind"),
    [
        (
            make_request(NODE_RESPONSE, 100.7, 503),
            make_run(100.7, CANCELLED),
            None,
            "node responded by itself while an origin was working, running edge",
        ),
        (
            make_request(NODE_RESPONSE, 100.7, 503),
            make_run(101.7, ANSWERED),
            make_stop(99.0),
            "node responded by itself while an origin was working, stopping edge",
        ),
        (make_request(NODE_RESPONSE, 100.2, 503), None, None, None),
        (make_request(NODE_RESPONSE, 100.7, 502), make_run(100.7, records.RunEnd.SPOILED), None, None),
        (make_request(NODE_RESPONSE, 109.95, 504), make_run(109.95, CANCELLED), None, None),
        (make_request(CLOSED, 100.7), None, None, "connection closed without a whole response, running edge"),
        (make_request(CLOSED, 100.1), None, None, None),
        (make_request(CLOSED, 105.1), make_run(105.1, CANCELLED), make_stop(99.9), None),
        (
            make_request(CLOSED, 105.1),
            make_run(105.1, CANCELLED),
            make_stop(96.0),
            "connection closed without a whole response, stopping edge",
        ),
        (
            make_request(CLOSED, 105.1),
            None,
            make_stop(99.9),
            "connection closed without a whole response, stopping edge",
        ),
        (
            make_request(NODE_RESPONSE, 101, 503, "writes"),
            make_run(100.5, ANSWERED),
            None,
            "a write ran although the response says it did not, running edge",
        ),
    ],
)
def test_verdict_tells_lost_requests_from_excused_ones(sent_request, run, stop, expected_kind):
    assert violations(sent_request, run, stop) == ([expected_kind] if expected_kind else [])


@pytest.mark.parametrize("seed", [9, 16, 19])
def test_no_request_is_lost_in_a_short_soak(seed, tmp_path):
    report = asyncio.run(runner.run_seed(shape.draw(seed, 8, CI_SECONDS), tmp_path))
    assert report.violations == []
    assert int(str(report.figures["requests"])) > 100


def test_kill_excuses_only_requests_near_it():
    lost = make_request(CLOSED, 100.7)
    for killed_at, expected in ((96.9, 1), (97.1, 0), (100.6, 0), (100.8, 1)):
        run_records = records.Records(requests=[lost], kills={("edge-2", 1): killed_at})
        assert len(verdict.Verdict(run_records).violations) == expected, killed_at


def test_process_above_the_memory_of_its_machine_is_a_violation():
    for used_mb, expected in ((259.0, 0), (261.0, 1)):
        run_records = records.Records(peak_memory_mb={"direct": used_mb})
        assert len(verdict.Verdict(run_records).violations) == expected, used_mb


def test_no_request_is_lost_while_series_of_signals_restarts_and_changes_overlap(tmp_path):
    plan = shape.draw(801, 8, CI_SECONDS, series=True)
    report = asyncio.run(runner.run_seed(plan, tmp_path))
    assert report.violations == []
    assert plan.busy_clients > 0
    assert int(str(report.figures["SIGHUPs"])) > 4


def test_no_process_ends_by_itself_under_limits_and_kills_in_a_short_soak(tmp_path):
    plan = shape.draw(501, 8, CI_SECONDS, kills=True)
    report = asyncio.run(runner.run_seed(plan, tmp_path))
    assert report.violations == []
    assert int(str(report.figures["kills"])) >= 3


def test_each_answer_is_its_requests_own_and_no_old_copy_while_origins_answer_twice(tmp_path):
    """Guards against MIXED and STALE, by what the origins recorded."""
    plan = shape.draw(901, 8, CI_SECONDS, series=True, stutter=True)
    report = asyncio.run(runner.run_seed(plan, tmp_path))
    assert report.violations == []
    assert int(str(report.figures["surplus responses"])) > 50
    assert int(str(report.figures["confirmed purges"])) > 50


def test_answer_of_another_request_and_an_old_copy_are_violations():
    fine = make_request(records.RequestEnd.ANSWERED, 100.7, 200)
    assert violations(fine) == []
    fine.mixed = "another body"
    assert violations(fine) == ["a response was not the request's own"]
    fine.mixed, fine.stale = "", "version 1"
    assert violations(fine) == ["an old copy was served"]


def test_run_that_its_origin_spoiled_is_excused_though_another_origin_ran_the_request_later():
    run_records = records.Records(requests=[make_request(NODE_RESPONSE, 100.7, 502)])
    for instance in ("app-1", "app-2"):
        run_records.add_run(records.OriginRun("r1", instance, "/x", 100.1, 100.2, CANCELLED))
    run_records.note_spoiled("r1", "app-1")
    assert len(verdict.Verdict(run_records).violations) == 1
    run_records.note_spoiled("r1", "app-2")
    assert verdict.Verdict(run_records).violations == []


@pytest.mark.parametrize(("answered_at", "count"), [(100.19, 0), (100.21, 0), (100.4, 1), (100.12, 1)])
def test_run_that_was_cancelled_as_its_hedge_answered_is_no_lost_work(answered_at, count):
    run_records = records.Records(requests=[make_request(NODE_RESPONSE, 103.0, 503)])
    run_records.add_run(records.OriginRun("r1", "content-1", "/x", 100.1, 100.2, CANCELLED))
    run_records.add_run(records.OriginRun("r1", "content-2", "/x", 100.0, answered_at, ANSWERED))
    assert len(verdict.Verdict(run_records).violations) == count
