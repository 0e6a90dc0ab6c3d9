"""Big configurations: a change costs what it changed, and a request costs no more for other routes."""

import asyncio
import random

import pytest
from direct_edge import KINDS, UPSTREAM, run_scenario

from irisstand import errors
from irisstand.dataplane.routing import route_table, routes
from irisstand.simulator import large_configurations
from irisstand.state import items, versions

MANY = 5000
HOSTS = ["a.example", "A.example", "b.example:80", "B.example.", "h"]
PREFIXES = ["/", "/a", "/a/", "/a/b/", "/ab", "/b/", "/b/c/d/"]
REGIONS = [None, ["one"], ["two", "one"]]


class CountedPath(str):
    """A path that counts how often it is compared with a prefix."""

    steps = 0

    def startswith(self, *arguments):
        self.steps += 1
        return super().startswith(*arguments)

    def __getitem__(self, place):
        self.steps += 1
        return super().__getitem__(place)


def route(name, **fields):
    item = {
        "name": name,
        "version": 1,
        "host": "h",
        "prefix": f"/{name}/",
        "kind": "cacheable",
        "timeout": 2.0,
    }
    return item | {"cache_life": 10.0, "service": "s"} | fields


def put_at_once(stage, rows):
    """A batch as a change of many rows brings it: one version for all."""
    copy = stage.context.configuration
    stage.version_counter += 1
    version = versions.Version(stage.version_counter, "n")
    copy.apply(items.Batch(version, copy.applied, tuple(rows)))


def many(stage, number=MANY):
    names = [f"big-{place:05d}" for place in range(number)]
    put_at_once(stage, [(f"route/{n}", {"version": 1, "item": route(n)}, False) for n in names])
    return names


def counting_compiles(monkeypatch):
    """Names of the routes that are compiled from now on."""
    compiled = []
    from_content = routes.Route.from_content

    def counted(content):
        compiled.append(content["name"])
        return from_content(content)

    monkeypatch.setattr(routes.Route, "from_content", counted)
    return compiled


# -- what a change and a request cost -----------------------------------------------------------------------
def test_change_of_one_route_compiles_only_that_route(monkeypatch):
    async def scene(stage):
        many(stage)
        stage.direct_node.table.refresh()
        compiled = counting_compiles(monkeypatch)
        stage.put(
            items.CONFIGURATION, "route/big-00007", {"version": 2, "item": route("big-00007", timeout=9)}
        )
        found = stage.direct_node.table.match("h", "/big-00007/x")
        stage.put(items.CONFIGURATION, "upstream/t", {"version": 1, "item": {"name": "t", "version": 1}})
        stage.put(items.CONFIGURATION, "~time", {"seconds": 1.0, "marks": [], "rules": []})
        stage.put(items.CONFIGURATION, "route/big-00008", {"version": 2, "item": None})
        with pytest.raises(errors.UnknownPathError):
            stage.direct_node.table.match("h", "/big-00008/x")
        return found.timeout, compiled, "t" in stage.direct_node.table.upstreams

    assert run_scenario(scene) == (9.0, ["big-00007"], True)


def test_lookup_among_many_routes_compares_few_prefixes():
    async def scene(stage):
        many(stage)
        table = stage.direct_node.table
        paths = [CountedPath("/big-04999/x"), CountedPath("/objects/1"), CountedPath("/nowhere")]
        for path in paths[:2]:
            assert path.startswith(table.match("h", path).prefix)
        with pytest.raises(errors.UnknownPathError):
            table.match("h", paths[2])
        return max(path.steps for path in paths)

    # As many steps as prefixes have lengths, twice where a host is looked up with its port and without.
    assert run_scenario(scene) <= 10


def test_token_of_a_rate_limit_does_not_look_at_every_route_of_the_service(monkeypatch):
    async def scene(stage):
        names = many(stage)
        put_at_once(stage, [("route/far", {"version": 1, "item": route("far", regions=["two"])}, False)])
        stage.direct_node.table.refresh()
        asked = []
        plain = stage.direct_node.endpoints.fleet.may_hold
        monkeypatch.setattr(
            stage.direct_node.endpoints.fleet, "may_hold", lambda r: asked.append(r.regions) or plain(r)
        )
        put_at_once(
            stage, [("upstream/s", {"version": 9, "item": {**UPSTREAM, "version": 9, "rate": 1000.0}}, False)]
        )
        stage.direct_node.table.refresh()
        for member in range(2, 5):
            stage.add_member(f"holder-{member}", "holder")
        await asyncio.sleep(1)
        stage.direct_node.endpoints.enter(stage.direct_node.table.upstreams["s"], 1.0)
        return len(names), asked

    # A place is of this node's recorded part: which routes are held does not matter to it.
    assert run_scenario(scene) == (MANY, [])


