"""Operators' work: the status of changes, replacing and retiring voters, file formats, and regions."""

import asyncio
import collections
import json

import cluster
import pytest

from irisstand import errors
from irisstand.controlplane.changes import change_status
from irisstand.controlplane.consensus import voter_administration
from irisstand.simulator import simulated_node
from irisstand.state import items
from irisstand.validation import formats


def test_a_change_is_shown_with_its_rows_what_superseded_them_and_who_has_it_in_force():
    async def scenario(day):
        await day.actors.order("agency-1", "change", [cluster.site_row(weight=2)], "first")
        await day.actors.order("agency-2", "change", [cluster.site_row(weight=3)], "second")
        await day.actors.order("agency-3", "purge", [("path", "/vacancies/1")], "swept")
        day.cluster.partition_off(["edge-2"])
        await asyncio.sleep(3)
        await day.actors.order("agency-2", "change", [cluster.site_row("south", 5)], "third")
        await asyncio.sleep(1)
        node = day.cluster.nodes["agency-4"]
        status = change_status.ChangeStatus(node.program.context)
        first = await node.run(status.show("first"), 3)
        second = await node.run(status.show("second"), 3)
        third = await node.run(status.show("third"), 3)
        assert first["rows"][0]["superseded_by"] == second["serial"]
        assert not first["rows"][0]["in_force"]
        assert second["rows"] == [{"row": "site/north", "in_force": True}]
        assert second["nodes"]["edge-1"] == "in force"
        assert second["nodes"]["agency-4"] == "in force"
        # edge-2 was partitioned off before the third change, so it does not reply.
        assert third["nodes"]["edge-2"] == "silent"
        assert (await node.run(status.show("swept"), 3))["rows"][0]["row"] == "purge/path//vacancies/1"
        with pytest.raises(errors.UnknownNameError):
            await node.run(status.show("never-sent"), 3)

    cluster.run_scenario(scenario)


def test_the_status_of_a_change_shows_a_node_that_is_behind():
    async def scenario(day):
        result = await day.actors.order("agency-1", "change", [cluster.site_row(weight=2)], "x")
        await asyncio.sleep(1)
        store_replica = cluster.context(day, "store-1").configuration
        store_replica.applied = store_replica.applied._replace(counter=store_replica.applied.counter - 1)
        node = day.cluster.nodes["agency-1"]
        shown = await node.run(change_status.ChangeStatus(node.program.context).show("x"), 3)
        assert shown["serial"] == result["serial"]
        assert shown["nodes"]["store-1"] == "behind"

    cluster.run_scenario(scenario)


async def add_spare(day, name, site, region):
    plan = simulated_node.NodePlacement(name, "agency", f"machine-{name}", site, region, "10.0.3.1")
    await day.cluster.add(plan).start()
    await day.cluster.wait_until_ready()
    await day.cluster.wait_until(lambda: name in cluster.members(day, "agency-5"), 20)


def voter_names(day, table=items.LEDGER):
    return {voter.name for voter in day.cluster.nodes["agency-5"].program.participant.voters(table)}


def administration(day, name="agency-5"):
    node = day.cluster.nodes[name]
    return node, voter_administration.VoterAdministration(node.program.context, node.program.submitter)


def test_replacing_a_voter_twice_is_the_same_as_once():
    async def scenario(day):
        await add_spare(day, "agency-7", "north", "one")
        node, admin = administration(day)
        assert (await node.run(admin.describe(), 3))["spares"] == ["agency-7"]
        for _ in range(2):
            await node.run(admin.replace("agency-1", "agency-7"), 8)
            await asyncio.sleep(1)
            for table in items.TABLES:
                names = {f"agency-{n}" for n in (2, 3, 4, 5, 7)}
                assert voter_names(day, table) == names
        with pytest.raises(errors.UnknownNameError):
            await node.run(admin.replace("agency-2", "agency-99"), 8)
        # The replaced voter can be shut down now, and the voters survive one more loss.
        day.cluster.nodes["agency-1"].kill()
        day.cluster.nodes["agency-7"].kill()
        await asyncio.sleep(1)
        await day.actors.order("agency-4", "change", [cluster.site_row()])

    cluster.run_scenario(scenario)


def test_a_voter_is_retired_only_if_the_rest_survive_the_loss_of_any_site():
    async def scenario(day):
        node, admin = administration(day)
        # Two of five voters are at site north: if a voter of another site retired, the loss of site north
        # would leave two of four.
        with pytest.raises((errors.InsufficientCapacityError, errors.InvalidChangeError)) as caught:
            await node.run(admin.retire("agency-2"), 8)
        assert caught.value.figures["voters"] == 4
        assert len(voter_names(day)) == 5
        for _ in range(2):
            assert len((await node.run(admin.retire("agency-1"), 8))["voters"]) == 4
            await asyncio.sleep(1)
            for table in items.TABLES:
                assert voter_names(day, table) == {f"agency-{number}" for number in (2, 3, 4, 5)}
        await node.run(admin.retire("agency-2"), 8)
        await asyncio.sleep(1)
        # The last three voters cannot be retired.
        with pytest.raises((errors.InsufficientCapacityError, errors.InvalidChangeError)):
            await node.run(admin.retire("agency-3"), 8)
        with pytest.raises(errors.UnknownNameError):
            await node.run(admin.retire("agency-99"), 8)
        assert len(voter_names(day)) == 3

    cluster.run_scenario(scenario)


