"""Mutations of what bounds the memory and the turns of connections, in the form of dataplane_mutations.py."""
# ruff: noqa: E501

PASSING_ON = "dataplane/test_passing_on.py"
LARGE_REQUESTS = "dataplane/test_large_requests.py"
STORED = "dataplane/test_stored_bodies.py"
FREED = "dataplane/test_freed_requests.py"
TURNS = "dataplane/test_fair_turns.py"
UNREAD = "transport/test_unread_responses.py"
HELD_REQUEST = "http1/test_held_request.py"

MUTATIONS = [
    (
        "http1/held_request.py",
        """                body += await stream.read() or b""\n""",
        """                piece = await stream.read() or b""\n                body += piece\n""",
        HELD_REQUEST,
    ),
    (
        "dataplane/upstream/response_stream.py",
        "        if len(self.buffer) >= WINDOW_BYTES:\n",
        "        if False:\n",
        PASSING_ON,
    ),
    (
        "dataplane/upstream/response_stream.py",
        "        if len(self.buffer) <= RESUME_BYTES and not self.has_ended:\n",
        "        if False:\n",
        PASSING_ON,
    ),
    (
        "dataplane/upstream/response_stream.py",
        "        if self.received > BODY_LIMIT_BYTES:\n",
        "        if False:\n",
        PASSING_ON,
    ),
    (
        "dataplane/upstream/exchange.py",
        "        self.resume_reading()\n        self.update_reuse()\n",
        "        self.update_reuse()\n",
        PASSING_ON,
    ),
    (
        "dataplane/upstream/exchange.py",
        "        if self.sender is not None and not self.sender.is_done:\n",
        "        if False:\n",
        LARGE_REQUESTS,
    ),
    (
        "dataplane/upstream/transfers.py",
        "        if len(self.by_number) >= limit:\n",
        "        if False:\n",
        "dataplane/test_transfers.py",
    ),
    (
        "dataplane/upstream/call_state.py",
        "        self.running.clear()\n",
        "        pass\n",
        "dataplane/test_hedged_responses.py",
    ),
    (
        "dataplane/upstream/client.py",
        "            raise decision.error.copy()\n",
        "            raise decision.error\n",
        FREED,
    ),
    (
        "dataplane/upstream/attempts.py",
        "forwarding_policy.as_iris_error(error).without_frames()\n",
        "forwarding_policy.as_iris_error(error)\n",
        FREED,
    ),
    (
        "dataplane/cache/stored_body.py",
        "            self.pieces = []\n\n\nclass StoredBodyReader",
        "            pass\n\n\nclass StoredBodyReader",
        STORED,
    ),
    (
        "http1/strict_http.py",
        "                if self.recv_buffer:\n",
        "                if False:\n",
        TURNS,
    ),
    (
        "http1/strict_http.py",
        "        if not self.protocol.has_received:\n",
        "        if False:\n",
        TURNS,
    ),
    (
        "transport/request_server.py",
        "                    await self.stream.flush()\n",
        "                    pass\n",
        UNREAD,
    ),
    (
        "transport/request_server.py",
        "        if not self._hold(held_bytes):\n",
        "        if False:\n",
        UNREAD,
    ),
]
