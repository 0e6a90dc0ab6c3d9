"""Large configurations: a change costs only what it changed, and a lookup does not depend on all routes."""

import asyncio
import random

import pytest
from direct_edge import KINDS, UPSTREAM, run_scenario

from irisstand import errors
from irisstand.dataplane.routing import route_table, routes
from irisstand.simulator import large_configurations
from irisstand.state import items, versions

ROUTE_COUNT = 5000
HOSTS = ["a.example", "A.example", "b.example:80", "B.example.", "h"]
PREFIXES = ["/", "/a", "/a/", "/a/b/", "/ab", "/b/", "/b/c/d/"]
REGIONS = [None, ["one"], ["two", "one"]]


class CountedPath(str):
    """A path that counts how often it is compared with prefixes."""

    comparisons = 0

    def startswith(self, *arguments):
        self.comparisons += 1
        return super().startswith(*arguments)

    def __getitem__(self, index):
        self.comparisons += 1
        return super().__getitem__(index)


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


def put_batch(harness, rows):
    """Apply many rows to the configuration as one change: a batch with one version for all rows."""
    configuration = harness.context.configuration
    harness.version_counter += 1
    version = versions.Version(harness.version_counter, "n")
    configuration.apply(items.Batch(version, configuration.applied, tuple(rows)))


def put_many_routes(harness, number=ROUTE_COUNT):
    names = [f"big-{index:05d}" for index in range(number)]
    put_batch(harness, [(f"route/{n}", {"version": 1, "item": route(n)}, False) for n in names])
    return names


def record_compiled_routes(monkeypatch):
    """Return a list to which the names of the routes that are compiled from now on are appended."""
    compiled_names = []
    from_content = routes.Route.from_content

    def counted(content):
        compiled_names.append(content["name"])
        return from_content(content)

    monkeypatch.setattr(routes.Route, "from_content", counted)
    return compiled_names


# -- what a change and a request cost -----------------------------------------------------------------------
def test_change_of_one_route_compiles_only_that_route(monkeypatch):
    async def scenario(harness):
        put_many_routes(harness)
        harness.direct_node.table.refresh()
        compiled_names = record_compiled_routes(monkeypatch)
        harness.put(
            items.CONFIGURATION, "route/big-00007", {"version": 2, "item": route("big-00007", timeout=9)}
        )
        found = harness.direct_node.table.match("h", "/big-00007/x")
        harness.put(items.CONFIGURATION, "upstream/t", {"version": 1, "item": {"name": "t", "version": 1}})
        harness.put(items.CONFIGURATION, "~time", {"seconds": 1.0, "marks": [], "rules": []})
        harness.put(items.CONFIGURATION, "route/big-00008", {"version": 2, "item": None})
        with pytest.raises(errors.UnknownPathError):
            harness.direct_node.table.match("h", "/big-00008/x")
        return found.timeout, compiled_names, "t" in harness.direct_node.table.upstreams

    assert run_scenario(scenario) == (9.0, ["big-00007"], True)


def test_lookup_among_many_routes_compares_few_prefixes():
    async def scenario(harness):
        put_many_routes(harness)
        table = harness.direct_node.table
        paths = [CountedPath("/big-04999/x"), CountedPath("/objects/1"), CountedPath("/nowhere")]
        for path in paths[:2]:
            assert path.startswith(table.match("h", path).prefix)
        with pytest.raises(errors.UnknownPathError):
            table.match("h", paths[2])
        return max(path.comparisons for path in paths)

    # One comparison for each distinct length of a prefix; two if the lookup repeats without the host's port.
    assert run_scenario(scenario) <= 10


def test_token_of_a_rate_limit_does_not_look_at_every_route_of_the_service(monkeypatch):
    async def scenario(harness):
        names = put_many_routes(harness)
        put_batch(harness, [("route/far", {"version": 1, "item": route("far", regions=["two"])}, False)])
        harness.direct_node.table.refresh()
        checked_regions = []
        original_may_hold = harness.direct_node.endpoints.fleet.may_hold
        monkeypatch.setattr(
            harness.direct_node.endpoints.fleet,
            "may_hold",
            lambda r: checked_regions.append(r.regions) or original_may_hold(r),
        )
        put_batch(
            harness,
            [("upstream/s", {"version": 9, "item": {**UPSTREAM, "version": 9, "rate": 1000.0}}, False)],
        )
        harness.direct_node.table.refresh()
        for member in range(2, 5):
            harness.add_member(f"holder-{member}", "holder")
        await asyncio.sleep(1)
        harness.direct_node.endpoints.take_token(harness.direct_node.table.upstreams["s"], 1.0)
        return len(names), checked_regions

    # A token comes from this node's recorded quota share, which does not depend on the routes.
    assert run_scenario(scenario) == (ROUTE_COUNT, [])


