"""Spellings of a host or path are equivalent in routes, caches, purges and the configuration's checks."""

import random

import direct_edge
import pytest

from irisstand import errors
from irisstand.controlplane.api import operator_calls
from irisstand.http1 import locations
from irisstand.state import items
from irisstand.validation import item_entries

HOST = "shop.example"
PATH = "/objects/a~b"


def random_host_spelling(rng):
    """Return a random spelling of HOST: other letter case, a trailing dot or a port."""
    letters = "".join(rng.choice((letter.lower(), letter.upper())) for letter in HOST)
    return letters + rng.choice(("", ".")) + rng.choice(("", ":", ":80", ":8080"))


def random_path_spelling(rng, path=PATH):
    """Return a random spelling of a path, with any of its characters except slashes percent-encoded."""
    escapes = ("{0}", "%{1:02x}", "%{1:02X}")
    return "".join(
        character if character == "/" else rng.choice(escapes).format(character, ord(character))
        for character in path
    )


def play(scenario):
    async def with_route(harness):
        harness.route("objects", kind="cacheable", host=HOST)
        return await scenario(harness)

    return direct_edge.run_scenario(with_route)


def purge(harness, host, path):
    """Purge an object in the way in which an operator's order does."""
    kind, name = operator_calls.single_purge({"host": host, "path": path})
    harness.put(items.LEDGER, f"purge/{kind}/{name}", {"purge": kind})


@pytest.mark.parametrize("seed", range(40))
def test_routes_caches_and_purges_agree_on_every_spelling(seed):
    """Guards against STALE: a purge that missed objects cached for a host in another case or with a port."""
    rng = random.Random(seed)

    async def scenario(harness):
        spellings = [(random_host_spelling(rng), random_path_spelling(rng)) for _ in range(4)]
        for host, path in spellings:
            await harness.ask(path, host=host)
        purge(harness, random_host_spelling(rng), random_path_spelling(rng) + rng.choice(("", "?a=b")))
        harness.sent.clear()
        answers = [await harness.ask(path, host=host) for host, path in spellings]
        return [answer.status for answer in answers], len({path for _, path in spellings}), len(harness.sent)

    statuses, paths, fetches = play(scenario)
    assert statuses == [200] * 4
    # Each spelling of the path is cached separately, and each is fetched again after the purge.
    assert fetches == paths


def test_one_copy_serves_all_spellings_of_a_host():
    async def scenario(harness):
        for host in (HOST, HOST.upper(), f"{HOST}:8080", f"{HOST}."):
            await harness.ask(PATH, host=host)
        return len(harness.sent), harness.sent[0][3]["host"]

    assert play(scenario) == (1, HOST)


def test_an_origin_gets_the_spelling_of_the_client():
    async def scenario(harness):
        await harness.ask("/objects/%61?b", host="SHOP.example:8080")
        return harness.sent[0][2], harness.sent[0][3]["host"]

    assert play(scenario) == ("/objects/%61?b", "SHOP.example:8080")


@pytest.mark.parametrize(
    ("host", "prefix"), [("Shop.Example", "/a/"), (f"{HOST}:80", "/a/"), (f"{HOST}.", "/a/"), (HOST, "/%61/")]
)
def test_two_routes_that_differ_in_their_spelling_alone_are_one(host, prefix):
    """Guards against CONFIG: requests that are sent to the service of another route."""
    contents = {
        "upstream/s": {"name": "s", "version": 1},
        "route/one": {"name": "one", "host": HOST, "prefix": "/a/", "timeout": 1, "service": "s"},
        "route/two": {"name": "two", "host": host, "prefix": prefix, "timeout": 1, "service": "s"},
    }
    faults = item_entries.faults_of_table(contents)
    assert [(fault.item, fault.field) for fault in faults] == [("route/two", "prefix")]


@pytest.mark.parametrize(
    ("path", "normal"),
    [("/a%2fb", "/a%2Fb"), ("/a%3Fb", "/a%3Fb"), ("/a%00b", "/a%00b"), ("/a%zz%", "/a%zz%")],
)
def test_an_escape_that_means_something_else_is_kept(path, normal):
    assert locations.normal_path(path) == normal


def test_a_host_without_a_route_is_still_refused():
    async def scenario(harness):
        with pytest.raises(errors.UnknownPathError):
            await harness.ask(PATH, host="other.example")

    play(scenario)
