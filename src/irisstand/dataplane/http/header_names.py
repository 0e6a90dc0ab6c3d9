"""The names of the headers by which clients, edges and origins tell each other about attempts and deadlines.

A deployment with other names adds an entry to the registry; no other module knows the names.
"""

import typing


class HeaderNames(typing.NamedTuple):
    """Header names in lower case; times are in whole milliseconds.

    Attributes:
        request_id: Names one attempt of a client.
        remaining: How long the client still waits.
        digest: Confirms that an answer is complete.
        expected: The origin instance that is meant.
        instance: The origin instance that answers.
        not_run: Marks the answer to a request that was not carried out.
        tags: The tags by which an object can be purged.
        cold: How long an origin stays cold.
        separator: Stands between tags; None for white space.
    """

    request_id: str
    remaining: str
    digest: str
    expected_instance: str
    instance: str
    not_run: str
    tags: str
    cold_remaining: str
    separator: str | None


# Plug-in point.
REGISTRY: dict[str, HeaderNames] = {
    "irisstand": HeaderNames(
        request_id="x-request-id",
        remaining="x-remaining-ms",
        digest="content-digest",
        expected_instance="x-expected-instance",
        instance="x-instance",
        not_run="x-not-run",
        tags="cache-tag",
        cold_remaining="x-cold-ms",
        separator=",",
    ),
}


def split_tags(names: HeaderNames, text: str) -> tuple[str, ...]:
    """Return the tags of a header's value.

    >>> split_tags(REGISTRY["irisstand"], "a, b")
    ('a', 'b')
    """
    return tuple(tag.strip() for tag in text.split(names.separator) if tag.strip())
