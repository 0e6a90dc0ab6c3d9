"""Counters and events that tell which response of an origin was taken, skipped or refused."""

import contextlib
import io

import eliot
import pytest
import stuttering_edge

from irisstand import counters, errors, event_log
from irisstand.dataplane.upstream import response_reports
from irisstand.emulators import surplus_responses

KINDS = surplus_responses.SurplusKind


@pytest.mark.parametrize(
    ("kind", "delay_seconds", "fate", "reason"),
    [
        (KINDS.OTHER_BODY, None, "skipped", "other-id"),
        (KINDS.WITHOUT_ID, None, "refused", "no-id"),
        (KINDS.SAME, 0.01, "refused", "no-request"),
    ],
)
def test_surplus_response_is_counted_by_what_became_of_it(kind, delay_seconds, fate, reason):
    async def scenario(edge):
        await edge.ask("/reads/1", request_id="r1")
        await stuttering_edge.pause()
        with contextlib.suppress(errors.IrisError):
            await edge.ask("/reads/2", request_id="r2")
        return edge.context.counters.get("surplus_responses", fate=fate, reason=reason)

    surplus = surplus_responses.Surplus(kind, delay_seconds)
    assert stuttering_edge.run_scenario(scenario, surplus) >= 1


def test_report_names_the_ids_that_differ():
    log = event_log.EventLog()
    eliot.add_destinations(log)
    try:
        response_reports.recorder(counters.Counters())(
            response_reports.ResponseReport(
                response_reports.ResponseFate.SKIPPED,
                response_reports.RefusalReason.OTHER_ID,
                4711,
                "b",
                "a",
                200,
            )
        )
    finally:
        eliot.remove_destination(log)
    event = log.events[-1]
    assert (event["local_port"], event["expected"], event["found"], event["status"]) == (4711, "b", "a", 200)


def test_event_of_a_printed_kind_is_written_at_once_and_kept():
    target = io.StringIO()
    log = event_log.EventLog(target=target, printed_kinds=("copy-fetched",))
    for kind in ("copy-fetched", "swim"):
        log({"message_type": kind})
    assert target.getvalue() == '{"message_type": "copy-fetched"}\n'
    assert len(log.events) == 2