def test_an_order_that_would_leave_no_majority_up_is_refused_whole_with_figures():
    async def scenario(day):
        await add_spare(day, "agency-7", "south", "one")
        for name in ("agency-2", "agency-3"):
            day.cluster.nodes[name].kill()
        node, admin = administration(day)
        with pytest.raises(errors.InsufficientCapacityError) as caught:
            await node.run(admin.retire("agency-4"), 8)
        assert caught.value.figures["up"] == ["agency-1", "agency-5"]
        # A dead voter may be replaced, as that increases the number of voters that are up.
        await node.run(admin.replace("agency-2", "agency-7"), 8)
        assert "agency-7" in voter_names(day)

    cluster.run_scenario(scenario)


OBJECTS = b"""
apiVersion: irisstand/v1
kind: Service
metadata: {name: content}
spec: {deadline: 3, ceiling: {rate: 100, inflight: 50}}
---
apiVersion: irisstand/v1
kind: Path
metadata: {name: /vacancies/, resourceVersion: "7@agency-1~ab"}
spec:
  grants: [{service: content, methods: [GET]}]
  life: 10
---
apiVersion: irisstand/v1
kind: Site
metadata: {name: north}
spec: null
"""


def test_yaml_objects_are_read_as_the_same_rows_as_json():
    rows = formats.read("first.yaml", OBJECTS)
    assert [(row["kind"], row["name"]) for row in rows] == [
        ("service", "content"),
        ("path", "/vacancies/"),
        ("site", "north"),
    ]
    assert rows[1]["expected"] == "7@agency-1~ab"
    assert rows[2]["value"] is None
    assert formats.read("rows.json", json.dumps(rows).encode()) == rows


@pytest.mark.parametrize(
    ("content", "expected_text"),
    [
        (b"kind: Site\nkind: Path\n", "line 2: 'kind' stands twice"),
        (b"a: &x [1]\nb: *x\n", "aliases"),
        (b"{", "line"),
        (b"", "no document"),
        (b"- 1\n", "not an object"),
        (OBJECTS.replace(b"kind: Path", b"kind: Road"), "Road"),
        (OBJECTS.replace(b"life: 10", b"life: -1"), "spec.life"),
        (OBJECTS.replace(b"irisstand/v1\nkind: Site", b"v9\nkind: Site"), "v9"),
        (OBJECTS.replace(b"{name: north}", b"{name: north, colour: red}"), "metadata.colour"),
        (OBJECTS.replace(b"spec: null", b"spec: {weight: 1}\nstatus: {}"), "status"),
        (OBJECTS.replace(b"spec: null", b""), "spec"),
        (b"1: 2\n", "the key 1 is not a string"),
        (b"\xff\xfe\x00", ""),
        (b"x: !!python/object:os.system {}\n", ""),
    ],
)
def test_a_file_with_a_faulty_object_is_refused_and_the_fault_is_named(content, expected_text):
    with pytest.raises(errors.InvalidChangeError) as caught:
        formats.read("first.yaml", content)
    assert any(expected_text in f"{fault['field']}: {fault['message']}" for fault in caught.value.faults), (
        caught.value.faults
    )


def test_a_file_with_several_faults_is_refused_with_each_fault_and_its_document():
    content = OBJECTS.replace(b"kind: Path", b"kind: Road").replace(b"deadline: 3", b"deadline: no")
    with pytest.raises(errors.InvalidChangeError) as caught:
        formats.read("first.yaml", content)
    assert {(fault["document"], fault["field"]) for fault in caught.value.faults} == {
        (0, "spec.deadline"),
        (1, "kind"),
    }


def test_a_table_that_differs_from_a_file_gives_one_line_for_each_difference():
    wanted = formats.read("first.yaml", OBJECTS)
    table = [{"kind": row["kind"], "name": row["name"], "value": row["value"]} for row in wanted[:2]]
    assert formats.differences(wanted, table) == []
    table[0]["value"] = {"deadline": 4}
    table.append({"kind": "site", "name": "south", "value": {}})
    found = formats.differences(wanted, table)
    assert len(found) == 2
    assert found[0].startswith("other: service")
    assert "not in the file" in found[1]


def test_origins_of_the_own_region_are_drawn_first_and_the_busier_give_way():
    async def scenario(day):
        counts = collections.Counter()
        for number in range(300):
            await day.actors.send_request(f"edge-{number % 2 + 1}", "GET", f"/shortlists/{number}")
        for name in ("shield-1", "shield-2", "shield-3", "shield-4", "shield-5"):
            role_node = day.cluster.nodes[name].program.role_node
            grant = role_node.view.authorize("GET", "/shortlists/1", "")
            sites = {"north": "one", "south": "one", "east": "two", "west": "two"}
            for _ in range(200):
                if role_node.view.quota_share("application", grant.limit)[0]:
                    pool = role_node.origins.choose(grant, ())
                    counts[sites[pool.origin.site] == role_node.context.settings.region] += 1
        # Two origins are drawn, and each draw prefers the own region three to one, so rather more than three
        # quarters of the requests stay in the own region if both regions have origins.
        assert counts[True] > 2.5 * counts[False], counts

    shape = cluster.SHAPE._replace(application_origins=4)
    cluster.run_scenario(scenario, shape=shape)
