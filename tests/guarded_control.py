"""Guarding lines of what orders write and operators read, in the form of guarded.py."""
# ruff: noqa: E501

GUARDS = [
    (
        "controlplane/orders.py",
        '    if known is not None and known["by"] != wanted.attempt:\n        raise errors.Claimed',
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
        "controlplane/taken_versions.py",
        '        return not one_content.is_same(known["item"], value["item"])',
        "        return False",
        "test_one_content.py::test_other_content_under_the_version_in_force_is_refused_whole",
    ),
    (
        "controlplane/taken_versions.py",
        '"item": value["item"], "seen": seen_with(known, known)}',
        '"item": value["item"]}',
        "test_one_content.py::test_a_repeat_is_confirmed_after_it_was_overtaken_and_dropped_and_other_content_is_not",
    ),
    (
        "controlplane/amending.py",
        "    if judged.conflicts:",
        "    if False:",
        "test_one_content.py::test_other_content_under_the_version_in_force_is_refused_whole",
    ),
    (
        "controlplane/amending.py",
        "    faults += versioned.faults_of_late(judged.late, standing)\n",
        "",
        "test_one_content.py::test_what_can_never_be_valid_is_refused_also_when_it_comes_late",
    ),
    (
        "controlplane/orders.py",
        "        check_same(order, known)\n",
        "",
        "test_one_content.py::test_an_id_with_other_content_is_refused_and_with_the_same_gets_the_first_result",
    ),
    (
        "controlplane/evacuation.py",
        "            if 2 * answered <= len(self.other_voters()) + 1:",
        "            if False:",
        "test_one_content_racing.py::test_a_site_is_refused_only_when_settings_or_a_majority_of_the_voters_know_of_none",
    ),
    (
        "controlplane/request_bodies.py",
        "    if fault:",
        "    if False:",
        "test_one_content.py::test_what_could_not_be_carried_or_stored_is_refused_before_it_is_an_order",
    ),
    (
        "controlplane/evacuation.py",
        "            await self.confirm_since(asked_at)",
        "            raise",
        "test_one_content_racing.py::test_an_evacuation_again_is_not_refused_by_a_node_that_has_not_heard_of_it",
    ),
    (
        "controlplane/operator_reads.py",
        "        await self.read_index.confirm(*items.TABLES)",
        "        self.context.check_current()",
        "test_cut_off.py::test_a_control_node_just_cut_off_shows_nothing_and_says_so_at_once",
    ),
    (
        "controlplane/orders.py",
        "    if in_force != fenced.lease:",
        "    if False:",
        "test_cut_off_leases.py::test_a_holder_that_thaws_writes_nothing_under_a_lease_that_another_has_taken",
    ),
]
