"""Whether a 304 of an origin answers the request that it came for (RFC 9110, section 15.4.5)."""

import re

from irisstand.dataplane.upstream import exchange, upstream_request

NOT_MODIFIED_STATUS = 304
CONDITIONAL_HEADERS = frozenset(("if-none-match", "if-modified-since"))
ANY_TAG = "*"
# An entity tag without its mark of weakness, which does not count in the comparison of If-None-Match.
ENTITY_TAG = re.compile(r'(?:W/)?("[^"]*")')


def is_unasked(answer: exchange.Answer, sent_headers: upstream_request.Headers) -> bool:
    """Return whether a response is a 304 that does not answer a request with these headers.

    >>> answer = exchange.Answer(304, {"etag": '"2"'}, b"")
    >>> is_unasked(answer, [("if-none-match", '"1", W/"2"')]), is_unasked(answer, [("if-none-match", '"1"')])
    (False, True)
    """
    if answer.status != NOT_MODIFIED_STATUS:
        return False
    sent = {name.lower(): value for name, value in sent_headers if name.lower() in CONDITIONAL_HEADERS}
    condition, found = sent.get("if-none-match"), answer.headers.get("etag")
    if condition is None or found is None or condition.strip() == ANY_TAG:
        return not sent
    return not set(_entity_tags(found)) & set(_entity_tags(condition))


def _entity_tags(text: str) -> list[str]:
    """Return the tags that a header lists; some origins send a single tag without quotes."""
    return ENTITY_TAG.findall(text) or [text.strip()]
