"""The names of the headers that clients, edges and origins use towards one another.

A deployment that speaks other names adds an entry to the registry; nothing else knows them.
"""

import typing


class HeaderNames(typing.NamedTuple):
    """Header names in lower case; times are whole milliseconds, tags are separated by `separator`.

    `request_id` names one try of a client, `remaining` how long it still waits, `seal` confirms for a
    whole answer, `expected` names the instance that is meant, `instance` the one that answers, `not_run`
    marks an answer to a request that did not run, `cold` tells how long an origin stays cold.
    """

    request_id: str
    remaining: str
    seal: str
    expected: str
    instance: str
    not_run: str
    tags: str
    cold: str
    separator: str | None


# Plug-in point.
REGISTRY: dict[str, HeaderNames] = {
    "irisstand": HeaderNames(
        "x-request-id",
        "x-remaining-ms",
        "content-digest",
        "x-expected-instance",
        "x-instance",
        "x-not-run",
        "cache-tag",
        "x-cold-ms",
        ",",
    ),
}


def split_tags(words: HeaderNames, text: str) -> tuple[str, ...]:
    """
    >>> split_tags(REGISTRY["irisstand"], "a, b")
    ('a', 'b')
    """
    return tuple(tag.strip() for tag in text.split(words.separator) if tag.strip())
