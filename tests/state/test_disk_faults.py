"""Lost, wiped, full, stalled and corrupt disks of voters; bootstrap; power loss on all nodes."""

import asyncio

import cluster
import pytest

from irisstand import errors
from irisstand.controlplane.consensus import acceptor
from irisstand.simulator import simulated_cluster, simulated_node, virtual_time
from irisstand.state import digests, items, versions


def votes_on_all_tables(day, name):
    return all(day.cluster.nodes[name].program.participant.is_voter(table) for table in items.TABLES)


def test_restart_of_all_nodes_restores_all_confirmed_items_within_15_seconds():
    async def scenario(day):
        result = await day.actors.order("agency-2", "change", [cluster.site_row(weight=7)])
        await day.actors.order("agency-3", "purge", [("path", "/vacancies/1")])
        for node in day.cluster.nodes.values():
            node.kill(reset=False)
        await asyncio.sleep(3)
        for node in day.cluster.nodes.values():
            await node.start()
        took = await day.cluster.wait_until_ready(15)
        while (await day.actors.send_request("edge-1", "GET", "/vacancies/1"))[0] != 200:
            took += 0.1
            await asyncio.sleep(0.1)
        assert took < 15
        for name in ("agency-5", "edge-2"):
            configuration = cluster.context(day, name).configuration
            assert configuration.value("site/north") == {"weight": 7}
            assert str(configuration.version("site/north")) == result["serial"]

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("victim", ["agency-1", "agency-4"])
def test_disk_lost_after_accepting_loses_nothing_and_its_successor_learns_before_voting(victim):
    async def scenario(day):
        result = await day.actors.order(victim, "change", [cluster.site_row(weight=3)])
        node = day.cluster.nodes[victim]
        old = node.program.participant.store.disk_id
        node.kill()
        node.wipe()
        await node.start()
        assert not votes_on_all_tables(day, victim)
        # A request that names its old disk id gets no vote, whatever the node holds in memory.
        with pytest.raises(errors.NotBootstrappedError):
            await node.run(
                node.program.participant.handle_prepare("x", [items.CONFIGURATION, (999, "x"), old]), 1
            )
        await day.cluster.wait_until(lambda: votes_on_all_tables(day, victim), 10)
        assert node.program.participant.store.disk_id != old
        for table in items.TABLES:
            assert len(day.cluster.nodes["agency-2"].program.participant.voters(table)) == 5
        assert str(cluster.context(day, victim).configuration.version("site/north")) == result["serial"]
        # Its vote counts again: with two other voters killed, a majority needs it.
        others = [name for name in ("agency-2", "agency-3", "agency-5") if name != victim][:2]
        for name in others:
            day.cluster.nodes[name].kill()
        await day.actors.order(victim, "change", [cluster.site_row(weight=4)])

    cluster.run_scenario(scenario)


def test_full_disk_refuses_changes_with_a_remedy_while_other_voters_go_on():
    async def scenario(day):
        day.cluster.nodes["agency-1"].disk.full = True
        with pytest.raises(errors.DiskFullError) as raised:
            await day.actors.order("agency-1", "change", [cluster.site_row(weight=2)])
        assert "data folder" in raised.value.remedy
        await day.actors.order("agency-2", "change", [cluster.site_row(weight=3)])
        await asyncio.sleep(2)
        # The node keeps serving the configuration in force, though it cannot store it on its full disk.
        assert cluster.context(day, "agency-1").configuration.value("site/north") == {"weight": 3}
        assert day.cluster.is_ready(day.cluster.nodes["agency-1"])
        day.cluster.nodes["agency-1"].disk.full = False
        await day.actors.order("agency-1", "change", [cluster.site_row(weight=4)])

    cluster.run_scenario(scenario)


def test_two_stalled_disks_stop_neither_changes_nor_the_freshness_of_their_nodes():
    async def scenario(day):
        for name in ("agency-1", "agency-2"):
            day.cluster.nodes[name].disk.stalled = True
        for weight in range(1, 6):
            await day.actors.order("agency-3", "change", [cluster.site_row(weight=weight)])
            await asyncio.sleep(1)
            for name in ("agency-1", "agency-2", "edge-1"):
                assert day.cluster.is_ready(day.cluster.nodes[name])
                assert cluster.context(day, name).configuration.value("site/north") == {"weight": weight}

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("part", [".voter.", ".item.", "vault"])
def test_corrupt_file_is_quarantined_and_its_table_neither_served_nor_voted_from(part):
    async def scenario(day):
        await day.actors.order("agency-1", "change", [cluster.site_row(weight=2)])
        await asyncio.sleep(1)
        node = day.cluster.nodes["agency-3"]
        before = node.program.participant.store.disk_id
        node.kill()
        assert node.disk.corrupt(part)
        # While partitioned, the node must not serve or vote from what is on its disk.
        day.cluster.partition_off(["agency-3"])
        await node.start()
        await asyncio.sleep(3)
        participant = node.program.participant
        assert not day.cluster.is_ready(node)
        if part == ".item.":
            with pytest.raises(errors.NotBootstrappedError):
                await node.run(
                    participant.acceptors[items.CONFIGURATION].submit(
                        acceptor.Prepare(versions.Version(10**6, "x"))
                    ),
                    1,
                )
            assert participant.context.configuration.value("site/north") is None
        else:
            assert participant.store.disk_id != before
        day.cluster.network.heal()
        await day.cluster.wait_until(
            lambda: votes_on_all_tables(day, "agency-3") and day.cluster.is_ready(node), 15
        )
        await asyncio.sleep(1)
        assert participant.context.configuration.value("site/north") == {"weight": 2}
        assert all(participant.store.intact.values())
        assert (
            participant.store.replicas[items.CONFIGURATION].root_digest()
            == participant.context.configuration.root_digest()
        )

    cluster.run_scenario(scenario)


