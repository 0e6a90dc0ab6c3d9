"""Decision objects: asked what to do now, given what has happened, they answer with a tuple.

Every rule on retries, refusals, deadlines and caches is here; the executors only obey.
"""

from irisstand import clocks, errors
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.cache import objects
from irisstand.dataplane.routing import snapshot
from irisstand.state import versions

Action = tuple
# A shield says these only when no byte of the request has gone towards an origin.
CERTAINLY_NOT_RUN = (
    "unreached",
    "over-ceiling",
    "no-share",
    "no-origin",
    "stale-blueprint",
    "draining",
    "unknown-path",
    "method-rejected",
    "deadline-passed",
    "key-reused",
    "no-claim",
    "table-full",
    "warming-up",
)
WORTH_ANOTHER_SHIELD = (
    "unreached",
    "over-ceiling",
    "no-share",
    "no-origin",
    "stale-blueprint",
    "draining",
    "warming-up",
)


def is_usable(
    thing: objects.CachedObject,
    path: str,
    view: snapshot.ConfigurationSnapshot,
    floor: versions.Version,
    now: float,
) -> bool:
    """Not outlived, and fetched after the newest purge that anybody on the way knows of."""
    purged = max(floor, view.purged_at(path, thing.tags))
    return thing.age_now(now) < thing.ttl and thing.applied >= purged


# How far past its life an answer may be that was fetched for this very request; the bound is about 2 s.
OUTLIVED = 1.0


def is_fit(thing: objects.CachedObject, path: str, view: snapshot.ConfigurationSnapshot, now: float) -> bool:
    """Whether a fetched answer may be given out now: purges and life go on while it is under way."""
    outlived = thing.ttl > 0 and thing.age_now(now) > thing.ttl + OUTLIVED
    return thing.applied >= view.purged_at(path, thing.tags) and not outlived


class Giving:
    """Whether a read's answer is given out, fetched again, or refused; one deadline over all fetches."""

    def __init__(
        self,
        clock: clocks.Clock,
        view: snapshot.ConfigurationSnapshot,
        granted: snapshot.AllowedRequest,
        path: str,
    ) -> None:
        self.clock, self.view, self.path = clock, view, path
        self.deadline = clock.now() + granted.deadline

    def ask(self, happened: tuple) -> Action:
        """happened: object, thing | failed, error."""
        now = self.clock.now()
        if happened[0] == "object" and is_fit(happened[1], self.path, self.view, now):
            return ("answer", happened[1])
        error = errors.DeadlineExceededError("no answer was still good by the time that it came")
        if happened[0] == "failed":
            error = happened[1]
            # A shared fetch ends with the time of whoever began it; who joined it later has more.
            if error.code not in ("deadline-passed", "unanswered"):
                return ("reject", error)
        if now > self.deadline - 0.05:
            return ("reject", error)
        floor = versions.NONE
        if happened[0] == "object":
            floor = self.view.purged_at(self.path, happened[1].tags)
        return ("fetch", floor)


# To how many more shields a request goes on from ones that are at their share of the ceiling.
MOVES_WHEN_FULL = 2


class Asking:
    """What reads and writes at an edge have in common: shields in order, and a deadline."""

    def __init__(
        self,
        clock: clocks.Clock,
        granted: snapshot.AllowedRequest,
        shields: list,
        deadline: float | None = None,
    ) -> None:
        self.clock, self.granted = clock, granted
        self.shields = shields
        self.deadline = clock.now() + granted.deadline if deadline is None else deadline
        self.full = 0

    def remaining(self) -> float:
        return self.deadline - self.clock.now()

    def may_move_on(self, error: errors.IrisError) -> bool:
        """Whether another shield is worth asking, when this one certainly sent nothing on."""
        if error.code in ("over-ceiling", "warming-up"):
            # A few more only: a service at its ceiling must not be asked for by all in turn for long.
            self.full += 1
            self.shields = self.shields[: MOVES_WHEN_FULL - self.full + 1]
        return error.code in WORTH_ANOTHER_SHIELD and bool(self.shields)

    def ask_next(self) -> Action:
        if self.remaining() <= 0.005:
            return (
                "reject",
                errors.DeadlineExceededError("the deadline passed before a shield could be asked"),
            )
        if not self.shields:
            return ("reject", errors.NoShieldError("no shield can be asked"))
        return ("ask", self.shields.pop(0), self.remaining())


