"""Mutations of what is cancelled or carried on when a client leaves, in the form of dataplane_mutations.py."""
# ruff: noqa: E501

CLIENTS = "dataplane/test_client_departures.py"
SOCKETS = "dataplane/test_departures_on_sockets.py"
KEYS = "dataplane/test_keyed_departures.py"

MUTATIONS = [
    (
        "dataplane/http/listener.py",
        "            response = await self.respond(node_request)\n",
        "            response = await asyncio.shield(asyncio.ensure_future(self.respond(node_request)))\n",
        CLIENTS,
    ),
    (
        "dataplane/http/listener.py",
        "            if client_departures.is_cancelled():\n                raise\n",
        "",
        CLIENTS + "::test_departure_is_counted_as_such_and_not_as_a_crash",
    ),
    (
        "dataplane/upstream/client.py",
        "                self.attempts.give_up(task, attempt, call.retry_policy)\n",
        "                pass\n",
        CLIENTS,
    ),
    (
        "dataplane/retry/single_attempt_policy.py",
        "        return not may_have_sent\n",
        "        return True\n",
        CLIENTS + "::test_write_at_its_origin_is_carried_on_and_counted_until_it_ends",
    ),
    (
        "dataplane/retry/write_policy.py",
        "        return not may_have_sent\n",
        "        return True\n",
        KEYS + "::test_write_without_a_key_is_carried_on_at_its_origin_and_sent_nowhere_else",
    ),
    (
        "dataplane/upstream/attempt_tasks.py",
        "        self.context.count_until_done(task)\n",
        "",
        CLIENTS + "::test_write_at_its_origin_is_carried_on_and_counted_until_it_ends",
    ),
    (
        "dataplane/upstream/transport_reset.py",
        "        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)\n",
        "        pass\n",
        SOCKETS,
    ),
    (
        "dataplane/http/client_departures.py",
        "    typing.cast(typing.Any, request.transport).resume_reading()\n",
        "",
        SOCKETS,
    ),
    (
        "dataplane/nodes/idempotency_keys.py",
        "        return await self.context.run_to_completion(self.run_claimed(key, attempt, fingerprint, send_write))\n",
        "        return await self.run_claimed(key, attempt, fingerprint, send_write)\n",
        KEYS + "::test_keyed_write_whose_client_left_is_carried_on_and_its_result_kept",
    ),
    (
        "dataplane/upstream/origin_client.py",
        "            self.attempts.give_up(task, attempt, retry_policy)\n",
        "",
        KEYS + "::test_read_at_an_origin_is_withdrawn_when_the_edge_that_asked_is_gone",
    ),
    (
        "dataplane/upstream/attempts.py",
        "                endpoint.note_unanswered(number)\n",
        "                pass\n",
        CLIENTS + "::test_endpoint_whose_attempts_are_withdrawn_late_counts_as_slow",
    ),
    (
        "dataplane/upstream/attempts.py",
        "(LATE_ANSWER_SECONDS if is_withdrawn else CARRIED_ON_SECONDS)",
        "CARRIED_ON_SECONDS",
        CLIENTS + "::test_attempt_ends_soon_after_the_deadline_of_a_client_that_was_not_answered",
    ),
    (
        "dataplane/cache/request_coalescer.py",
        "                shared.task.cancel()\n",
        "                pass\n",
        CLIENTS + "::test_shared_fetch_ends_with_its_last_client",
    ),
]
