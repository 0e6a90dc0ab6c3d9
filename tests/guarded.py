"""The guarding lines of the data plane: (file, text, what stands there when it is taken out, the test that must fail)."""
# ruff: noqa: E501

GUARDS = [
    (
        "dataplane/decisions.py",
        '        if touched:\n            return ("reject", errors.OutcomeUnknown',
        '        if False:\n            return ("reject", errors.OutcomeUnknown',
        "test_writes.py::test_a_lost_answer_is_an_unknown_outcome_and_never_a_second_try",
    ),
    (
        "dataplane/decisions.py",
        "        if error.code in CERTAINLY_NOT_RUN:",
        "        if True:",
        "test_protection.py::test_a_write_whose_shield_dies_under_it_is_an_unknown_outcome",
    ),
    (
        "dataplane/lines.py",
        "        if self.opened:\n            self.alive = False\n",
        "        if False:\n",
        "test_lines.py",
    ),
    (
        "dataplane/claims.py",
        '        if claim["print"] != fingerprint:',
        "        if False:",
        "test_writes.py::test_the_same_key_at_two_edges_runs_once_and_both_get_the_one_result",
    ),
    (
        "dataplane/claims.py",
        "        except errors.Claimed as error:\n            return self.replay",
        "        except errors.Claimed as error:\n            return await work()\n            return self.replay",
        "test_writes.py::test_the_same_key_at_two_edges_runs_once_and_both_get_the_one_result",
    ),
    (
        "dataplane/objects.py",
        '    if headers.get("content-digest") != digest_header(body):',
        "    if False:",
        "test_reads.py::test_an_answer_that_is_not_whole_and_sealed_is_never_a_success",
    ),
    (
        "dataplane/objects.py",
        '    if headers.get("x-request-id") != request_id:',
        "    if False:",
        "test_reads.py::test_an_answer_that_is_not_whole_and_sealed_is_never_a_success",
    ),
    (
        "dataplane/decisions.py",
        "    return thing.applied >= view.purged_at(path, thing.tags) and not outlived",
        "    return not outlived",
        "test_giving_out.py",
    ),
    (
        "dataplane/decisions.py",
        "    return thing.applied >= view.purged_at(path, thing.tags) and not outlived",
        "    return thing.applied >= view.purged_at(path, thing.tags)",
        "test_giving_out.py::test_an_answer_that_has_outlived_its_life_on_the_way_is_not_given_out",
    ),
    (
        "dataplane/decisions.py",
        "        if now > self.deadline - 0.05:",
        "        if False:",
        "test_giving_out.py::test_purges_that_keep_striking_end_in_a_refusal_within_the_deadline",
    ),
    (
        "dataplane/decisions.py",
        "    return thing.age_now(now) < thing.life and thing.applied >= purged",
        "    return thing.applied >= purged",
        "test_reads.py::test_a_cache_life_is_one_life_over_all_hops",
    ),
    (
        "dataplane/views.py",
        "        return max(forgotten, *(copy.version(key) for key in keys))",
        "        return max(copy.version(key) for key in keys)",
        "test_retention.py::test_a_node_cut_off_past_the_horizon_serves_nothing_that_a_forgotten_purge_struck",
    ),
    (
        "balancing/rota.py",
        "        if machine.name in rest and carries(awake, load * 1.2):",
        "        if False:",
        "test_rests.py",
    ),
    (
        "dataplane/origins.py",
        " and not self.view.is_evacuated(pool.origin.site)\n",
        "\n",
        "test_fleet.py::test_an_evacuated_site_gets_no_new_work_and_comes_back",
    ),
    (
        "dataplane/origins.py",
        'pool.origin.state != "leaving"',
        "True",
        "test_roster.py::test_a_leaving_origin_gets_no_new_work_two_seconds_after_the_platform_says_so",
    ),
    ("dataplane/lines.py", "    if found != (service, instance):", "    if False:", "test_doorstep.py"),
    (
        "dataplane/origins.py",
        "        return warm >= 1.0 or self.bucket.has_room",
        "        return True or self.bucket.has_room",
        "test_cold.py",
    ),
    (
        "dataplane/origins.py",
        'if self.origin.state == "cold" or self.has_returned:',
        'if self.origin.state == "cold":',
        "test_cold.py::test_an_origin_that_crashed_comes_back_cold_whatever_the_platform_still_says",
    ),
    (
        "balancing/ceilings.py",
        "        return self.clock.now() - self.opened < max(WORKS, deadline)",
        "        return False",
        "test_doorstep.py::test_a_shield_just_started_uses_no_share_that_its_forerunner_may_have_filled",
    ),
    (
        "balancing/ceilings.py",
        "        if works_until:\n",
        "        if False:\n",
        "test_doorstep.py::test_requests_that_nobody_waits_for_any_more_still_fill_their_place",
    ),
    (
        "balancing/ceilings.py",
        "        return self.clock.now() - entered_at <= FRESH",
        "        return True",
        "test_doorstep.py::test_a_line_that_took_long_to_get_is_counted_when_it_is_used",
    ),
    ("balancing/shares.py", "        elif service in frozen:", "        elif False:", "test_protection.py"),
    (
        "balancing/budget.py",
        "        if len(self.second) + 1 > self.share * len(self.first) + self.allowance:",
        "        if False:",
        "test_doorstep.py::test_the_budget_of_second_tries_holds_in_any_ten_seconds",
    ),
]