def test_empty_voters_bootstrap_only_together_and_never_beside_a_bootstrapped_one():
    async def scenario():
        simulated = simulated_cluster.SimulatedCluster(3, cluster.SHAPE)
        control_nodes = simulated.with_role("agency")
        for node in control_nodes[:4]:
            await node.start()
        await asyncio.sleep(8)
        assert all(not node.program.participant.voters(items.LEDGER) for node in control_nodes[:4])
        await control_nodes[4].start()
        await simulated.wait_until(
            lambda: all(node.program.participant.is_voter(items.LEDGER) for node in control_nodes), 10
        )
        voters = control_nodes[0].program.participant.voters(items.LEDGER)
        for node in control_nodes[1:]:
            node.kill()
            node.wipe()
        for node in control_nodes[1:]:
            await node.start()
        await asyncio.sleep(10)
        # Four disks are empty and one was bootstrapped: nobody bootstraps again or votes from an empty disk.
        for node in control_nodes:
            assert node.program.participant.voters(items.LEDGER) == voters
            assert not simulated.is_ready(node)

    virtual_time.run(scenario())


def test_empty_machine_elsewhere_replaces_a_voter_that_is_gone_for_good():
    async def scenario(day):
        simulated = day.cluster
        result = await day.actors.order("agency-1", "change", [cluster.site_row(weight=6)])
        simulated.nodes["agency-2"].kill()
        placement = ("shield-machine-9", "south", "one", "10.0.0.99")
        spare = simulated.add(simulated_node.NodePlacement("agency-9", "agency", *placement))
        await spare.start()
        # The missing voter is not replaced before it has been gone for long, as it may only be restarting.
        await asyncio.sleep(30)
        assert not votes_on_all_tables(day, "agency-9")
        took = await simulated.wait_until(lambda: votes_on_all_tables(day, "agency-9"), 90)
        assert took > 20
        for table in items.TABLES:
            names = {voter.name for voter in simulated.nodes["agency-1"].program.participant.voters(table)}
            assert names == {"agency-1", "agency-3", "agency-4", "agency-5", "agency-9"}
        assert str(cluster.context(day, "agency-9").configuration.version("site/north")) == result["serial"]
        # The replaced voter restarts with its disk: it has no vote any more, and replaces no other voter.
        await simulated.nodes["agency-2"].start()
        await asyncio.sleep(10)
        assert not votes_on_all_tables(day, "agency-2")
        assert simulated.is_ready(simulated.nodes["agency-2"])
        simulated.nodes["agency-1"].kill()
        simulated.nodes["agency-3"].kill()
        await day.actors.order("agency-9", "change", [cluster.site_row(weight=8)])

    cluster.run_scenario(scenario)


def test_voters_that_one_site_loss_would_leave_without_majority_are_refused():
    async def scenario(day):
        voters = day.cluster.nodes["agency-1"].program.participant.voters(items.LEDGER)
        new_voter = ("agency-9", "vault", "north", "10.0.0.99", 7000, "m")
        assert [voter.site for voter in voters].count("north") == 2
        with pytest.raises(errors.InvalidChangeError) as raised:
            await day.actors.order("agency-1", "enrol-ledger", (new_voter, "agency-2"))
        assert "one site" in raised.value.faults[0]["message"]
        assert day.cluster.nodes["agency-3"].program.participant.voters(items.LEDGER) == voters

    cluster.run_scenario(scenario)


def test_data_folder_with_root_digests_of_the_first_version_starts():
    """The records of the first version hold a root digest over sixteen ranges.

    If they were taken for corrupt, no control plane node could vote after an upgrade.
    """

    async def scenario(day):
        await day.actors.order("agency-1", "change", [cluster.site_row(weight=7)])
        await asyncio.sleep(1)
        for node in day.cluster.with_role("agency"):
            store = node.program.participant.store
            for table in items.TABLES:
                record = store.records[table]
                old_root = digests.legacy_root_digest(store.replicas[table].items.values())
                assert old_root != record.root_digest
                await store.save_record(table, record._replace(root_digest=old_root))
            node.kill()
        for node in day.cluster.with_role("agency"):
            await node.start()
            assert all(node.program.participant.store.intact.values())
        await day.cluster.wait_until_ready()
        assert cluster.context(day, "edge-1").configuration.value("site/north") == {"weight": 7}
        await day.actors.order("agency-3", "change", [cluster.site_row(weight=8)])

    cluster.run_scenario(scenario)
