"""Tests of the configuration checker: the faults and warnings that it finds, and valid configurations."""

from irisstand.localcluster import load_generator, processes
from irisstand.validation import checker

SHIELDS = [
    {"role": "shield", "machine": f"m{n}", "site": site, "state": "alive"} for n, site in enumerate("xxy")
]


def origin(service, state="ready"):
    return {"key": f"origin/{service}", "value": {"service": service, "state": state}}


FLEET = checker.read_fleet(SHIELDS, [origin("content"), origin("application")])


def service(name, rate=100, inflight=30):
    return {
        "kind": "service",
        "name": name,
        "value": {"deadline": 3, "ceiling": {"rate": rate, "inflight": inflight}},
    }


def path(name, service_name, *methods):
    grants = [{"service": service_name, "methods": list(methods)}]
    return {"kind": "path", "name": name, "value": {"grants": grants}}


def findings(rows, proposed, fleet=FLEET):
    return {
        (finding.level, finding.kind, finding.name, finding.field)
        for finding in checker.validate(rows, proposed, fleet)
    }


def test_faults_are_what_the_voters_would_refuse_and_leave_no_warnings():
    invalid_rows = [path("/a/", "nobody", "GET"), service("lonely")]
    assert findings([], invalid_rows) == {("fault", "path", "/a/", "grants")}
    assert findings([], [{"kind": "site", "name": "x", "value": {"weight": "much"}}]) == {
        ("fault", "site", "x", "weight")
    }
    # The checker looks at the resulting table: a service that a path in force names cannot be removed.
    in_force = [service("content"), path("/a/", "content", "GET")]
    removal = [{"kind": "service", "name": "content", "value": None}]
    assert findings(in_force, removal) == {("fault", "path", "/a/", "grants")}
    assert findings([service("content")], removal) == set()


def test_rows_that_do_not_fit_the_running_fleet_give_warnings():
    assert findings([], [service("lonely")]) == {("warning", "service", "lonely", "name")}
    fleet_of_leaving_origin = checker.read_fleet(SHIELDS, [origin("content", "leaving")])
    assert ("warning", "service", "content", "name") in findings(
        [], [service("content")], fleet_of_leaving_origin
    )
    assert findings([], [service("content", inflight=2)]) == {
        ("warning", "service", "content", "ceiling.inflight")
    }
    assert findings([], [service("content", rate=2)]) == {("warning", "service", "content", "ceiling.rate")}
    # Site x has two of the three shields, with 100 requests per second each: without it 100 are left.
    assert findings([], [service("content", rate=101)]) == {("warning", "site", "x", "limit")}
    assert findings([], [{"kind": "machine", "name": "gone", "value": {"awake": True}}]) == {
        ("warning", "machine", "gone", "name")
    }
    rows = [service("content"), service("application")]
    rows = [{**row, "value": {**row["value"], "ceiling": {"rate": 50, "inflight": 30}}} for row in rows]
    path_with_two_methods = path("/a/", "content", "GET", "POST")
    assert findings([*rows, path_with_two_methods], [path("/a/b/", "content", "GET")]) == {
        ("warning", "path", "/a/b/", "grants")
    }
    assert findings([*rows, path_with_two_methods], [path("/a/b/", "content", "GET", "POST")]) == set()


def test_the_local_clusters_configuration_has_no_findings_on_its_own_fleet():
    shape = processes.SHAPES["karbes"]
    places = [place for place in processes.place_processes(shape) if place.role == "shield"]
    members = [
        {"role": "shield", "machine": place.machine, "site": place.site, "state": "alive"} for place in places
    ]
    fleet = checker.read_fleet(members, [origin("content"), origin("application")])
    rows = load_generator.first_configuration(shape)
    limits = [{"kind": "shield", "name": place.machine, "value": {"limit": 1000}} for place in places]
    assert checker.validate([], [*rows, *limits], fleet) == []
