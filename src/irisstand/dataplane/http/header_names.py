"""Names of the headers that carry attempt ids, deadlines and tags between clients, edges and origins.

A deployment with other names adds an entry to the registry; no other module contains these names.
"""

import typing


class HeaderNames(typing.NamedTuple):
    """Header names in lower case; headers with a duration give it in whole milliseconds.

    Attributes:
        request_id: The header with the id of one attempt of a client.
        remaining: The header that says how long the client still waits.
        digest: The header with a digest of the body, by which a receiver sees that a response is complete.
        expected_instance: The header that names the origin instance for which a request is meant.
        instance: The header that names the origin instance that sent a response.
        not_run: The header that marks the response to a request which the origin did not execute.
        tags: The header with the tags by which an object can be purged.
        cold_remaining: The header that says how long an origin is still cold.
        separator: The text between two tags; None for white space.
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


# Plug-in point: a deployment adds its header names under the name of its vocabulary.
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
    """Return the tags that the value of a tags header lists.

    >>> split_tags(REGISTRY["irisstand"], "a, b")
    ('a', 'b')
    """
    return tuple(tag.strip() for tag in text.split(names.separator) if tag.strip())
