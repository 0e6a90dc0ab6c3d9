"""Runs of a scenario, in which a callback chooses an action for each event until no event is left."""

import collections.abc
import typing

from irisstand.modelcheck import cluster, final_checks, invariants, scenarios, scheduler
from irisstand.simulator import virtual_time

# Gets the cluster and the possible actions, and returns the index of one of these actions. At the end of
# the run the list of actions is empty, and the return value is ignored.
Chooser = collections.abc.Callable[[cluster.ModelCluster, list[scheduler.Action]], int]
Choices = tuple[int, ...]
STEPS_LIMIT = 3000


class RunPrunedError(Exception):
    """Raised to end a run at a state that was explored before with at least as many deviations left."""


class RunResult(typing.NamedTuple):
    """The result of a run.

    Attributes:
        cluster: The cluster in its state at the end of the run.
        violation: The description of the violated invariant, or "" if there was no violation.
        was_pruned: Whether the run ended early at a state that was explored before.
    """

    cluster: cluster.ModelCluster
    violation: str = ""
    was_pruned: bool = False


def run(scenario: scenarios.Scenario, choose: Chooser) -> RunResult:
    """Run a scenario in virtual time with the actions that a callback chooses."""
    model = cluster.ModelCluster(scenario)
    try:
        virtual_time.run(run_steps(model, choose))
    except invariants.InvariantViolationError as violation:
        return RunResult(model, violation=str(violation))
    except RunPrunedError:
        return RunResult(model, was_pruned=True)
    return RunResult(model)


def replay(scenario: scenarios.Scenario, choices: Choices) -> RunResult:
    """Replay a run from its choices; after the last choice, all events are delivered in their order.

    Args:
        scenario: The scenario to run.
        choices: The index of the action for each step; an index that is too high selects the last
            action.

    Returns:
        The result of the run.
    """
    remaining = iter(choices)

    def choose(_: cluster.ModelCluster, actions: list[scheduler.Action]) -> int:
        return min(next(remaining, 0), len(actions) - 1) if actions else 0

    return run(scenario, choose)


async def run_steps(model: cluster.ModelCluster, choose: Chooser) -> None:
    """Take steps until the run is finished, then make the final checks.

    Raises:
        RunPrunedError: The callback ended the run early.
        invariants.InvariantViolationError: An invariant is violated, or the run does not end.
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
    # An exploration that has seen this final state before prunes the run here by raising RunPrunedError.
    choose(model, [])
    await final_checks.check(model)


def take_step(model: cluster.ModelCluster, choose: Chooser, number: int) -> None:
    """Apply the chosen action to the oldest pending event, and add a line to the trace."""
    options = model.options()
    option = options[choose(model, [option.action for option in options])]
    model.trace.append(f"{number} {option.action}: {model.scheduler.pending[0].label}")
    option.apply()
