"""Mutations of the checks of HTTP messages against their grammar, in the form of dataplane_mutations.py."""
# ruff: noqa: E501

SMUGGLING = "dataplane/test_request_smuggling.py"
WRITER = "dataplane/test_upstream_request.py"
HEAD = "http1/test_request_head.py"

MUTATIONS = [
    (
        "dataplane/http/listener.py",
        "                protocol=strict_protocol.StrictHttpProtocol,\n",
        "",
        SMUGGLING,
    ),
    (
        "http1/chunked_coding.py",
        "            _check_may_be_incomplete(buffer, position)\n",
        "            pass\n",
        "http1/test_chunked_coding.py",
    ),
    (
        "http1/chunked_coding.py",
        "        if not buffer.startswith(_LINE_END):\n",
        "        if False:\n",
        "http1/test_chunked_coding.py",
    ),
    (
        "http1/strict_http.py",
        "        self.url = None\n",
        "",
        SMUGGLING + "::test_malformed_targets_are_answered",
    ),
    (
        "http1/request_head.py",
        "    if grammar.REQUEST_HEAD.fullmatch(head) is None:\n",
        "    if grammar.REQUEST_HEAD.match(head) is None:\n",
        HEAD,
    ),
    (
        "http1/request_head.py",
        "        if length is not None:\n            raise",
        "        if False:\n            raise",
        HEAD,
    ),
    (
        "http1/request_head.py",
        "        if is_http_1_0:\n",
        "        if False:\n",
        HEAD,
    ),
    (
        "http1/request_head.py",
        "    if grammar.HOST.fullmatch(host) is None:\n",
        "    if False:\n",
        HEAD,
    ),
    (
        "dataplane/upstream/upstream_request.py",
        "    if grammar.REQUEST_HEAD.fullmatch(head) is None:\n",
        "    if False:\n",
        WRITER,
    ),
]
