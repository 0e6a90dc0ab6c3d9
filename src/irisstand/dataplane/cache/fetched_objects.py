"""Makes objects for the cache from responses of origins, and records when each was fetched."""

from irisstand import event_log
from irisstand.dataplane.cache import object_lookup, objects
from irisstand.dataplane.http import header_names
from irisstand.dataplane.upstream import exchange
from irisstand.state import versions


def from_answer(
    names: header_names.HeaderNames,
    answer: exchange.Answer,
    applied: versions.Version,
    sent_at: float,
    ttl: float,
) -> objects.CachedObject:
    """Make a cached object from an origin's response, without the header that repeats the request id.

    Args:
        names: The names of the product's headers.
        answer: The response.
        applied: The version of the ledger that the node knew when it sent the request.
        sent_at: When the request was sent, in seconds of the node's clock.
        ttl: The time to live in seconds; 0 if the object must not be cached.
    """
    headers = tuple((name, value) for name, value in answer.headers.items() if name != names.request_id)
    tags = header_names.split_tags(names, answer.headers.get(names.tags, ""))
    return objects.CachedObject(answer.status, headers, answer.body, applied, 0.0, sent_at, ttl, tags)


def record(
    names: header_names.HeaderNames,
    lookup: object_lookup.ObjectLookup,
    status: int,
    fetched: objects.CachedObject,
) -> None:
    """Record when and at which version a copy was fetched, under the id of which request."""
    event_log.record(
        "copy-fetched",
        key=lookup.key,
        request_id=lookup.request.headers.get(names.request_id, ""),
        status=status,
        sent_at=fetched.as_of,
        applied=str(fetched.applied),
        etag=object_lookup.etag_of(fetched) or "",
        ttl=fetched.ttl,
    )