# -- the same as a full rebuild -----------------------------------------------------------------------------
def plain_host(host):
    """The host without what does not count in it: capitals, a port, a dot at its end."""
    return host.lower().partition(":")[0].rstrip(".")


def plainly(copy, host, path):
    """The route that a request meets, by a walk through all rows."""
    rows = [item.value["item"] for item in copy.items_with_prefix("route/") if item.value["item"] is not None]
    of_host = [row for row in rows if plain_host(row["host"]) == plain_host(host)]
    found = [row for row in of_host if path.startswith(row["prefix"])]
    longest = max((len(row["prefix"]) for row in found), default=0)
    return next((row["name"] for row in found if len(row["prefix"]) == longest), None)


def matched(table, host, path):
    try:
        return table.match(host, path).name
    except errors.UnknownPathError:
        return None


def some_row(randomness):
    name = f"r{randomness.randrange(30)}"
    if randomness.random() < 0.2:
        value = {"version": 1, "item": {"name": name, "version": 1, "rate": randomness.random()}}
        return f"upstream/{name}", value if randomness.random() < 0.7 else {"version": 2, "item": None}
    if randomness.random() < 0.3:
        return f"route/{name}", randomness.choice([None, {"version": 2, "item": None}])
    fields = {"host": randomness.choice(HOSTS), "prefix": randomness.choice(PREFIXES)}
    fields |= {"regions": randomness.choice(REGIONS), "kind": randomness.choice(list(KINDS.values()))}
    return f"route/{name}", {"version": 1, "item": route(name, service=randomness.choice("st"), **fields)}


def mended(copy, randomness):
    """The copy as a peer's mend leaves it: another container, and rows that differ at old versions."""
    aside = copy.clone()
    rows = [key for key in aside.items if key.startswith("route/") and aside.value(key) is not None]
    for key in randomness.sample(rows, min(3, len(rows))):
        item = aside.items[key]
        if item.value["item"] is not None and randomness.random() < 0.7:
            spoilt = item.value["item"] | {"prefix": "/mended/"}
            aside.put(item._replace(value={"version": 1, "item": spoilt}))
        else:
            aside.remove(key)
    copy.replace_unless_older(aside)


def contents(table):
    return table.by_name, table.upstreams, table.limits, dict(table.services_at_holders)


@pytest.mark.parametrize("seed", range(12))
def test_route_table_after_changes_equals_one_read_anew(seed):
    randomness = random.Random(seed)

    async def scene(stage):
        table, copy = stage.direct_node.table, stage.context.configuration
        for _ in range(60):
            rows = dict(some_row(randomness) for _ in range(randomness.randrange(1, 6)))
            dead = [key for key, item in copy.items.items() if item.value is None]
            gone = randomness.sample(dead, min(2, len(dead))) if randomness.random() < 0.3 else []
            changes = [(key, value, False) for key, value in rows.items() if key not in gone]
            put_at_once(stage, [*changes, *((key, None, True) for key in gone)])
            if randomness.random() < 0.1:
                mended(copy, randomness)
            if randomness.random() < 0.3:
                continue
            table.refresh()
            anew = route_table.RouteTable(stage.context)
            anew.refresh()
            assert contents(table) == contents(anew)
            for host in ("a.example", "A.EXAMPLE:80", "b.example:80", "b.example", "b.Example.:8080", "h"):
                for path in ("/", "/a", "/abc", "/a/b/c", "/b/c/d/e", "/objects/1", "/mended/1", "x"):
                    assert matched(table, host, path) == plainly(copy, host, path), (host, path)

    run_scenario(scene)


def test_routes_removed_beyond_the_replicas_removal_records_are_gone():
    async def scene(stage):
        stage.context.configuration.removal_records = type(stage.context.configuration.removal_records)(
            maxlen=3
        )
        names = many(stage, 20)
        stage.direct_node.table.refresh()
        put_at_once(stage, [(f"route/{name}", None, True) for name in names])
        return [matched(stage.direct_node.table, "h", f"/{name}/x") for name in names]

    assert set(run_scenario(scene)) == {None}


def test_cost_of_large_configurations_can_be_measured():
    figures = {entry.description: entry.value for entry in large_configurations.measure(300)}
    assert figures["all rows in compressed chunks"] < figures["all rows, packed"] / 4
    assert figures["a message of one changed row"] < 1000
