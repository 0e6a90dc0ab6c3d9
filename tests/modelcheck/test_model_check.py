"""Model checks of the consensus code, by exploration with one deviation, random walks and directed runs."""

import re

import pytest

from irisstand.controlplane.consensus import heartbeat, proposer
from irisstand.modelcheck import exploration, random_walk, runs, scenarios

# The scenario "contents" has its own test, test_no_two_contents_are_confirmed_under_one_version.
SCENARIO_NAMES = [name for name in scenarios.REGISTRY if name != "contents"]


@pytest.mark.parametrize("name", SCENARIO_NAMES)
def test_every_run_with_one_deviation_keeps_all_invariants(name):
    report = exploration.explore(scenarios.REGISTRY[name], deviations=1)
    assert not report.violating_runs
    # These checks fail if the model does nothing, in which case it would never violate an invariant.
    assert report.runs > 100
    assert any("lost" in results for results in report.results)


@pytest.mark.parametrize("name", SCENARIO_NAMES)
def test_random_walks_with_faulty_links_keep_all_invariants(name):
    report = random_walk.walk(scenarios.REGISTRY[name], range(1, 41))
    assert not report.violating_runs
    assert report.runs == 40


def test_the_same_choices_give_the_same_run():
    choices = (0, 0, 1, 0, 0, 3, 0, 0, 0, 4, 0, 0, 0, 0, 2)
    first, second = (runs.replay(scenarios.REGISTRY["voters"], choices).cluster for _ in range(2))
    assert first.trace == second.trace
    assert first.clients.results == second.clients.results
    assert any("cut" in line for line in first.trace)


def run_directed(steps, *directives):
    """Run the client steps, and apply the given actions to the events whose labels match a pattern.

    Args:
        steps: The client steps of the run.
        *directives: Tuples of a pattern for event labels, the action on matching events, and whether the
            action ends when the first batch after the bootstrap is decided.

    Returns:
        The result of the run.
    """

    def choose(model, actions):
        for pattern, action, until_decided in directives if actions else ():
            # The history contains the bootstrap batch, too.
            is_over = until_decided and len(model.checker.history.batches) > 1
            if action in actions and not is_over and re.search(pattern, model.scheduler.pending[0].label):
                return actions.index(action)
        return 0

    return runs.run(scenarios.Scenario("directed", steps, faults=0), choose)


ORDER_X = scenarios.site_order("x", 1)
ORDER_Y = scenarios.site_order("y", 2)


def test_a_proposer_without_promises_proposes_nothing():
    """Guards against a proposer that proposes a batch without promises from a majority.

    Its accept requests would reach a voter on which a batch that another proposer decided is still pending.
    """
    steps = (
        scenarios.ClientStep(scenarios.StepKind.ORDER, "b", ORDER_X),
        scenarios.ClientStep(scenarios.StepKind.ORDER, "a", ORDER_Y),
    )
    result = run_directed(
        steps,
        ("^start 1", "hold", False),
        (r"^b\.1#\d+>a", "drop", False),
        (r"^b\.1#\d+>c commit", "hold", False),
        (r"^a\.1#\d+>[bc] promise", "drop", False),
    )
    assert not result.violation
    assert result.cluster.clients.results[0] == "yes"


def test_of_two_pending_batches_the_one_accepted_under_the_higher_ballot_is_finished():
    steps = (
        scenarios.ClientStep(scenarios.StepKind.ORDER, "a", ORDER_X),
        scenarios.ClientStep(scenarios.StepKind.ORDER, "b", ORDER_Y),
    )
    result = run_directed(
        steps,
        ("^start 1", "hold", False),
        (r"^a\.1#\d+>[bc] accept", "drop", True),
        # Only the prepare requests of the first ballot get through, until a batch is decided.
        (r"^a\.1#(?![12]>)\d+>[bc] promise", "drop", True),
        (r"^a\.1#\d+>b", "drop", False),
        (r"^b\.1#\d+>a", "drop", False),
        (r"^b\.1#\d+>c commit", "hold", False),
    )
    assert not result.violation
    assert result.cluster.clients.results[1] == "yes"
    # Proposer a had a competing batch pending: its accept requests to both other voters were dropped.
    assert sum("drop: a.1" in line and "accept" in line for line in result.cluster.trace) >= 2


def test_a_heartbeat_after_a_confirmation_does_not_rely_on_a_batch_that_is_only_pending():
    steps = (
        scenarios.ClientStep(scenarios.StepKind.ORDER, "b", ORDER_X),
        scenarios.ClientStep(scenarios.StepKind.READ, "a", after=0),
    )
    result = run_directed(
        steps,
        (r"^b\.1#\d+>a", "drop", False),
        (r"^b\.1#\d+>c commit", "hold", False),
        (r"^a\.1#\d+>b stand", "drop", False),
    )
    assert not result.violation
    assert result.cluster.clients.results[0] == "yes"
    # The round may fail, as here, because it lost its ballot; in production the heartbeat loop retries it.
    assert result.cluster.clients.results[1] in ("read", "no")


def test_no_two_contents_are_confirmed_under_one_version():
    report = exploration.explore(scenarios.REGISTRY["contents"], deviations=1)
    assert not report.violating_runs


def test_a_read_that_loses_its_ballot_fails_without_a_violation(monkeypatch):
    run_round = heartbeat.Heartbeat.run_round
    # Only the client's read fails: the reads at the end of the run have to bring all replicas up to date.
    failures = iter([proposer.BallotLostError()])

    async def lose_first_ballot(self):
        if error := next(failures, None):
            raise error
        return await run_round(self)

    monkeypatch.setattr(heartbeat.Heartbeat, run_round.__name__, lose_first_ballot)
    result = runs.replay(scenarios.REGISTRY["single"], ())
    assert not result.violation
    assert result.cluster.clients.results[1] == "no"
