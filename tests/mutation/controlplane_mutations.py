"""Mutations of the planning of orders, the singleton tasks and the operators' interface, in the form that run_mutations.py reads."""
# ruff: noqa: E501

MUTATIONS = [
    (
        "controlplane/changes/idempotency_claims.py",
        "    if record is not None and record.attempt != claim.attempt:\n        raise errors.KeyClaimedError",
        "    if False:\n        raise errors.KeyClaimedError",
        "dataplane/test_writes.py::test_same_idempotency_key_at_two_edges_runs_once_with_one_result",
    ),
    (
        "controlplane/changes/table_time.py",
        "    if overlay.count(prefix) < limit:\n        return",
        "    return",
        "controlplane/test_retention.py::test_idempotency_keys_are_kept_for_their_time_and_a_full_table_refuses_new_ones_with_retry_after",
    ),
    (
        "controlplane/changes/table_time.py",
        "    if str(overlay.version(items.TABLE_TIME_KEY)) != expected:",
        "    if False:",
        "controlplane/test_retention.py::test_table_time_counts_no_interval_twice_and_no_long_suspension",
    ),
    (
        "controlplane/changes/table_time.py",
        "    if newest_purge > before:",
        "    if False:",
        "controlplane/test_retention.py",
    ),
    (
        "controlplane/changes/operator_changes.py",
        "        if row.expected is not None and row.expected != in_force:",
        "        if False:",
        "controlplane/test_ballots.py",
    ),
    (
        "controlplane/changes/operator_changes.py",
        "    if faults:\n        raise errors.InvalidChangeError(faults)\n    conflicts",
        "    conflicts",
        "controlplane/test_ballots.py",
    ),
    (
        "controlplane/singletons/fleet_view.py",
        "        except errors.IrisError:\n            return False\n        is_same_disk",
        "        except errors.IrisError:\n            return True\n        is_same_disk",
        "controlplane/test_capacity_scaling.py::test_no_machine_goes_on_standby_right_after_a_voter_died",
    ),
    (
        "controlplane/singletons/origin_discovery.py",
        "        if shrunk and self.held_answers < SHRINK_HOLD_ANSWERS:",
        "        if False:",
        "controlplane/test_origin_list.py",
    ),
    (
        "controlplane/singletons/origin_discovery.py",
        "        return is_older and self.older_answers <= OLDER_ANSWERS_LIMIT",
        "        return False",
        "controlplane/test_origin_discovery.py",
    ),
    (
        "controlplane/changes/confirmed_versions.py",
        "            return not canonical_content.is_same(self.item, entry.item)",
        "            return False",
        "controlplane/test_idempotent_changes.py::test_other_content_under_the_version_in_force_is_refused_whole",
    ),
    (
        "controlplane/changes/confirmed_versions.py",
        "VersionedRow(entry.version, entry.item, self.seen_versions_with(self.version, self.item))",
        "VersionedRow(entry.version, entry.item)",
        "controlplane/test_idempotent_changes.py::test_a_repeat_is_confirmed_after_it_was_overtaken_and_dropped_and_other_content_is_not",
    ),
    (
        "controlplane/changes/amendment.py",
        "    if classified.conflicts:",
        "    if False:",
        "controlplane/test_idempotent_changes.py::test_other_content_under_the_version_in_force_is_refused_whole",
    ),
    (
        "controlplane/changes/amendment.py",
        "    faults += item_entries.faults_of_late_entries(classified.late, contents)\n",
        "",
        "controlplane/test_idempotent_changes.py::test_an_item_that_was_never_valid_is_refused_also_when_it_comes_late",
    ),
    (
        "controlplane/changes/order_planning.py",
        "        check_same_order(order, record)\n",
        "",
        "controlplane/test_idempotent_changes.py::test_a_change_id_with_other_content_is_refused_and_with_the_same_content_gets_the_first_result",
    ),
    (
        "controlplane/changes/evacuation_check.py",
        "            if 2 * (1 + len(answers)) <= len(voters) + 1:",
        "            if False:",
        "controlplane/test_idempotent_changes_racing.py::test_an_unknown_site_is_refused_only_if_settings_or_a_majority_of_voters_exclude_it",
    ),
    (
        "controlplane/api/request_bodies.py",
        "    if fault:",
        "    if False:",
        "controlplane/test_idempotent_changes.py::test_a_body_that_cannot_be_packed_is_refused_before_it_becomes_an_order",
    ),
    (
        "controlplane/changes/evacuation_check.py",
        "            await self.confirm_ledger_since(requested_at)",
        "            raise",
        "controlplane/test_idempotent_changes_racing.py::test_a_repeated_evacuation_is_not_refused_by_a_node_that_missed_the_first",
    ),
    (
        "controlplane/api/operator_reads.py",
        "        await self.confirm_current(*items.TABLES)",
        "        self.context.check_current()",
        "controlplane/test_partitioned_nodes.py::test_control_node_just_cut_off_refuses_reads_at_once",
    ),
    (
        "controlplane/changes/lease_changes.py",
        "    if in_force != write.fencing_token:",
        "    if False:",
        "controlplane/test_leases_under_partition.py::test_a_resumed_holder_writes_nothing_under_a_lease_that_another_node_has_taken",
    ),
]
