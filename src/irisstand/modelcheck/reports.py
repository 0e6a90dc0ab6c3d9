"""Reports on an exploration or a set of random walks: what was covered, and which runs had violations."""

import collections
import dataclasses
import typing

from irisstand.modelcheck import runs, scenarios


class ViolatingRun(typing.NamedTuple):
    """A run that violated an invariant.

    Attributes:
        choices: The choices that reproduce the run.
        violation: The description of the violation.
    """

    choices: runs.Choices
    violation: str


@dataclasses.dataclass
class Report:
    """The coverage of one scenario and the violations found.

    Attributes:
        scenario: The name of the scenario.
        runs: The number of runs, including pruned ones.
        steps: The number of choices that were made in all runs.
        states: The number of different states that the exploration continued from.
        pruned: The number of runs that ended early at a state that was explored before.
        violating_runs: The runs that violated an invariant.
        results: The number of completed runs by the results of their client steps, joined with spaces.
    """

    scenario: str
    runs: int = 0
    steps: int = 0
    states: int = 0
    pruned: int = 0
    violating_runs: list[ViolatingRun] = dataclasses.field(default_factory=list)
    results: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def count_results(self, results: list[scenarios.StepResult]) -> None:
        """Count the client results of a run that completed without a violation."""
        self.results[" ".join(results)] += 1

    def add(self, other: "Report") -> None:
        """Add the counts and the violating runs of another report."""
        self.runs += other.runs
        self.steps += other.steps
        self.states += other.states
        self.pruned += other.pruned
        self.violating_runs += other.violating_runs
        self.results.update(other.results)
