"""Mutations of what ties a response of an origin to one request, in the form of dataplane_mutations.py."""
# ruff: noqa: E501

HISTORY = "dataplane/test_connection_history.py"
UNSHARED = "dataplane/test_unshared_responses.py"
LATE = "dataplane/test_late_responses.py"

MUTATIONS = [
    (
        "dataplane/upstream/response_reader.py",
        "            if self.surplus_count > SURPLUS_LIMIT:\n",
        "            if False:\n",
        LATE,
    ),
    (
        "dataplane/upstream/response_reader.py",
        "        self.surplus_count = 0\n",
        "        self.surplus_count = getattr(self, 'surplus_count', 0)\n",
        LATE,
    ),
    (
        "dataplane/upstream/response_classifier.py",
        "        if sent.is_anonymous and answer.status not in ANONYMOUS_STATUSES:\n",
        "        if False:\n",
        UNSHARED,
    ),
    (
        "dataplane/cache/object_reader.py",
        "            if is_joined and not objects.is_shareable(fetched):\n",
        "            if False:\n",
        UNSHARED,
    ),
    (
        "dataplane/nodes/edge.py",
        "        if is_joined and not objects.is_shareable(fetched.content):\n",
        "        if False:\n",
        UNSHARED,
    ),
    (
        "dataplane/nodes/shield.py",
        "        if is_joined and not objects.is_shareable(fetched):\n",
        "        if False:\n",
        UNSHARED,
    ),
    (
        "dataplane/cache/objects.py",
        "    return content.status == STATUS_OK and not is_private(headers)\n",
        "    return content.status == STATUS_OK\n",
        UNSHARED,
    ),
    (
        "dataplane/upstream/response_classifier.py",
        "        if not_modified.is_unasked(answer, sent.headers):\n",
        "        if False:\n",
        UNSHARED,
    ),
    (
        "dataplane/upstream/not_modified.py",
        "    return not set(_entity_tags(found)) & set(_entity_tags(condition))\n",
        "    return False\n",
        UNSHARED,
    ),
    (
        "dataplane/upstream/connection_history.py",
        " and not self.has_carried(request_id)\n",
        "\n",
        LATE,
    ),
    (
        "dataplane/upstream/connection_history.py",
        "        return self.carried_count >= REQUESTS_LIMIT\n",
        "        return False\n",
        HISTORY,
    ),
    (
        "dataplane/upstream/exchange.py",
        "        if not self.history.may_carry(request_id):\n",
        "        if False:\n",
        HISTORY,
    ),
    (
        "dataplane/upstream/origin_endpoint.py",
        "            elif connection.history.may_carry(request_id):\n",
        "            else:\n",
        HISTORY,
    ),
    (
        "dataplane/upstream/origin_endpoint.py",
        "        if len(self.idle) + self.connections_in_use() > connection_limit:\n",
        "        if False:\n",
        HISTORY,
    ),
    (
        "dataplane/upstream/endpoint_prober.py",
        'endpoint.acquire(PROBE_TIMEOUT_SECONDS, "")',
        'endpoint.acquire(PROBE_TIMEOUT_SECONDS, "probe")',
        HISTORY,
    ),
]
