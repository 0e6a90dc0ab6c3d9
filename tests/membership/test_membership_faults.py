"""SWIM membership while nodes pause, fail, leave or are partitioned, in virtual time."""

import asyncio

import cluster

from irisstand.membership import detector, updates

PERIOD = detector.Parameters.period_seconds


def states(day, about):
    """Return the state of a node in the member list of every other running node; None if it is not listed."""
    found = {}
    for name, node in day.cluster.nodes.items():
        if name != about and node.is_up:
            member = cluster.members(day, name).get(about)
            found[name] = member.state if member else None
    return found


def test_paused_process_is_suspected_refutes_it_and_is_never_confirmed():
    async def scenario(day):
        node = day.cluster.nodes["edge-1"]
        incarnation_id = node.program.context.detector.identity.incarnation_id
        node.freeze()
        seen_states = set()
        await day.cluster.wait_until(
            lambda: updates.MemberState.SUSPECT in states(day, "edge-1").values(), 10
        )
        node.thaw()
        for _ in range(int(20 * PERIOD / 0.1)):
            seen_states |= set(states(day, "edge-1").values())
            await asyncio.sleep(0.1)
        assert None not in seen_states
        assert set(states(day, "edge-1").values()) == {updates.MemberState.ALIVE}
        own = node.program.context.detector
        assert own.incarnation_number >= 1
        assert own.identity.incarnation_id == incarnation_id

    cluster.run_scenario(scenario)


def test_killed_node_is_confirmed_within_the_papers_bounds_and_returns_as_a_new_incarnation():
    async def scenario(day):
        node = day.cluster.nodes["store-1"]
        incarnation_id = node.program.context.detector.identity.incarnation_id
        members = len(day.cluster.nodes)
        node.kill()
        took = await day.cluster.wait_until(lambda: set(states(day, "store-1").values()) == {None}, 60)
        limit = node.program.context.detector.transmission_limit()
        # It takes up to 2n-1 periods until a node pings it, then the suspicion timeout and the dissemination.
        assert took <= (2 * members - 1 + 2 * limit) * PERIOD
        await node.start()
        await day.cluster.wait_until(
            lambda: set(states(day, "store-1").values()) == {updates.MemberState.ALIVE}, 20
        )
        assert node.program.context.detector.identity.incarnation_id != incarnation_id

    cluster.run_scenario(scenario)


def test_node_falsely_confirmed_returns_as_a_new_incarnation():
    async def scenario(day):
        node = day.cluster.nodes["edge-2"]
        identity = node.program.context.detector.identity
        day.cluster.partition_off(["edge-2"])
        await day.cluster.wait_until(lambda: set(states(day, "edge-2").values()) == {None}, 60)
        # While partitioned it kept all others on its list: it received no datagrams, so it confirmed nobody.
        assert len(cluster.members(day, "edge-2")) == len(day.cluster.nodes) - 1
        day.cluster.network.heal()
        await day.cluster.wait_until(
            lambda: set(states(day, "edge-2").values()) == {updates.MemberState.ALIVE}, 30
        )
        assert node.program.context.detector.identity.name == identity.name
        assert node.program.context.detector.identity.incarnation_id != identity.incarnation_id
        # No other node was confirmed by mistake and needed a new incarnation.
        for name in day.cluster.nodes:
            if name != "edge-2":
                assert cluster.context(day, name).counters.get("swim_lives") == 0

    cluster.run_scenario(scenario)


def test_member_lists_converge_after_a_long_partition():
    async def scenario(day):
        half = [name for name, node in day.cluster.nodes.items() if node.placement.site in ("north", "east")]
        day.cluster.partition_off(half)
        other = next(name for name in day.cluster.nodes if name not in half)
        await day.cluster.wait_until(lambda: not set(half) & set(cluster.members(day, other)), 90)
        day.cluster.network.heal()

        def have_converged():
            names = set(day.cluster.nodes)
            return all(set(cluster.members(day, name)) == names - {name} for name in names)

        await day.cluster.wait_until(have_converged, 60)

    cluster.run_scenario(scenario)


def test_loss_of_ten_percent_of_datagrams_confirms_no_living_member():
    """The paper's run with loss (section 5.3) ended with 12 of 17 members.

    With k = 3 and these timeouts, no member that runs may be confirmed as failed.
    """

    async def scenario(day):
        day.cluster.network.loss = 0.1
        for _ in range(200):
            await asyncio.sleep(PERIOD)
            for name in day.cluster.nodes:
                assert len(cluster.members(day, name)) == len(day.cluster.nodes) - 1
        suspected = sum(
            cluster.context(day, name).counters.get("swim_updates", state="suspect")
            for name in day.cluster.nodes
        )
        confirmed = sum(
            cluster.context(day, name).counters.get("swim_updates", state="confirm")
            for name in day.cluster.nodes
        )
        assert suspected > 0
        assert confirmed == 0

    cluster.run_scenario(scenario)


def test_leaving_node_is_removed_from_member_lists_without_being_suspected():
    async def scenario(day):
        await day.cluster.nodes["edge-1"].stop()
        await day.cluster.wait_until(lambda: set(states(day, "edge-1").values()) == {None}, 10 * PERIOD)
        failed_updates = cluster.context(day, "agency-1").detector.member_list.failed.values()
        assert [update.has_left for update in failed_updates if update.identity.name == "edge-1"] == [True]

    cluster.run_scenario(scenario)
