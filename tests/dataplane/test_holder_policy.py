"""Decisions of the policy of a read that was sent to an object holder: events in, actions out."""

import pytest

from irisstand import errors
from irisstand.dataplane.retry import actions, events, holder_policy


class Clock:
    def __init__(self):
        self.time = 0.0

    def now(self):
        return self.time


FULL = errors.LimitExceededError("full")
GONE = errors.UnansweredError("gone")
FAILED = errors.OriginFailedError("failed")
STARTED, FETCH_STARTED = events.STARTED, events.ORIGIN_FETCH_STARTED
BUSY = events.HolderOverdue(is_silent=False, is_failed=False)
SILENT = events.HolderOverdue(is_silent=True, is_failed=False)
DEAD = events.HolderOverdue(is_silent=True, is_failed=True)
FETCH = actions.FetchFromOrigin()


def last_action(*received, is_refusal_final=True):
    policy = holder_policy.HolderReadPolicy(Clock(), 5.0, is_refusal_final=is_refusal_final)
    return [policy.decide(event) for event in received][-1]


@pytest.mark.parametrize(
    ("received", "expected"),
    [
        ((STARTED,), actions.Wait(0.6)),
        ((STARTED, events.ResponseReceived("whole", "h")), actions.Respond("whole")),
        ((STARTED, BUSY, BUSY, BUSY), actions.Wait(0.5)),
        ((STARTED, SILENT), FETCH),
        ((STARTED, SILENT, FETCH_STARTED, SILENT), actions.Wait(0.5)),
        ((STARTED, events.HolderFailed(FULL)), actions.Reject(FULL)),
        ((STARTED, events.HolderFailed(GONE)), FETCH),
        ((STARTED, DEAD), FETCH),
        # A refusal of this node's own fetch is held back while an origin may be working for the holder.
        ((STARTED, SILENT, FETCH_STARTED, events.AttemptFailed(FULL, "")), actions.Wait(0.5)),
        (
            (STARTED, SILENT, FETCH_STARTED, events.AttemptFailed(FULL, ""), events.HolderFailed(GONE)),
            actions.Reject(FULL),
        ),
        # A fetch that no origin has executed may be retried; one that may have run is not sent again.
        ((STARTED, SILENT, FETCH_STARTED, events.AttemptFailed(FULL, ""), SILENT), FETCH),
        ((STARTED, SILENT, FETCH_STARTED, events.AttemptFailed(FAILED, ""), SILENT), actions.Wait(0.5)),
        # The failure detector may be wrong: while the call is open, an origin may be working for the holder.
        ((STARTED, DEAD, FETCH_STARTED, events.AttemptFailed(FULL, "")), actions.Wait(0.5)),
        ((STARTED, DEAD, FETCH_STARTED, events.AttemptFailed(FULL, ""), DEAD), FETCH),
        ((STARTED, SILENT, FETCH_STARTED, events.AttemptFailed(FAILED, ""), DEAD), actions.Wait(0.5)),
        (
            (STARTED, SILENT, FETCH_STARTED, events.AttemptFailed(FAILED, ""), events.HolderFailed(GONE)),
            actions.Reject(FAILED),
        ),
    ],
)
def test_holder_that_is_alive_is_waited_for_and_a_silent_one_is_fetched_beside(received, expected):
    assert last_action(*received) == expected


def test_holder_that_got_no_token_from_another_one_fetches_by_itself():
    assert last_action(STARTED, events.HolderFailed(FULL), is_refusal_final=False) == FETCH
