"""Who may read the body of an object: one request for a stream, any number for a stored body."""

import collections.abc
import contextlib

from irisstand.dataplane.cache import objects, stored_body
from irisstand.dataplane.upstream import response_stream
from irisstand.http1 import body_source


def is_taken(body: bytes | stored_body.StoredBody | body_source.BodySource) -> bool:
    """Return whether a fetched body can't be used, as another request passes it on, or the cache freed it."""
    if isinstance(body, response_stream.ResponseStream):
        return not body.claim()
    return isinstance(body, stored_body.StoredBody) and body.is_freed


@contextlib.contextmanager
def keep(cached: objects.CachedObject | None) -> collections.abc.Iterator[None]:
    """Keep the body of a cached object while it is revalidated, even if the cache drops the object."""
    if cached is None or not isinstance(cached.body, stored_body.StoredBody):
        yield
        return
    reader = cached.body.open_reader()
    try:
        yield
    finally:
        reader.close()
