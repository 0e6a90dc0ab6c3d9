"""Mutations of lines that keep requests from being lost: at holders, at shutdown and after a wait."""
# ruff: noqa: E501

MUTATIONS = [
    (
        "dataplane/cache/object_reader.py",
        "            self.check_may_fetch_again()\n",
        "",
        "dataplane/test_decisions_after_waits.py",
    ),
    (
        "dataplane/cache/object_server.py",
        "        with self.context.count_in_flight():\n",
        "        if True:\n",
        "dataplane/test_object_holders.py",
    ),
    (
        "dataplane/retry/holder_policy.py",
        "        return self.wait() if self.is_holder_asked else actions.Reject(error)",
        "        return actions.Reject(error)",
        "dataplane/test_reads_through_holders.py::test_edge_does_not_refuse_a_read_that_an_origin_works_on_for_its_holder",
    ),
    (
        "dataplane/retry/holder_policy.py",
        "        is_alive = not event.is_silent and not event.is_failed\n",
        "        is_alive = False\n",
        "dataplane/test_holder_policy.py",
    ),
    (
        "dataplane/http/listener.py",
        "            self.check_admission()\n",
        "",
        "dataplane/test_stopping_edges.py",
    ),
    (
        "dataplane/upstream/call_state.py",
        "        if all(map(self.retry_policy.may_withdraw, sent)):\n",
        "        if True:\n",
        "dataplane/test_stopping_edges.py",
    ),
    ("node_context.py", "        self.drain_guard.refuse_unsent()\n", "", "dataplane/test_stopping_edges.py"),
    (
        "dataplane/upstream/attempts.py",
        "                await asyncio.sleep(attempt.delay_seconds)\n                attempt.check_again()\n",
        "                await asyncio.sleep(attempt.delay_seconds)\n",
        "dataplane/test_decisions_after_waits.py",
    ),
    (
        "dataplane/upstream/attempts.py",
        "            if not attempt.connection.is_used:\n                attempt.check_again()\n",
        "",
        "dataplane/test_decisions_after_waits.py",
    ),
    (
        "dataplane/upstream/origin_client.py",
        "        if not self.origins.is_usable(origin):\n",
        "        if False:\n",
        "dataplane/test_decisions_after_waits.py",
    ),
    (
        "drain_guard.py",
        "                case WorkState.BEGUN:\n",
        "                case WorkState.BEGUN if False:\n",
        "dataplane/test_stopping_edges.py",
    ),
    (
        "controlplane/api/operator_reads.py",
        "        with self.context.drain_guard.fail_at_end(lambda: drain_guard.WorkState.WITHDRAWABLE):\n",
        "        if True:\n",
        "programs/test_stopping_listeners.py",
    ),
    (
        "web.py",
        "            self.context.pending_work_checks.append(lambda: open_connections.close_idle(self.connections))\n",
        "",
        "programs/test_stopping_listeners.py",
    ),
    (
        "dataplane/http/sanic_adapter.py",
        "                context.drain_guard.fail_at_end(work_state),\n",
        "",
        "programs/test_stopping_listeners.py",
    ),
]
