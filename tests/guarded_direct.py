"""Guarding lines of edges that reach origins by themselves, in the form of guarded.py."""
# ruff: noqa: E501

GUARDS = [
    (
        "dataplane/trying.py",
        '        if touched:\n            return ("reject", errors.OutcomeUnknown',
        '        if False:\n            return ("reject", errors.OutcomeUnknown',
        "test_direct.py",
    ),
    (
        "dataplane/conversing.py",
        "        if answer.status in PROMISES:\n",
        "        if False:\n",
        "test_direct.py",
    ),
    (
        "dataplane/conversing.py",
        "        if request_id and answer.headers.get(words.request_id) != request_id:",
        "        if False:",
        "test_direct.py",
    ),
    (
        "dataplane/conversing.py",
        "        if answer.status < 300 and words.seal not in answer.headers:",
        "        if False:",
        "test_direct.py",
    ),
    (
        "dataplane/conversing.py",
        "            if upstream is None or not self.table.still_allows(route, service):",
        "            if False:",
        "test_direct.py::test_a_write_under_way_when_the_route_is_withdrawn_is_not_sent_on_to_the_old_service",
    ),
    ("dataplane/conversing.py", "(self.words.expected, target.instance)]", "]", "test_direct.py"),
    (
        "dataplane/exchange.py",
        "        if found is not None and found != self.request_id:",
        "        if False:",
        "test_exchange.py",
    ),
    (
        "dataplane/exchange.py",
        "        return self.alive and now - self.idle_since < self.idle_limit",
        "        return self.alive",
        "test_exchange.py",
    ),
    (
        "dataplane/reading.py",
        "            is_good = thing.applied >= floor and decisions.is_fit(",
        "            is_good = True or decisions.is_fit(",
        "test_direct_objects.py",
    ),
    ("dataplane/targets.py", "        return inside >= HOME_EDGES", "        return True", "test_holders.py"),
    (
        "dataplane/targets.py",
        "            and (not route.regions or self.region_of(target.origin.site) in route.regions)\n",
        "",
        "test_targets.py",
    ),
    (
        "dataplane/targets.py",
        "            and not self.view.is_evacuated(target.origin.site)\n",
        "",
        "test_targets.py",
    ),
    (
        "dataplane/targets.py",
        "        return target.sent_cold.count() < places",
        "        return True",
        "test_targets.py",
    ),
    (
        "dataplane/targets.py",
        "                target.cold_until = now + self.context.settings.platform_lag + SETTLING",
        "                pass",
        "test_targets.py",
    ),
    ("dataplane/targets.py", "        if wait is None:\n", "        if False:\n", "test_targets.py"),
    ("dataplane/trying.py", "self.sent < self.route.attempts and ", "", "test_targets.py"),
    (
        "controlplane/amending.py",
        '        if known is None or known["version"] < value["version"]:',
        "        if True:",
        "test_versioned.py",
    ),
    (
        "controlplane/amending.py",
        "    faults = versioned.faults_of(standing)",
        "    faults = []",
        "test_versioned.py",
    ),
    (
        "controlplane/bootstrap.py",
        "        if not settings.may_found:",
        "        if False:",
        "test_seeds.py::test_disks_that_were_lost_never_found_a_core_anew",
    ),
    (
        "controlplane/bootstrap.py",
        "            if not self.is_empty():\n                return",
        "            return",
        "test_seeds.py",
    ),
    (
        "state/replicator.py",
        "            all_current = all_current and is_news and context.is_fresh(copy)",
        "            all_current = all_current and context.is_fresh(copy)",
        "test_seeds.py::test_while_the_whole_core_is_out_tables_are_used_for_as_long_as_the_settings_say",
    ),
]
