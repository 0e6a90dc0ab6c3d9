"""Guarding lines of state, membership and transport, in the form of guarded.py."""
# ruff: noqa: E501

GUARDS = [
    (
        "controlplane/consensus/acceptor.py",
        "        if ballot <= record.promised:\n",
        "        if False:\n",
        "modelcheck/test_model_check.py::test_random_walks_with_links_in_trouble_keep_all_rules[race]",
    ),
    (
        "state/quorum.py",
        "    return is_majority(voters, disk_ids) and (len(sites) == 1 or len(holding) > 1)",
        "    return is_majority(voters, disk_ids)",
        "modelcheck/test_model_check.py::test_random_walks_with_links_in_trouble_keep_all_rules[sites]",
    ),
    (
        "controlplane/consensus/acceptor.py",
        "        await self.store.save_record(self.table, record._replace(promised=ballot))",
        "        asyncio.get_running_loop().create_task(\n            self.store.save_record(self.table, record._replace(promised=ballot))\n        )",
        "modelcheck/test_model_check.py::test_random_walks_with_links_in_trouble_keep_all_rules[race]",
    ),
    (
        "controlplane/consensus/acceptor.py",
        "        await self.store.save_record(self.table, changed)",
        "        asyncio.get_running_loop().create_task(self.store.save_record(self.table, changed))",
        "modelcheck/test_model_check.py::test_random_walks_with_links_in_trouble_keep_all_rules[race]",
    ),
    (
        "controlplane/consensus/acceptor.py",
        "        if self.record.applied == versions.NONE or not self.store.intact[self.table]:\n",
        "        if False:\n",
        "state/test_disk_faults.py::test_a_damaged_file_is_put_aside_and_neither_served_nor_voted_from",
    ),
    (
        "state/storage/disk.py",
        "is_large or self.folder.links(name) > 1 or len",
        "is_large or len",
        "state/test_power_loss.py",
    ),
    (
        "state/storage/item_files.py",
        "        if file_names.item_file(saved.name, item) == name:",
        "        if True:",
        "state/test_power_loss.py::test_an_item_under_another_items_name_does_not_count",
    ),
    (
        "state/storage/durable_store.py",
        "any(file_names.file_number(name) > self.record_numbers[table] for name in names)",
        "bool(names)",
        "state/test_power_loss.py",
    ),
    (
        "state/storage/durable_store.py",
        'name.startswith(f"{table}.") and name not in counted',
        "name in record.obsolete_items",
        "state/test_power_loss.py",
    ),
    (
        "state/storage/item_files.py",
        "            removed[key] = saved.items[key].version",
        "            pass",
        "state/test_power_loss.py",
    ),
    (
        "state/storage/durable_store.py",
        "if not self.intact[table] or saved.digests_with(keys, live) != live.digests:",
        "if not self.intact[table]:",
        "state/test_restart_after_changes.py::test_more_forgotten_at_once_than_is_remembered_still_leaves_the_disk_with_its_vote",
    ),
    (
        "state/replication/replicator.py",
        "            overtaken += 1",
        "                return",
        "state/test_restart_after_changes.py::test_a_mend_that_is_overtaken_by_a_commit_goes_on_until_it_has_caught_up",
    ),
    (
        "state/replication/quorum_loss.py",
        "    return state.pending_base is None or state.pending_base < local.applied",
        "    return True",
        "state/test_quorum_loss.py::test_a_batch_that_may_have_been_confirmed_is_no_evidence",
    ),
    (
        "state/replication/quorum_loss.py",
        "        if quorum.is_majority(voters, unable):",
        "        if unable:",
        "state/test_quorum_loss.py::test_processes_that_do_not_run_are_evidence_if_they_are_more_than_half",
    ),
    (
        "state/replication/quorum_loss.py",
        "        except OSError:\n            return False",
        "        except OSError:\n            return True",
        "state/test_quorum_loss.py::test_a_node_that_reaches_nobody_uses_its_tables_no_longer_than_the_bound",
    ),
    (
        "state/replica.py",
        "        if expected.root() != root_digest:\n            return False",
        "",
        "state/test_replication.py::test_rows_above_a_applied_are_taken_only_if_the_outcome_is_the_peers_copy",
    ),
    (
        "state/replica.py",
        "        if applied < self.applied:\n            return False\n        expected",
        "        expected",
        "state/test_replication.py::test_rows_above_a_applied_are_taken_only_if_the_outcome_is_the_peers_copy",
    ),
    (
        "controlplane/consensus/acceptor.py",
        "        if record.promised > ballot:\n",
        "        if False:\n",
        "controlplane/test_ballots.py",
    ),
    (
        "controlplane/consensus/acceptor.py",
        "        if record.applied != batch.base:\n",
        "        if False:\n",
        "controlplane/test_guard_scenarios.py::test_a_voter_takes_no_batch_that_stands_on_another_base_than_its_own_applied",
    ),
    (
        "state/quorum.py",
        "    return is_majority(voters, disk_ids) and (len(sites) == 1 or len(holding) > 1)",
        "    return is_majority(voters, disk_ids)",
        "../src/irisstand/state/quorum.py",
    ),
    (
        "state/replication/replicator.py",
        "estimated_size(changed, CHANGES_LIMIT_BYTES) > CHANGES_LIMIT_BYTES",
        "estimated_size(changed, RANGES_LIMIT_BYTES) > RANGES_LIMIT_BYTES",
        "state/test_chunk_transfer.py::test_a_big_change_reaches_a_node_on_a_slow_link_that_asks_several_peers",
    ),
    (
        "state/replication/chunk_transfer.py",
        "            staged.cursor = checked_next(staged.cursor, reply.end)\n",
        "            self.staged.pop(local.name, None)\n            staged.cursor = checked_next(staged.cursor, reply.end)\n",
        "state/test_chunk_transfer.py::test_what_came_from_a_peer_that_falls_silent_is_not_asked_for_again",
    ),
    (
        "state/replication/chunk_transfer.py",
        "        if local.applied < max(request.base, request.cursor.version):",
        "        if False:",
        "state/test_chunk_transfer.py::test_a_peer_that_is_older_than_what_came_is_not_taken_for_the_truth",
    ),
    (
        "state/replication/chunk_transfer.py",
        "        if place not in self.cached_chunks:",
        "        if True:",
        "state/test_chunk_transfer.py::test_parts_are_worked_out_once_for_all_who_ask",
    ),
]
