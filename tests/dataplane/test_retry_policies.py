"""Decisions of the retry policies: events in, actions out, with a clock that the test sets."""

import types
import typing

import pytest

from irisstand import errors
from irisstand.balancing import retry_budget
from irisstand.dataplane.retry import (
    actions,
    events,
    idempotent_attempt_policy,
    read_policy,
    single_attempt_policy,
    write_policy,
)

ROUTE = types.SimpleNamespace(timeout=2.0, target=0.2, attempts=2)
ALLOWED = types.SimpleNamespace(deadline=2.0)
FAILED = errors.OriginFailedError("broken")


class Clock:
    def __init__(self):
        self.time = 100.0

    def now(self):
        return self.time


class Response(typing.NamedTuple):
    status: int = 200


@pytest.fixture
def clock():
    return Clock()


def budget_of(clock, allowance=10):
    return retry_budget.RetryBudget(clock, 0.0, allowance)


def idempotent(clock, allowance=10):
    return idempotent_attempt_policy.IdempotentAttemptPolicy(clock, ROUTE, 2.0, budget_of(clock, allowance))


def single(clock):
    return single_attempt_policy.SingleAttemptPolicy(clock, ROUTE, 2.0, budget_of(clock))


def shield(name):
    return types.SimpleNamespace(identity=types.SimpleNamespace(name=name))


def edge_read(clock, count, allowance=10):
    shields = [shield(f"shield-{number}") for number in range(count)]
    return read_policy.EdgeReadPolicy(clock, ALLOWED, shields, budget_of(clock, allowance), clock.now() + 2.0)


def edge_write(clock, count):
    return write_policy.EdgeWritePolicy(clock, ALLOWED, [shield(f"shield-{n}") for n in range(count)])


def decide(policy, *later_events):
    """Return the action after the event `Started` and after each of the later events."""
    return [policy.decide(event) for event in (events.STARTED, *later_events)]


@pytest.mark.parametrize("make", [idempotent, single])
def test_first_attempt_is_sent_and_its_response_given(clock, make):
    sent, waiting, responded = decide(
        make(clock), events.AttemptSent("a", 0.1), events.ResponseReceived(Response(), "a")
    )
    assert isinstance(sent, actions.SendAttempt)
    assert isinstance(waiting, actions.Wait)
    assert responded == actions.Respond(Response())


@pytest.mark.parametrize("make", [idempotent, single])
def test_without_time_nothing_is_sent(clock, make):
    policy = make(clock)
    clock.time += 1.99
    rejected = policy.decide(events.STARTED)
    assert type(rejected.error) is errors.DeadlineExceededError


def test_slow_idempotent_attempt_is_hedged_at_another_endpoint(clock):
    policy = idempotent(clock)
    _, waiting = decide(policy, events.AttemptSent("a", 0.1))
    assert waiting.seconds == pytest.approx(0.25)
    clock.time += waiting.seconds
    hedged = policy.decide(events.TIMER_EXPIRED)
    assert hedged == actions.SendAttempt({"a"})


def test_without_retry_budget_a_slow_attempt_is_waited_for(clock):
    policy = idempotent(clock, allowance=0)
    _, waiting = decide(policy, events.AttemptSent("a", 0.1))
    clock.time += waiting.seconds
    assert isinstance(policy.decide(events.TIMER_EXPIRED), actions.Wait)


def test_failed_idempotent_attempt_is_retried_once(clock):
    *_, retried, _, rejected = decide(
        idempotent(clock),
        events.AttemptSent("a", 0.1),
        events.AttemptFailed(FAILED, "a"),
        events.AttemptSent("b", 0.1),
        events.AttemptFailed(FAILED, "b"),
    )
    assert retried == actions.SendAttempt({"a", "b"})
    assert rejected == actions.Reject(FAILED)


def test_attempt_that_was_not_sent_costs_no_retry(clock):
    policy = idempotent(clock, allowance=0)
    *_, resent = decide(
        policy,
        events.AttemptSent("a", 0.1),
        events.AttemptFailed(errors.NotSentError(), "a", may_have_run=False, was_sent=False),
    )
    assert isinstance(resent, actions.SendAttempt)


