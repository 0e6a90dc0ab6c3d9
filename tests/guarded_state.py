"""Guarding lines of state, membership and transport, in the form of guarded.py."""
# ruff: noqa: E501

GUARDS = [
    (
        "state/tables.py",
        "        if root_of(sums) != root:\n            return False",
        "",
        "test_carrying.py::test_rows_above_a_applied_are_taken_only_if_the_outcome_is_the_peers_copy",
    ),
    (
        "state/tables.py",
        "        if applied < self.applied:\n            return False\n        sums",
        "        sums",
        "test_carrying.py::test_rows_above_a_applied_are_taken_only_if_the_outcome_is_the_peers_copy",
    ),
    ("state/owner.py", "        if record.promised > ballot:\n", "        if False:\n", "test_ballots.py"),
    (
        "state/owner.py",
        "        if record.applied != batch.base:\n",
        "        if False:\n",
        "test_protection.py::test_a_voter_takes_no_batch_that_stands_on_another_base_than_its_own_applied",
    ),
    (
        "state/quorum.py",
        "    return is_majority(voters, disk_ids) and (len(sites) == 1 or len(holding) > 1)",
        "    return is_majority(voters, disk_ids)",
        "../src/irisstand/state/quorum.py",
    ),
    (
        "state/outage.py",
        "        return pending is None or versions.decode(pending) < copy.applied",
        "        return True",
        "test_outage.py::test_a_batch_that_may_have_been_confirmed_is_no_evidence",
    ),
    (
        "state/outage.py",
        "        if quorum.is_majority(voters, unable):",
        "        if unable:",
        "test_outage.py::test_processes_that_do_not_run_are_evidence_if_they_are_more_than_half",
    ),
    (
        "state/outage.py",
        "        except OSError:\n            return False",
        "        except OSError:\n            return True",
        "test_outage.py::test_a_node_that_reaches_nobody_uses_its_tables_no_longer_than_the_bound",
    ),
    (
        "state/replicator.py",
        "size_of(changed, ROWS_LIMIT) > ROWS_LIMIT:",
        "size_of(changed) > PART_LIMIT:",
        "test_big_carrying.py::test_a_big_change_reaches_a_node_on_a_slow_link_that_asks_several_peers",
    ),
    (
        "state/part_carrier.py",
        "                staged.cursor = next_cursor(staged.cursor, end)\n",
        "                self.staged.pop(copy.name, None)\n                staged.cursor = next_cursor(staged.cursor, end)\n",
        "test_big_carrying.py::test_what_came_from_a_peer_that_falls_silent_is_not_asked_for_again",
    ),
    (
        "state/part_carrier.py",
        "        if copy.applied < max(base, cursor.version):",
        "        if False:",
        "test_big_carrying.py::test_a_peer_that_is_older_than_what_came_is_not_taken_for_the_truth",
    ),
    (
        "state/part_carrier.py",
        "        if place not in self.kept:",
        "        if True:",
        "test_big_carrying.py::test_parts_are_worked_out_once_for_all_who_ask",
    ),
]
