"""Mutations of the state package and the acceptor: file, code, its replacement, the test that must fail."""
# ruff: noqa: E501

MUTATIONS = [
    (
        "controlplane/consensus/acceptor.py",
        "        if ballot <= record.promised:\n",
        "        if False:\n",
        "modelcheck/test_model_check.py::test_random_walks_with_faulty_links_keep_all_invariants[race]",
    ),
    (
        "state/quorum.py",
        "    return is_majority(voters, disk_ids) and (len(sites) == 1 or len(holding) > 1)",
        "    return is_majority(voters, disk_ids)",
        "modelcheck/test_model_check.py::test_random_walks_with_faulty_links_keep_all_invariants[sites]",
    ),
    (
        "controlplane/consensus/acceptor.py",
        "        await self.store.save_record(self.table, record._replace(promised=ballot))",
        "        asyncio.get_running_loop().create_task(\n            self.store.save_record(self.table, record._replace(promised=ballot))\n        )",
        "modelcheck/test_model_check.py::test_random_walks_with_faulty_links_keep_all_invariants[race]",
    ),
    (
        "controlplane/consensus/acceptor.py",
        "        await self.store.save_record(self.table, changed)",
        "        asyncio.get_running_loop().create_task(self.store.save_record(self.table, changed))",
        "modelcheck/test_model_check.py::test_random_walks_with_faulty_links_keep_all_invariants[race]",
    ),
    (
        "controlplane/consensus/acceptor.py",
        "        if self.record.applied == versions.NONE or not self.store.intact[self.table]:\n",
        "        if False:\n",
        "state/test_disk_faults.py::test_corrupt_file_is_quarantined_and_its_table_neither_served_nor_voted_from",
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
        "state/test_power_loss.py::test_item_file_under_the_name_of_another_item_is_ignored",
    ),
    (
        "state/storage/durable_store.py",
        "any(file_names.file_number(name) > self.record_numbers[table] for name in names)",
        "bool(names)",
        "state/test_power_loss.py",
    ),
    (
        "state/storage/durable_store.py",
        'name.startswith(f"{table}.") and name not in used_names',
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
        "state/test_restart_after_changes.py::test_more_removals_than_are_remembered_leave_the_disk_with_its_vote",
    ),
    (
        "state/replication/replicator.py",
        "            overtaken += 1",
        "            return",
        "state/test_restart_after_changes.py::test_repair_overtaken_by_commits_goes_on_until_it_has_caught_up",
    ),
    (
        "state/replication/quorum_loss.py",
        "    return state.pending_base is None or state.pending_base < local.applied",
        "    return True",
        "state/test_quorum_loss.py::test_voter_with_a_pending_batch_is_no_evidence",
    ),
    (
        "state/replication/quorum_loss.py",
        "        if quorum.is_majority(voters, unable_disk_ids):",
        "        if unable_disk_ids:",
        "state/test_quorum_loss.py::test_stopped_voter_processes_are_evidence_only_if_more_than_half",
    ),
    (
        "state/replication/quorum_loss.py",
        "        except OSError:\n            return False",
        "        except OSError:\n            return True",
        "state/test_quorum_loss.py::test_node_that_reaches_nobody_stops_using_tables_at_the_freshness_bound",
    ),
    (
        "state/replica.py",
        "        if expected.root() != root_digest:\n            return False",
        "",
        "state/test_replication.py::test_changes_are_applied_only_if_the_outcome_equals_the_peers_replica",
    ),
    (
        "state/replica.py",
        "        if applied < self.applied:\n            return False\n        expected",
        "        expected",
        "state/test_replication.py::test_changes_are_applied_only_if_the_outcome_equals_the_peers_replica",
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
        "controlplane/test_mutation_scenarios.py::test_a_voter_refuses_a_batch_whose_base_is_not_its_applied_version",
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
        "state/test_chunk_transfer.py::test_big_change_over_a_slow_link_arrives_in_time_though_several_peers_are_asked",
    ),
    (
        "state/replication/chunk_transfer.py",
        "            staged.cursor = checked_next_cursor(staged.cursor, reply.end)\n",
        "            self.staged.pop(local.name, None)\n            staged.cursor = checked_next_cursor(staged.cursor, reply.end)\n",
        "state/test_chunk_transfer.py::test_items_staged_from_a_peer_that_falls_silent_are_not_requested_again",
    ),
    (
        "state/replication/chunk_transfer.py",
        "        if local.applied < max(request.base, request.cursor.version):",
        "        if False:",
        "state/test_chunk_transfer.py::test_peer_older_than_the_staged_items_refuses_and_nothing_changes",
    ),
    (
        "state/replication/chunk_transfer.py",
        "        if cache_key not in self.cached_chunks:",
        "        if True:",
        "state/test_chunk_transfer.py::test_chunks_requested_by_many_nodes_are_cut_once",
    ),
]
