"""Mutations of what keeps a body that is not whole from looking whole, and refetches within their limits."""
# ruff: noqa: E501

GIVEN_UP = "dataplane/test_given_up_answers.py"
REFETCHES = "dataplane/test_refetches.py"
LARGE_REQUESTS = "dataplane/test_large_requests.py"
STORED = "dataplane/test_stored_bodies.py"

MUTATIONS = [
    (
        "dataplane/upstream/attempts.py",
        "        if stream.has_ended:\n",
        "        if stream.has_ended:\n            stream.close()\n",
        "dataplane/test_whole_answers.py",
    ),
    (
        "dataplane/upstream/attempts.py",
        "        if stream.error is not None:\n",
        "        if False:\n",
        GIVEN_UP,
    ),
    (
        "dataplane/upstream/response_stream.py",
        "        if self.buffer:\n            # Without",
        "        if False:\n            # Without",
        GIVEN_UP,
    ),
    (
        "dataplane/upstream/response_stream.py",
        "        if checks_left:\n",
        "        if False:\n",
        GIVEN_UP,
    ),
    (
        "dataplane/upstream/response_stream.py",
        "        size = max(STREAM_BYTES, len(self.buffer))\n",
        "        size = STREAM_BYTES\n",
        GIVEN_UP,
    ),
    (
        "dataplane/nodes/direct.py",
        "    if not stream.claim():\n",
        "    if False:\n",
        GIVEN_UP,
    ),
    (
        "dataplane/upstream/call_state.py",
        "                body.hold()\n",
        "                pass\n",
        GIVEN_UP,
    ),
    (
        "dataplane/upstream/call_state.py",
        "                stream.close(response_stream.GiveUpReason.UNUSED)\n",
        "                pass\n",
        GIVEN_UP,
    ),
    (
        "dataplane/upstream/call_state.py",
        "            if not attempt.has_whole_request:\n",
        "            if False:\n",
        LARGE_REQUESTS,
    ),
    (
        "dataplane/http/request_body.py",
        "        if not piece and not self._is_whole():\n",
        "        if False:\n",
        LARGE_REQUESTS,
    ),
    (
        "dataplane/retry/refetch_policy.py",
        "        if self.fetches_left <= 0 or not self.budget.take():\n",
        "        if not self.budget.take():\n",
        REFETCHES,
    ),
    (
        "dataplane/retry/refetch_policy.py",
        "        if self.fetches_left <= 0 or not self.budget.take():\n",
        "        if self.fetches_left <= 0:\n",
        REFETCHES,
    ),
    (
        "dataplane/retry/attempt_policy.py",
        "        if not self.is_repeat:\n",
        "        if True:\n",
        REFETCHES,
    ),
    (
        "dataplane/cache/refetches.py",
        "            await asyncio.sleep(action.seconds)\n",
        "            pass\n",
        REFETCHES,
    ),
    (
        "dataplane/cache/refetches.py",
        "        if self.has_fetched:\n            action",
        "        if True:\n            action",
        REFETCHES,
    ),
    (
        "dataplane/cache/ranges.py",
        """                raise errors.BodyClosedError("the body ended before its range did")\n""",
        """                return b""\n""",
        STORED,
    ),
    (
        "dataplane/cache/stored_body.py",
        """            raise errors.BodyClosedError("the reader of the body is closed")\n""",
        """            return b""\n""",
        STORED,
    ),
    (
        "dataplane/cache/stored_body.py",
        "        if self.is_freed:\n",
        "        if False:\n",
        STORED,
    ),
    (
        "shared_bodies.py",
        """            raise errors.BodyClosedError("the reader of the body is closed")\n""",
        """            return b""\n""",
        STORED,
    ),
]