def test_server_error_is_given_when_no_other_endpoint_is_left(clock):
    *_, retried, answered = decide(
        idempotent(clock),
        events.AttemptSent("a", 0.1),
        events.ResponseReceived(Response(500), "a"),
        events.NoEndpoint(errors.NoOriginError()),
    )
    assert isinstance(retried, actions.SendAttempt)
    assert answered == actions.Respond(Response(500))


def test_request_that_may_have_run_is_an_unknown_outcome_and_never_sent_again(clock):
    *_, rejected = decide(single(clock), events.AttemptSent("a", 0.1), events.AttemptFailed(FAILED, "a"))
    assert type(rejected.error) is errors.OutcomeUnknownError


def test_request_that_did_not_run_is_sent_again(clock):
    failed = events.AttemptFailed(errors.LimitExceededError(), "a", may_have_run=False)
    *_, resent = decide(single(clock), events.AttemptSent("a", 0.1), failed)
    assert isinstance(resent, actions.SendAttempt)


def test_silent_request_that_is_not_idempotent_ends_as_an_unknown_outcome_at_its_deadline(clock):
    policy = single(clock)
    _, waiting = decide(policy, events.AttemptSent("a", 0.1))
    clock.time += waiting.seconds
    assert type(policy.decide(events.TIMER_EXPIRED).error) is errors.OutcomeUnknownError


def test_unanswered_read_goes_to_the_next_shield_within_the_budget(clock):
    first, second = decide(edge_read(clock, 2), events.AttemptFailed(errors.UnansweredError(), "shield-0"))
    assert (first.shield.identity.name, second.shield.identity.name) == ("shield-0", "shield-1")
    policy = edge_read(clock, 2, allowance=0)
    _, rejected = decide(policy, events.AttemptFailed(errors.UnansweredError(), "shield-0"))
    assert type(rejected.error) is errors.UnansweredError


def test_unanswered_write_is_an_unknown_outcome(clock):
    _, rejected = decide(edge_write(clock, 2), events.AttemptFailed(errors.UnansweredError(), "shield-0"))
    assert type(rejected.error) is errors.OutcomeUnknownError


def test_write_for_an_ended_incarnation_is_not_sent_on(clock):
    """IncarnationEndedError is a subclass of NotSentError, but must not allow a retry as that does."""
    ended = errors.IncarnationEndedError("gone")
    _, rejected = decide(edge_write(clock, 2), events.AttemptFailed(ended, "shield-0"))
    assert type(rejected.error) is errors.OutcomeUnknownError


def test_request_over_the_limit_goes_to_two_more_shields_only(clock):
    over_limit = events.AttemptFailed(errors.LimitExceededError(), "")
    *sent, rejected = decide(edge_write(clock, 5), over_limit, over_limit, over_limit)
    assert all(isinstance(action, actions.SendToShield) for action in sent)
    assert len(sent) == 3
    assert type(rejected.error) is errors.LimitExceededError


def test_write_at_a_shield_goes_to_another_origin_only_if_untouched(clock):
    not_sent = events.AttemptFailed(errors.NotSentError(), "a", may_have_run=False, was_sent=False)
    policy = write_policy.ShieldWritePolicy(clock, ALLOWED, 2.0)
    *_, resent, rejected = decide(policy, not_sent, events.AttemptFailed(FAILED, "b"))
    assert resent == actions.SendAttempt({"a"})
    assert type(rejected.error) is errors.OutcomeUnknownError


def test_read_at_a_shield_reports_the_first_origins_error_when_there_is_no_other(clock):
    policy = read_policy.ShieldReadPolicy(clock, ALLOWED, 2.0, budget_of(clock))
    *_, rejected = decide(
        policy, events.AttemptFailed(FAILED, "a"), events.NoEndpoint(errors.NoOriginError())
    )
    assert rejected == actions.Reject(FAILED)