# -- the same result as a full rebuild -----------------------------------------------------------------------
def normalized_host(host):
    """Return a host in lower case, without its port and the dot at its end."""
    return host.lower().partition(":")[0].rstrip(".")


def expected_route_name(configuration, host, path):
    """Return the name of the route that matches a request, found by a walk through all rows."""
    rows = [
        item.value["item"]
        for item in configuration.items_with_prefix("route/")
        if item.value["item"] is not None
    ]
    of_host = [row for row in rows if normalized_host(row["host"]) == normalized_host(host)]
    found = [row for row in of_host if path.startswith(row["prefix"])]
    longest = max((len(row["prefix"]) for row in found), default=0)
    return next((row["name"] for row in found if len(row["prefix"]) == longest), None)


def matched_route_name(table, host, path):
    try:
        return table.match(host, path).name
    except errors.UnknownPathError:
        return None


def random_row(randomness):
    name = f"r{randomness.randrange(30)}"
    if randomness.random() < 0.2:
        value = {"version": 1, "item": {"name": name, "version": 1, "rate": randomness.random()}}
        return f"upstream/{name}", value if randomness.random() < 0.7 else {"version": 2, "item": None}
    if randomness.random() < 0.3:
        return f"route/{name}", randomness.choice([None, {"version": 2, "item": None}])
    fields = {"host": randomness.choice(HOSTS), "prefix": randomness.choice(PREFIXES)}
    fields |= {"regions": randomness.choice(REGIONS), "kind": randomness.choice(list(KINDS.values()))}
    return f"route/{name}", {"version": 1, "item": route(name, service=randomness.choice("st"), **fields)}


def repair_with_differences(configuration, randomness):
    """Change the replica as a repair from a peer does: a new container, and other rows at old versions."""
    repaired = configuration.clone()
    rows = [key for key in repaired.items if key.startswith("route/") and repaired.value(key) is not None]
    for key in randomness.sample(rows, min(3, len(rows))):
        item = repaired.items[key]
        if item.value["item"] is not None and randomness.random() < 0.7:
            changed_item = item.value["item"] | {"prefix": "/mended/"}
            repaired.put(item._replace(value={"version": 1, "item": changed_item}))
        else:
            repaired.remove(key)
    configuration.replace_unless_older(repaired)


def contents(table):
    return table.by_name, table.upstreams, table.limits, dict(table.services_at_holders)


@pytest.mark.parametrize("seed", range(12))
def test_route_table_after_changes_equals_one_read_anew(seed):
    randomness = random.Random(seed)

    async def scenario(harness):
        table, configuration = harness.direct_node.table, harness.context.configuration
        for _ in range(60):
            rows = dict(random_row(randomness) for _ in range(randomness.randrange(1, 6)))
            dropped_keys = [key for key, item in configuration.items.items() if item.value is None]
            removed_keys = (
                randomness.sample(dropped_keys, min(2, len(dropped_keys)))
                if randomness.random() < 0.3
                else []
            )
            changes = [(key, value, False) for key, value in rows.items() if key not in removed_keys]
            put_batch(harness, [*changes, *((key, None, True) for key in removed_keys)])
            if randomness.random() < 0.1:
                repair_with_differences(configuration, randomness)
            if randomness.random() < 0.3:
                continue
            table.refresh()
            fresh_table = route_table.RouteTable(harness.context)
            fresh_table.refresh()
            assert contents(table) == contents(fresh_table)
            for host in ("a.example", "A.EXAMPLE:80", "b.example:80", "b.example", "b.Example.:8080", "h"):
                for path in ("/", "/a", "/abc", "/a/b/c", "/b/c/d/e", "/objects/1", "/mended/1", "x"):
                    assert matched_route_name(table, host, path) == expected_route_name(
                        configuration, host, path
                    ), (host, path)

    run_scenario(scenario)


def test_routes_removed_beyond_the_replicas_removal_records_are_gone():
    async def scenario(harness):
        harness.context.configuration.removal_records = type(harness.context.configuration.removal_records)(
            maxlen=3
        )
        names = put_many_routes(harness, 20)
        harness.direct_node.table.refresh()
        put_batch(harness, [(f"route/{name}", None, True) for name in names])
        return [matched_route_name(harness.direct_node.table, "h", f"/{name}/x") for name in names]

    assert set(run_scenario(scenario)) == {None}


def test_cost_of_large_configurations_can_be_measured():
    figures = {entry.description: entry.value for entry in large_configurations.measure(300)}
    assert figures["all rows in compressed chunks"] < figures["all rows, packed"] / 4
    assert figures["a message of one changed row"] < 1000
