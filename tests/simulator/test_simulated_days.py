"""Simulated days with random faults. A seed that once violated an invariant is added to the fixed list."""

import pytest

from irisstand.simulator import simulated_day, virtual_time

# Invariants that each kind of day must check at least once; without a check, no violation proves nothing.
BUSY_INVARIANTS = {
    "a change is in force 2 s after its confirmation, and no node goes back",
    "no serving node goes back to an older version of a table",
    "two concurrent changes of a row are never both confirmed",
    "an invalid change is rejected whole",
    "each node has the configuration that was confirmed",
    "replicas with the same applied version are equal",
    "purged content is not served 2 s after the purge is confirmed",
    "no content is served more than 2 s after its TTL ended",
    "a successful read is the origin's complete response to it, with a valid digest",
    "no write runs twice",
    "no write runs after it was rejected",
    "a write that succeeded did run",
    "no request reaches a service that no configuration allowed",
    "no service gets more requests in any one second than its rate limit",
    "no service has more requests in flight than its concurrency limit",
    "the quota shares of a rate limit add up to no more than the limit",
    "the lease of a singleton task has one holder",
    "the platform is asked no more often than it allows",
}
PLANNED_INVARIANTS = {
    "a planned restart drops no request in progress",
    "a leaving origin gets no new work 2 s after the platform says so",
    "an evacuated site gets no new work after 5 s",
    "a cold origin gets no more requests than slow start allows",
}
REQUIRED_INVARIANTS = {
    "busy": BUSY_INVARIANTS,
    "dark": BUSY_INVARIANTS,
    "planned": BUSY_INVARIANTS | PLANNED_INVARIANTS,
    "kildespor": BUSY_INVARIANTS,
    "stuttering": BUSY_INVARIANTS,
    "quiet": {"a machine on standby leaves enough capacity for any one further loss"},
}
RECOVERY_INVARIANT = "after a total loss service is back within 15 s"

# What these seeds once found:
# Busy 1: a key claim was released too late. Busy 4: a batch had a lower version than the one it builds on.
# Busy 25: an edge cached a response under the service that it expected instead of the one that answered.
# Busy 11 and 20: a control plane node shut down without waiting for its pending orders.
# Busy 19: a node forgot a version that it had seen before a partition.
# Planned 10: a shutdown dropped orders. Planned 15: a service whose origins were replaced was taken for one
# that had lost origins, and so was its leaving origin.
# Quiet 4: a machine was put on standby although a control plane machine had just died.
# Kildespor 1002: abandoned requests exceeded the concurrency limit. Kildespor 1028: a lease was granted after
# its end.
# Busy 3020, planned 3012: a restarted node served from an older table than it had before the restart.
# Busy 2001: during a partition a leaving origin got requests until 2.4 s after it was listed as leaving.
# Planned 2011: a partition leaves two and two of five voters and the fifth is dead, so that no change can be
# confirmed; the invariant check did not take this into account.
SEEDS = [
    ("busy", 1, 30),
    ("busy", 4, 20),
    ("busy", 11, 30),
    ("busy", 19, 30),
    ("busy", 20, 30),
    ("busy", 25, 20),
    ("busy", 26, 30),
    ("stuttering", 1, 30),
    ("stuttering", 2, 30),
    ("dark", 2, 30),
    ("dark", 5, 30),
    ("dark", 8, 30),
    ("planned", 7, 30),
    ("planned", 10, 30),
    ("planned", 15, 30),
    ("planned", 31, 30),
    ("quiet", 4, 90),
    ("quiet", 9, 90),
    ("kildespor", 3, 30),
    ("kildespor", 6, 30),
    ("kildespor", 1002, 30),
    ("kildespor", 1028, 30),
    ("busy", 2001, 30),
    ("planned", 2011, 30),
    ("busy", 3020, 30),
    ("planned", 3012, 30),
]


@pytest.mark.parametrize(("kind", "seed", "seconds"), SEEDS)
def test_no_invariant_is_violated_on_a_day_with_faults(kind, seed, seconds):
    day = simulated_day.simulate(seed, seconds, kind)
    assert not any(day.checker.broken.values()), (day.checker.examples, day.fault_injector.log)
    # A single planned day need not have all kinds of planned operations, so it need not check all of them.
    required = REQUIRED_INVARIANTS[kind] - PLANNED_INVARIANTS
    assert required <= set(day.checker.checked), required - set(day.checker.checked)


def test_every_invariant_is_checked_by_the_fixed_days():
    """Each invariant that not every day checks is checked on one of several days."""
    wanted, checked = PLANNED_INVARIANTS | {RECOVERY_INVARIANT}, set()
    for kind, seed in (("planned", 10), ("dark", 5), ("planned", 31), ("dark", 8), ("planned", 7)):
        if not wanted <= checked:
            day = simulated_day.simulate(seed, 30, kind)
            assert not any(day.checker.broken.values()), day.checker.examples
            checked |= set(day.checker.checked)
    assert wanted <= checked, wanted - checked


def test_the_same_seed_gives_the_same_day():
    first, second = (simulated_day.simulate(11, 8) for _ in range(2))
    assert first.fault_injector.log == second.fault_injector.log
    assert first.checker.checked == second.checker.checked
    assert first.checker.results == second.checker.results
    assert virtual_time.ACTOR.get() is None
