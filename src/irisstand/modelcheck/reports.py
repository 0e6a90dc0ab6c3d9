"""What an exploration or a set of random walks covered, and which runs broke an invariant."""

import collections
import dataclasses
import typing

from irisstand.modelcheck import runs, scenarios


class ViolatingRun(typing.NamedTuple):
    """The choices that lead to a violation, and the invariant that is broken."""

    choices: runs.Choices
    violation: str


@dataclasses.dataclass
class Report:
    """Counts of one scenario; `results` counts runs by the results of their client steps."""

    scenario: str
    runs: int = 0
    steps: int = 0
    states: int = 0
    pruned: int = 0
    violating_runs: list[ViolatingRun] = dataclasses.field(default_factory=list)
    results: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)

    def count_results(self, results: list[scenarios.StepResult]) -> None:
        """Count the results of a run that ended in order."""
        self.results[" ".join(results)] += 1

    def add(self, other: "Report") -> None:
        """Add the counts of another worker."""
        self.runs += other.runs
        self.steps += other.steps
        self.states += other.states
        self.pruned += other.pruned
        self.violating_runs += other.violating_runs
        self.results.update(other.results)
