"""Guarding lines of control plane, state, membership and transport, in the form of guarded.py."""
# ruff: noqa: E501

GUARDS = [
    (
        "controlplane/orders.py",
        '    if known is not None and known["by"] != attempt:\n        raise errors.Claimed',
        "    if False:\n        raise errors.Claimed",
        "test_writes.py::test_the_same_key_at_two_edges_runs_once_and_both_get_the_one_result",
    ),
    (
        "controlplane/table_time.py",
        "    if overlay.count(prefix) < limit:\n        return",
        "    return",
        "test_retention.py::test_keys_are_kept_for_their_time_and_a_full_store_refuses_new_ones_with_when_to_come_back",
    ),
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
    (
        "state/replicator.py",
        "        if copy.applied == applied or size_of(changed) > PART_LIMIT:",
        "        if copy.applied == applied:",
        "test_carrying.py::test_a_core_node_with_a_lost_disk_learns_a_table_that_is_larger_than_any_frame",
    ),
    (
        "controlplane/table_time.py",
        "    if str(overlay.version(items.TIME)) != expected:",
        "    if False:",
        "test_retention.py::test_time_is_never_raised_twice_for_the_same_stretch_and_never_by_a_long_sleep",
    ),
    ("controlplane/table_time.py", "    if purged > before:", "    if False:", "test_retention.py"),
    (
        "controlplane/orders.py",
        '        if row.get("expected") is not None and row["expected"] != str(version):',
        "        if False:",
        "test_ballots.py",
    ),
    (
        "controlplane/orders.py",
        "    if faults:\n        raise errors.BadChange(faults)\n    conflicts",
        "    conflicts",
        "test_ballots.py",
    ),
    (
        "controlplane/proposer.py",
        "                if any(base == self.copy.applied for base, _, _ in entry.proposed):",
        "                if False:",
        "test_days.py",
    ),
    ("state/owner.py", "        if record.promised > ballot:\n", "        if False:\n", "test_ballots.py"),
    (
        "state/owner.py",
        "        if record.applied != batch.base:\n",
        "        if False:\n",
        "test_protection.py::test_a_voter_takes_no_batch_that_stands_on_another_base_than_its_own_applied",
    ),
    (
        "controlplane/core.py",
        "        if disk_id != self.store.identity:",
        "        if False:",
        "test_protection.py::test_a_disk_asked_for_under_its_predecessors_id_has_no_vote_though_it_has_learnt_everything",
    ),
    (
        "state/quorum.py",
        "    return is_majority(voters, disk_ids) and (len(sites) == 1 or len(holding) > 1)",
        "    return is_majority(voters, disk_ids)",
        "../src/irisstand/state/quorum.py",
    ),
    (
        "controlplane/duties.py",
        "        return bool(self.lease) and self.context.clock.now() < self.held_until",
        "        return bool(self.lease)",
        "test_roster.py",
    ),
    (
        "controlplane/duties.py",
        "                if self.context.leaving and self.lease:",
        "                if False:",
        "test_leaving.py::test_a_holder_that_goes_in_order_lays_its_duty_down_at_once",
    ),
    (
        "controlplane/fleet_view.py",
        "            return reply[0] == voter.disk_id\n        except errors.IrisError:\n            return False",
        "            return reply[0] == voter.disk_id\n        except errors.IrisError:\n            return True",
        "test_rests.py::test_nobody_goes_to_rest_beside_a_core_machine_that_died_a_moment_ago",
    ),
    (
        "controlplane/platform_watch.py",
        "        if shrunk and self.held < HELD_ANSWERS:",
        "        if False:",
        "test_roster.py",
    ),
    (
        "controlplane/platform_watch.py",
        "        if is_older and self.older <= OLDER_ANSWERS:",
        "        if False:",
        "test_platform.py",
    ),
    (
        "controlplane/submitting.py",
        "        with self.context.working():\n            task =",
        "        if True:\n            task =",
        "test_leaving.py::test_a_change_under_way_is_finished_before_its_node_goes",
    ),
    (
        "controlplane/submitting.py",
        "            if not task.done():\n                task.cancel()",
        "            await task\n            if False:\n                task.cancel()",
        "test_leaving.py::test_a_change_that_cannot_be_settled_before_its_node_goes_is_answered_all_the_same",
    ),
    (
        "node_context.py",
        "        if age is None or table.current_as_of < self.started_at:",
        "        if age is None:",
        "test_restarts.py",
    ),
]
