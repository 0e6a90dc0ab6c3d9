"""Large objects in the cache: kept while they are passed on, counted, and freed when no owner needs them."""

import asyncio

import pytest

from irisstand import counters, errors, resource_budget, shared_bodies
from irisstand.dataplane.cache import object_cache, objects, ranges, stored_body
from irisstand.http1 import body_source
from irisstand.state import versions

PIECE = b"x" * body_source.PIECE_BYTES
PIECES = 20
LENGTH = PIECES * len(PIECE)


class Source:
    """A body of `PIECES` pieces on its way to a client."""

    retained_bytes = 0

    def __init__(self, length=LENGTH):
        self.length = length
        self.pieces = [PIECE] * PIECES
        self.is_closed = False

    async def read(self):
        return self.pieces.pop() if self.pieces else b""

    def close(self):
        self.is_closed = True


def make_cache(limit=10 * LENGTH):
    budget = resource_budget.ResourceBudget(limit, 10, lambda: 0.0, counters.Counters())
    return object_cache.ObjectCache(limit, budget), budget


def content(body):
    return objects.CachedObject(200, (), body, versions.NONE, 0.0, 0.0, 9.0, ())


def read_all(source):
    async def read():
        found = b""
        while piece := await source.read():
            found += piece
        source.close()
        return found

    return asyncio.run(read())


def fill(cache, key="a"):
    assert len(read_all(cache.fill(key, content(Source())))) == LENGTH
    return cache.get(key).body


def test_object_that_was_passed_on_whole_is_cached_and_read_again():
    cache, _ = make_cache()
    stored = fill(cache)
    assert cache.size == LENGTH + object_cache.ENTRY_OVERHEAD_BYTES
    assert read_all(stored.open_reader()) == PIECE * PIECES


def test_object_whose_client_leaves_is_not_cached():
    cache, _ = make_cache()
    source = Source()

    async def read_some():
        passed_on = cache.fill("a", content(source))
        await passed_on.read()
        assert cache.size == len(PIECE)
        passed_on.close()

    asyncio.run(read_some())
    assert (cache.get("a"), cache.size, cache.fills, source.is_closed) == (None, 0, {}, True)


def test_object_too_large_for_the_cache_or_without_a_length_is_passed_on_alone():
    cache, _ = make_cache()
    large, unknown = Source(10 * LENGTH), Source(None)
    assert cache.fill("a", content(large)) is large
    assert cache.fill("a", content(unknown)) is unknown


def test_fill_gives_way_when_the_memory_is_needed_and_its_client_reads_on():
    cache, budget = make_cache()

    async def read_under_pressure():
        passed_on = cache.fill("a", content(Source()))
        received = len(await passed_on.read())
        budget.open().set(10 * LENGTH)
        assert cache.size == 0
        while piece := await passed_on.read():
            received += len(piece)
        return received

    assert asyncio.run(read_under_pressure()) == LENGTH
    assert cache.get("a") is None


def test_dropped_object_is_freed_at_once_unless_it_is_read():
    cache, budget = make_cache()
    stored = fill(cache)
    reader = stored.open_reader()
    assert budget.held == LENGTH
    cache.drop("a")
    assert not stored.is_freed
    reader.close()
    reader.close()
    assert (stored.is_freed, budget.held) == (True, 0)


def test_revalidated_object_keeps_its_body():
    cache, _ = make_cache()
    stored = fill(cache)
    cache.put("a", cache.get("a")._replace(ttl=5.0))
    assert not stored.is_freed
    assert cache.size == LENGTH + object_cache.ENTRY_OVERHEAD_BYTES


def test_pieces_of_a_trickling_body_are_joined():
    kept = []
    fill_of_trickle = stored_body.CacheFill(1000, lambda *_: None, lambda _, pieces: kept.append(pieces))
    for _ in range(1000):
        fill_of_trickle.add(b"x")
    fill_of_trickle.complete()
    assert kept == [[b"x" * 1000]]


async def read_after_close(reader):
    await reader.read()
    reader.close()
    with pytest.raises(errors.BodyClosedError):
        await reader.read()


def test_closed_reader_of_a_stored_body_does_not_end_it():
    """Guards against MIXED: a reader closed in the midst of a body, whose end looks like the body's."""
    cache, _ = make_cache()
    asyncio.run(read_after_close(fill(cache).open_reader()))


def test_closed_reader_of_a_body_that_is_held_whole_does_not_end_it():
    _, budget = make_cache()
    asyncio.run(read_after_close(shared_bodies.SharedBodyReader(budget.bodies, PIECE * PIECES)))


def test_closed_fill_does_not_end_its_body():
    cache, _ = make_cache()
    source = Source()

    async def read_closed():
        stored = stored_body.StoredBody(list(source.pieces), None)
        await read_after_close(cache.fill("a", content(stored.open_reader())))

    asyncio.run(read_closed())


def test_freed_body_has_no_readers():
    cache, _ = make_cache()
    stored = fill(cache)
    cache.drop("a")
    with pytest.raises(errors.BodyClosedError):
        stored.open_reader()


def test_range_of_a_body_that_ends_too_early_is_an_error():
    async def read():
        part = ranges.RangeSource(Source(), 0, LENGTH + 1)
        while await part.read():
            pass

    with pytest.raises(errors.BodyClosedError):
        asyncio.run(read())