class EdgeRead(Asking):
    def __init__(
        self,
        clock: clocks.Clock,
        granted: snapshot.AllowedRequest,
        shields: list,
        budget: budgets.RetryBudget,
        deadline: float,
    ) -> None:
        super().__init__(clock, granted, shields, deadline)
        self.budget = budget

    def ask(self, happened: tuple) -> Action:
        if happened[0] == "started":
            return self.ask_next()
        if happened[0] == "object":
            return ("answer", happened[1])
        error: errors.IrisError = happened[1]
        if error.code == "unreached":
            # Nothing left this node, so asking the next shield is still the first try.
            return self.ask_next()
        if self.may_move_on(error):
            return self.ask_next()
        if error.code == "unanswered" and self.shields and self.remaining() > 0.05 and self.budget.take():
            return self.ask_next()
        return ("reject", error)

    def may_turn_away(self) -> bool:
        """From a shield that is suspected: a second try, if there is whom to ask, and room in the budget."""
        return bool(self.shields) and self.remaining() > 0.05 and self.budget.take()


class EdgeWrite(Asking):
    def ask(self, happened: tuple) -> Action:
        if happened[0] == "started":
            return self.ask_next()
        if happened[0] == "answer":
            return happened
        error: errors.IrisError = happened[1]
        if self.may_move_on(error):
            return self.ask_next()
        if error.code in CERTAINLY_NOT_RUN:
            return ("reject", error)
        # Once a shield may have passed it on, nobody here can say that it did not run.
        return ("reject", errors.OutcomeUnknownError(f"the request left this node and then: {error}"))


class ShieldWork:
    """What reads and writes at a shield have in common: origins tried, and a deadline."""

    def __init__(self, clock: clocks.Clock, granted: snapshot.AllowedRequest, remaining: float) -> None:
        self.clock, self.granted = clock, granted
        self.deadline = clock.now() + min(remaining, granted.deadline)
        self.tried: set[str] = set()

    def remaining(self) -> float:
        return self.deadline - self.clock.now()

    def draw(self) -> Action:
        if self.remaining() <= 0.005:
            return (
                "reject",
                errors.DeadlineExceededError("the deadline passed before an origin could be asked"),
            )
        return ("draw", self.tried)


class ShieldRead(ShieldWork):
    def __init__(
        self,
        clock: clocks.Clock,
        granted: snapshot.AllowedRequest,
        remaining: float,
        budget: budgets.RetryBudget,
    ) -> None:
        super().__init__(clock, granted, remaining)
        self.budget = budget
        self.last: errors.IrisError | None = None
        self.fault: objects.CachedObject | None = None
        self.counted = False

    def ask(self, happened: tuple) -> Action:
        """happened: started | object | failed, error, origin's name, whether a byte may have left."""
        if happened[0] == "started":
            return self.draw()
        # Only what has gone to an origin is a first try: counted at the start, requests that are passed from
        # shield to shield for want of an origin would each earn second tries.
        if not self.counted and (happened[0] == "object" or happened[3]):
            self.counted = True
            self.budget.record_first_attempt()
        if happened[0] == "object":
            thing: objects.CachedObject = happened[1]
            # An origin's own fault is worth a second try, but it is still its answer if there is no other.
            if thing.status >= 500 and self.may_try_again(happened[2]):
                self.fault = thing
                return self.draw()
            return ("answer", thing)
        _, error, origin, touched = happened
        # What the first origin did says more than that no second one could be had.
        if not origin:
            return ("answer", self.fault) if self.fault is not None else ("reject", self.last or error)
        self.last = error
        self.tried.add(origin)
        if not touched or self.may_try_again(origin):
            return self.draw()
        return ("reject", error)

    def may_try_again(self, origin: str) -> bool:
        self.tried.add(origin)
        return self.remaining() > 0.05 and self.budget.take()


class ShieldWrite(ShieldWork):
    def ask(self, happened: tuple) -> Action:
        if happened[0] == "started":
            return self.draw()
        if happened[0] == "answer":
            return happened
        _, error, origin, touched = happened
        if touched:
            return ("reject", errors.OutcomeUnknownError(f"the request went to an origin and then: {error}"))
        if not origin:
            return ("reject", error)
        # Certainly untouched: the next origin gets it as if it were the first.
        self.tried.add(origin)
        return self.draw()


def kind_of(error: BaseException) -> errors.IrisError:
    """Any failure on the way to an origin, as one of our kinds."""
    if isinstance(error, errors.IrisError):
        return error
    if isinstance(error, TimeoutError):
        return errors.DeadlineExceededError("the origin gave no whole answer in time")
    kind = getattr(error, "kind", type(error).__name__)
    return errors.OriginFailedError(f"the origin failed: {kind}")
