"""Policy of a read whose own fetch was of no use: the object is outdated, or its body can't be read."""

from irisstand import clocks, errors
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.retry import actions, policy

# The pause before the first further fetch; doubled with each one.
FIRST_PAUSE_SECONDS = 0.01
# With less time than this before the deadline, an object is not fetched again.
MINIMUM_FETCH_SECONDS = 0.02


class RefetchPolicy(policy.DeadlinePolicy):
    """Bounds the further fetches of a read by its deadline, its route's attempts and the retry budget.

    Args:
        clock: Gives the time in seconds.
        deadline: The time by that clock at which the read is given up.
        attempts: The route's limit of attempts.
        budget: Limits the retries of this node.
    """

    def __init__(
        self, clock: clocks.Clock, deadline: float, attempts: int, budget: budgets.RetryBudget
    ) -> None:
        super().__init__(clock, deadline)
        self.fetches_left = attempts - 1
        self.budget = budget
        self.pause_seconds = FIRST_PAUSE_SECONDS

    def decide_again(self) -> actions.Wait | actions.Reject:
        """Return how long to wait before the next fetch, or the error that ends the read."""
        if self.remaining() - self.pause_seconds < MINIMUM_FETCH_SECONDS:
            return actions.Reject(
                errors.DeadlineExceededError("no object that may be served arrived before the deadline")
            )
        if self.fetches_left <= 0 or not self.budget.take():
            return actions.Reject(
                errors.LimitExceededError("the object has to be fetched again, and no retry is left")
            )
        self.fetches_left -= 1
        pause = actions.Wait(self.pause_seconds)
        self.pause_seconds *= 2
        return pause
