"""One run of a scenario: a chooser picks an action for each step until nothing is left to do."""

import collections.abc
import typing

from irisstand.modelcheck import cluster, final_checks, invariants, scenarios, scheduler
from irisstand.simulator import virtual_time

# Returns the index of one of these actions; with no actions the run is over, and the result is not used.
Chooser = collections.abc.Callable[[cluster.ModelCluster, list[scheduler.Action]], int]
Choices = tuple[int, ...]
STEPS_LIMIT = 3000


class RunPrunedError(Exception):
    """This state was continued from before, with at least as many deviations left."""


class RunResult(typing.NamedTuple):
    """The cluster after a run, the invariant that it broke or an empty text, and whether it was cut short."""

    cluster: cluster.ModelCluster
    violation: str = ""
    was_pruned: bool = False


def run(scenario: scenarios.Scenario, choose: Chooser) -> RunResult:
    """Run a scenario in virtual time."""
    model = cluster.ModelCluster(scenario)
    try:
        virtual_time.run(run_steps(model, choose))
    except invariants.InvariantViolationError as violation:
        return RunResult(model, violation=str(violation))
    except RunPrunedError:
        return RunResult(model, was_pruned=True)
    return RunResult(model)


def replay(scenario: scenarios.Scenario, choices: Choices) -> RunResult:
    """Run these choices; after the last one every event is delivered in its order."""
    remaining = iter(choices)

    def choose(_: cluster.ModelCluster, actions: list[scheduler.Action]) -> int:
        return min(next(remaining, 0), len(actions) - 1) if actions else 0

    return run(scenario, choose)


async def run_steps(model: cluster.ModelCluster, choose: Chooser) -> None:
    """Take steps until the run is over, then make the final checks.

    Raises:
        invariants.InvariantViolationError: An invariant is broken, or the run does not end.
    """
    model.start()
    await model.settle()
    for number in range(STEPS_LIMIT):
        if model.is_finished():
            break
        if model.scheduler.pending:
            take_step(model, choose, number)
            await model.settle()
        else:
            await model.wait_for_events()
            model.checker.raise_violation()
    else:
        raise model.nontermination_violation()
    # A search may have seen this final state, and prunes the run then.
    choose(model, [])
    await final_checks.check(model)


def take_step(model: cluster.ModelCluster, choose: Chooser, number: int) -> None:
    """Do the chosen action with the oldest event."""
    options = model.options()
    option = options[choose(model, [option.action for option in options])]
    model.trace.append(f"{number} {option.action}: {model.scheduler.pending[0].label}")
    option.apply()
