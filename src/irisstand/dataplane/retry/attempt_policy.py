"""Decision objects of an edge that reaches origins by itself: asked what to do now, they answer with a tuple.

Happenings: started | sent, instance, usual seconds | silent | answer, Answer, instance | failed, error,
instance,
touched, arrived | none, error. Actions: send | wait, seconds | answer, Answer | refuse, error.
"""

from irisstand import clocks, errors
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.routing import routes

Action = tuple
# A second origin is asked beside a silent first one after so many times its usual time, and part of the
# target.
HEDGE_USUAL, HEDGE_TARGET = 2.5, 0.5
# Of a deadline: what the answer needs on its way back.
WAY_BACK = 0.015


class AttemptPolicy:
    """What all requests have in common: one deadline, and a number of origins that one try may go to."""

    def __init__(
        self, clock: clocks.Clock, route: routes.Route, remaining: float, budget: budgets.RetryBudget
    ) -> None:
        self.clock, self.route, self.budget = clock, route, budget
        self.deadline = clock.now() + min(remaining, route.timeout) - WAY_BACK
        self.sent = 0
        self.running = 0
        self.last: errors.IrisError | None = None

    def remaining(self) -> float:
        return self.deadline - self.clock.now()

    def ask(self, happened: tuple) -> Action:
        return getattr(self, "on_" + happened[0])(*happened[1:])

    def on_started(self) -> Action:
        self.budget.record_first_attempt()
        if self.remaining() <= 0.005:
            return (
                "reject",
                errors.DeadlineExceededError("the deadline passed before an origin could be asked"),
            )
        return ("send",)

    def may_send_more(self) -> bool:
        """Within the route's number of origins, the deadline, and the fleet's budget of second tries."""
        return self.sent < self.route.attempts and self.remaining() > 0.03 and self.budget.take()


class IdempotentAttemptPolicy(AttemptPolicy):
    """A request that may run more than once: asked again elsewhere when it fails, or is slow in coming."""

    def __init__(
        self, clock: clocks.Clock, route: routes.Route, remaining: float, budget: budgets.RetryBudget
    ) -> None:
        super().__init__(clock, route, remaining, budget)
        self.hedge_at: float | None = None
        self.fault: object = None

    def on_sent(self, instance: str, usual: float) -> Action:
        self.sent += 1
        self.running += 1
        if self.sent < self.route.attempts:
            self.hedge_at = self.clock.now() + max(HEDGE_USUAL * usual, HEDGE_TARGET * self.route.target)
        elif self.fault is not None:
            # An answer is there already, if not a good one: the second is not waited for to the end.
            self.hedge_at = self.clock.now() + HEDGE_USUAL * usual + self.route.target
        else:
            self.hedge_at = None
        return self.wait()

    def wait(self) -> Action:
        if self.remaining() <= 0:
            return self.over(errors.DeadlineExceededError("no origin gave a whole answer in time"))
        until = self.deadline if self.hedge_at is None else min(self.hedge_at, self.deadline)
        return ("wait", max(0.0, until - self.clock.now()))

    def on_silent(self) -> Action:
        if self.hedge_at is not None and self.clock.now() >= self.hedge_at:
            self.hedge_at = None
            if self.fault is not None:
                return ("answer", self.fault)
            if self.may_send_more():
                return ("send",)
        return self.wait()

    def on_answer(self, answer: object, instance: str) -> Action:
        self.running -= 1
        # An origin's own fault is worth a second try, but it is still its answer if there is no other.
        if answer.status >= 500:
            self.fault = answer
            if self.running:
                return self.wait()
            if self.may_send_more():
                return ("send",)
        return ("answer", answer)

    def on_failed(self, error: errors.IrisError, instance: str, touched: bool, arrived: bool) -> Action:
        self.running -= 1
        self.last = error
        # What certainly reached nobody is no second try, and costs none of the budget.
        if not arrived:
            self.sent -= 1
            if self.remaining() > 0.03:
                return ("send",)
        if self.running:
            return self.wait()
        if self.may_send_more():
            return ("send",)
        return self.over(error)

    def on_none(self, error: errors.IrisError) -> Action:
        if self.running:
            self.hedge_at = None
            return self.wait()
        return self.over(self.last or error)

    def over(self, error: errors.IrisError) -> Action:
        return ("answer", self.fault) if self.fault is not None else ("reject", error)


class SingleAttemptPolicy(AttemptPolicy):
    """A request that may run at most once: sent on only while it is certain that it has not run."""

    def on_sent(self, instance: str, usual: float) -> Action:
        self.sent += 1
        return self.wait()

    def wait(self) -> Action:
        if self.remaining() <= 0:
            return ("reject", errors.OutcomeUnknownError("the origin gave no whole answer in time"))
        return ("wait", self.remaining())

    def on_silent(self) -> Action:
        return self.wait()

    def on_answer(self, answer: object, instance: str) -> Action:
        return ("answer", answer)

    def on_failed(self, error: errors.IrisError, instance: str, touched: bool, arrived: bool) -> Action:
        if touched:
            return ("reject", errors.OutcomeUnknownError(f"the request went to an origin and then: {error}"))
        self.last = error
        if not arrived:
            self.sent -= 1
            if self.remaining() > 0.03:
                return ("send",)
        elif self.may_send_more():
            return ("send",)
        return ("reject", error)

    def on_none(self, error: errors.IrisError) -> Action:
        return ("reject", self.last or error)


def for_route(
    clock: clocks.Clock, route: routes.Route, remaining: float, budget: budgets.RetryBudget
) -> IdempotentAttemptPolicy | SingleAttemptPolicy:
    return (IdempotentAttemptPolicy if route.is_repeatable else SingleAttemptPolicy)(
        clock, route, remaining, budget
    )
