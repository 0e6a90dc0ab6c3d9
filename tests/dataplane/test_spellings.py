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


def play(scene):
    async def with_route(stage):
        stage.route("objects", kind="cacheable", host=HOST)
        return await scene(stage)

    return direct_edge.run_scenario(with_route)


def purge(stage, host, path):
    """Purge an object in the way in which an operator's order does."""
    kind, name = operator_calls.single_purge({"host": host, "path": path})
    stage.put(items.LEDGER, f"purge/{kind}/{name}", {"purge": kind})


@pytest.mark.parametrize("seed", range(40))
def test_routes_caches_and_purges_agree_on_every_spelling(seed):
    """Guards against STALE: a purge that missed objects cached for a host in another case or with a port."""
    rng = random.Random(seed)

    async def scene(stage):
        spellings = [(random_host_spelling(rng), random_path_spelling(rng)) for _ in range(4)]
        for host, path in spellings:
            await stage.ask(path, host=host)
        purge(stage, random_host_spelling(rng), random_path_spelling(rng) + rng.choice(("", "?a=b")))
        stage.sent.clear()
        answers = [await stage.ask(path, host=host) for host, path in spellings]
        return [answer.status for answer in answers], len({path for _, path in spellings}), len(stage.sent)

    statuses, paths, fetches = play(scene)
    assert statuses == [200] * 4
    # Each spelling of the path is cached separately, and each is fetched again after the purge.
    assert fetches == paths


def test_one_copy_serves_all_spellings_of_a_host():
    async def scene(stage):
        for host in (HOST, HOST.upper(), f"{HOST}:8080", f"{HOST}."):
            await stage.ask(PATH, host=host)
        return len(stage.sent), stage.sent[0][3]["host"]

    assert play(scene) == (1, HOST)


def test_an_origin_gets_the_spelling_of_the_client():
    async def scene(stage):
        await stage.ask("/objects/%61?b", host="SHOP.example:8080")
        return stage.sent[0][2], stage.sent[0][3]["host"]

    assert play(scene) == ("/objects/%61?b", "SHOP.example:8080")


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
    async def scene(stage):
        with pytest.raises(errors.UnknownPathError):
            await stage.ask(PATH, host="other.example")

    play(scene)
