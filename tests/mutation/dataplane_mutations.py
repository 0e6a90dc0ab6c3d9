"""Mutations of the data plane: (source file, its text, the text put in its place, the test that must fail)."""
# ruff: noqa: E501

MUTATIONS = [
    (
        "dataplane/retry/write_policy.py",
        "        if event.may_have_run:\n            error = ",
        "        if False:\n            error = ",
        "dataplane/test_writes.py::test_write_with_lost_answer_is_an_unknown_outcome_and_not_retried",
    ),
    (
        "dataplane/retry/write_policy.py",
        "        if type(error) in forwarding_policy.NOT_RUN_ERRORS:",
        "        if True:",
        "controlplane/test_mutation_scenarios.py::test_a_write_whose_shield_dies_during_it_has_an_unknown_outcome",
    ),
    (
        "dataplane/upstream/connections.py",
        "        if self.state is not connection_state.ConnectionState.NEW:\n            self.state = connection_state.ConnectionState.CLOSED\n",
        "        if False:\n",
        "dataplane/test_upstream_connections.py",
    ),
    (
        "dataplane/nodes/idempotency_keys.py",
        '        if claim["print"] != fingerprint:',
        "        if False:",
        "dataplane/test_writes.py::test_same_idempotency_key_at_two_edges_runs_once_with_one_result",
    ),
    (
        "dataplane/nodes/idempotency_keys.py",
        "        except errors.KeyClaimedError as error:\n            return self.replay",
        "        except errors.KeyClaimedError as error:\n            return await send_write()\n            return self.replay",
        "dataplane/test_writes.py::test_same_idempotency_key_at_two_edges_runs_once_with_one_result",
    ),
    (
        "dataplane/cache/objects.py",
        '    if headers.get("content-digest") != digest_header(body):',
        "    if False:",
        "dataplane/test_reads.py::test_read_fails_when_its_answer_is_incomplete_or_unsealed",
    ),
    (
        "dataplane/cache/objects.py",
        '    if headers.get("x-request-id") != request_id:',
        "    if False:",
        "dataplane/test_reads.py::test_read_fails_when_its_answer_is_incomplete_or_unsealed",
    ),
    (
        "dataplane/retry/freshness_policy.py",
        "    return fetched.applied >= view.newest_purge(path, fetched.tags) and not has_expired",
        "    return not has_expired",
        "dataplane/test_served_objects.py",
    ),
    (
        "dataplane/retry/freshness_policy.py",
        "    return fetched.applied >= view.newest_purge(path, fetched.tags) and not has_expired",
        "    return fetched.applied >= view.newest_purge(path, fetched.tags)",
        "dataplane/test_served_objects.py::test_answer_that_expires_in_flight_is_not_served",
    ),
    (
        "dataplane/retry/freshness_policy.py",
        "        if now > self.deadline - MINIMUM_FETCH_SECONDS:",
        "        if False:",
        "dataplane/test_served_objects.py::test_repeated_purges_during_a_read_end_in_an_error_within_the_deadline",
    ),
    (
        "dataplane/retry/freshness_policy.py",
        "    return cached.age_now(now) < cached.ttl and cached.applied >= purged",
        "    return cached.applied >= purged",
        "dataplane/test_reads.py::test_time_to_live_is_counted_once_over_all_hops",
    ),
    (
        "dataplane/routing/configuration_view.py",
        "        return max(forgotten, *(ledger.version(key) for key in keys))",
        "        return max(ledger.version(key) for key in keys)",
        "controlplane/test_retention.py::test_a_node_that_was_cut_off_until_a_purge_expired_serves_no_purged_object",
    ),
    (
        "balancing/standby_planning.py",
        "        if machine.name in standby and uncovered_loss(active, load * ACTIVATION_MARGIN):",
        "        if False:",
        "controlplane/test_capacity_scaling.py",
    ),
    (
        "dataplane/upstream/origin_pool.py",
        " and not self.view.is_evacuated(pool.origin.site)\n",
        "\n",
        "controlplane/test_placement.py::test_an_evacuated_site_gets_no_new_work_and_comes_back",
    ),
    (
        "dataplane/upstream/origin_pool.py",
        'pool.origin.state != "leaving"',
        "True",
        "controlplane/test_origin_list.py::test_a_leaving_origin_gets_no_new_work_two_seconds_after_the_platform_says_so",
    ),
    (
        "dataplane/upstream/connections.py",
        "    if found != (service, instance):",
        "    if False:",
        "dataplane/test_origin_limits.py",
    ),
    (
        "dataplane/upstream/origin_connections.py",
        "        return warm >= 1.0 or self.bucket.has_token",
        "        return True or self.bucket.has_token",
        "dataplane/test_slow_start.py",
    ),
    (
        "dataplane/upstream/origin_connections.py",
        'if self.origin.state == "cold" or self.has_returned:',
        'if self.origin.state == "cold":',
        "dataplane/test_slow_start.py::test_crashed_origin_returns_cold_whatever_the_platform_says",
    ),
    (
        "balancing/service_limits.py",
        "        return self.clock.now() - self.started_at < max(MIN_ORIGIN_WORK_SECONDS, deadline)",
        "        return False",
        "dataplane/test_origin_limits.py::test_shield_just_started_uses_no_share_that_its_former_process_may_have_used",
    ),
    (
        "balancing/service_limits.py",
        "        if works_until:\n",
        "        if False:\n",
        "dataplane/test_origin_limits.py::test_abandoned_requests_still_count_as_in_flight",
    ),
    (
        "balancing/service_limits.py",
        "        return self.clock.now() - admitted_at <= ADMISSION_VALID_SECONDS",
        "        return True",
        "dataplane/test_origin_limits.py::test_request_whose_connection_took_long_is_counted_when_it_is_sent",
    ),
    (
        "balancing/quota_shares.py",
        "        elif service in frozen:",
        "        elif False:",
        "controlplane/test_mutation_scenarios.py",
    ),
    (
        "balancing/retry_budget.py",
        "        if self.retries.count() + 1 > limit:",
        "        if False:",
        "dataplane/test_origin_limits.py::test_retry_budget_holds_in_any_ten_seconds",
    ),
]
