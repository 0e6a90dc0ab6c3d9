"""The decision code under a scheduler that chooses every step: small sizes whole, larger ones by walks."""

import re

import pytest

import irisstand.modelcheck.explore as explore
import irisstand.modelcheck.scenarios as scenarios
import irisstand.modelcheck.walk as walk

# Two contents under one version stand in a test of their own, below.
NAMES = [name for name in scenarios.REGISTRY if name != "contents"]


@pytest.mark.parametrize("name", NAMES)
def test_every_run_with_one_deviation_keeps_all_rules(name):
    report = explore.explore(scenarios.REGISTRY[name], deviations=1)
    assert not report.broken
    # A model in which nothing happens would keep all rules as well.
    assert report.runs > 100
    assert any("lost" in told for told in report.results)


@pytest.mark.parametrize("name", NAMES)
def test_random_walks_with_links_in_trouble_keep_all_rules(name):
    report = walk.walk(scenarios.REGISTRY[name], range(1, 41))
    assert not report.broken
    assert report.runs == 40


def test_the_same_choices_give_the_same_run():
    choices = (0, 0, 1, 0, 0, 3, 0, 0, 0, 4, 0, 0, 0, 0, 2)
    runs = [explore.replay(scenarios.REGISTRY["voters"], choices) for _ in range(2)]
    assert runs[0][0].trace == runs[1][0].trace
    assert runs[0][0].results == runs[1][0].results
    assert any("cut" in line for line in runs[0][0].trace)


def directed(steps, *rules):
    """One run in which each event whose label matches a rule's pattern has that done to it.

    A rule is (pattern, option, whether only until the first batch is decided).
    """

    def choose(world, names):
        for pattern, option, until_decided in rules if names else ():
            # The founding batch is among the decided ones.
            is_over = until_decided and len(world.oracle.decided) > 1
            if option in names and not is_over and re.search(pattern, world.pending[0].label):
                return names.index(option)
        return 0

    return explore.run(scenarios.Scenario("directed", steps, faults=0), choose)


X, Y = scenarios.site("x", 1), scenarios.site("y", 2)


def test_a_proposer_that_hears_no_promises_proposes_nothing():
    """Its accepts would get through, to a voter that holds another proposer's decided batch as pending."""
    steps = (scenarios.Step(scenarios.ORDER, "b", X), scenarios.Step(scenarios.ORDER, "a", Y))
    world, broken, _ = directed(
        steps,
        ("^start 1", "hold", False),
        (r"^b\.1#\d+>a", "drop", False),
        (r"^b\.1#\d+>c commit", "hold", False),
        (r"^a\.1#\d+>[bc] promise", "drop", False),
    )
    assert not broken
    assert world.results[0] == "yes"


def test_of_two_pending_batches_the_one_accepted_under_the_higher_ballot_is_finished():
    steps = (scenarios.Step(scenarios.ORDER, "a", X), scenarios.Step(scenarios.ORDER, "b", Y))
    world, broken, _ = directed(
        steps,
        ("^start 1", "hold", False),
        (r"^a\.1#\d+>[bc] accept", "drop", True),
        # All but the first ballot's.
        (r"^a\.1#(?![12]>)\d+>[bc] promise", "drop", True),
        (r"^a\.1#\d+>b", "drop", False),
        (r"^b\.1#\d+>a", "drop", False),
        (r"^b\.1#\d+>c commit", "hold", False),
    )
    assert not broken
    assert world.results[1] == "yes"
    # The first stood against it: its proposer's accepts were dropped, on the way to both others.
    assert sum("drop: a.1" in line and "accept" in line for line in world.trace) >= 2


def test_a_majority_check_after_a_yes_does_not_rest_on_a_batch_that_is_only_pending_where_it_asks():
    steps = (scenarios.Step(scenarios.ORDER, "b", X), scenarios.Step(scenarios.READ, "a", after=0))
    world, broken, _ = directed(
        steps,
        (r"^b\.1#\d+>a", "drop", False),
        (r"^b\.1#\d+>c commit", "hold", False),
        (r"^a\.1#\d+>b stand", "drop", False),
    )
    assert not broken
    assert world.results[0] == "yes"
    # One check may end without a word, as here, where it lost its ballot; its loop begins another.
    assert world.results[1] in ("read", "no")


def test_no_two_contents_are_confirmed_under_one_version():
    report = explore.explore(scenarios.REGISTRY["contents"], deviations=1)
    assert not report.broken
