"""Repeated amendments, lost replies and competing contents of one version, at several control plane nodes."""

import asyncio

import cluster
import pytest

import irisstand.controlplane.consensus.proposer as proposers
from irisstand import control_errors, errors
from irisstand.controlplane.changes import evacuation_check, orders
from irisstand.controlplane.consensus import ballot_plan
from irisstand.state import items

CONTROL_NODES = [f"agency-{number}" for number in range(1, 6)]


def upstream(version, rate, name="s9"):
    return [
        (f"upstream/{name}", {"version": version, "item": {"name": name, "version": version, "rate": rate}})
    ]


async def amend(day, name, payload):
    """Submit an amendment as the operators' HTTP interface does, without a change id."""
    node = day.cluster.nodes[name]
    return await node.run(node.program.submitter.submit_for_operator(orders.Order("amend", "", payload)), 8.0)


async def send_until_answered(day, payload, names):
    """Repeat an amendment at node after node until it is confirmed (True) or its version taken (False)."""
    for attempt in range(20):
        name = names[attempt % len(names)]
        try:
            if day.cluster.nodes[name].is_up:
                await amend(day, name, payload)
                return True
        except control_errors.VersionTakenError:
            return False
        except (errors.IrisError, TimeoutError, asyncio.CancelledError, ConnectionError):
            pass
        await asyncio.sleep(0.3)
    raise AssertionError("the amendment was neither confirmed nor refused in 20 attempts")


def rotated_nodes(number):
    return CONTROL_NODES[number % 5 :] + CONTROL_NODES[: number % 5]


def rates(day, name="s9"):
    rows = [cluster.context(day, node).configuration.value(f"upstream/{name}") for node in CONTROL_NODES]
    return {row["item"]["rate"] for row in rows if row is not None}


def test_of_competing_contents_under_one_version_one_is_confirmed_with_all_its_repeats():
    async def scenario(day):
        for version in range(1, 9):
            # Eight concurrent amendments: four contents of one version, each sent by two operators.
            sent = [(rate, rotated_nodes(rate + 2 * sender)) for rate in range(1, 5) for sender in (0, 1)]
            asked = [send_until_answered(day, upstream(version, rate), names) for rate, names in sent]
            answers = await asyncio.gather(*asked)
            confirmed = {rate for (rate, _), answer in zip(sent, answers, strict=True) if answer}
            assert len(confirmed) == 1, answers
            assert sum(answers) == 2, answers
            await asyncio.sleep(1)
            assert rates(day) == confirmed

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("seed", range(6))
def test_an_order_sent_elsewhere_after_its_proposer_was_killed_competes_and_one_content_is_confirmed(seed):
    async def scenario(day):
        for version in range(1, 5):
            first = asyncio.create_task(amend(day, "agency-1", upstream(version, 1)))
            await asyncio.sleep(0.004 * (3 * seed + version))
            day.cluster.nodes["agency-1"].kill()
            asked = [
                send_until_answered(day, upstream(version, 1), rotated_nodes(1 + seed)),
                send_until_answered(day, upstream(version, 2), rotated_nodes(3 + seed)),
            ]
            answers = await asyncio.gather(*asked)
            assert sum(answers) == 1, answers
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            await day.cluster.nodes["agency-1"].start()
            await day.cluster.wait_until(
                lambda: all(map(day.cluster.is_ready, day.cluster.with_role("agency"))), 15
            )
            await asyncio.sleep(1)
            assert rates(day) == {1 if answers[0] else 2}
            # Every node confirms a repeat of the confirmed content and refuses the other content.
            for name in CONTROL_NODES:
                assert await send_until_answered(day, upstream(version, 1), [name]) is answers[0]

    cluster.run_scenario(scenario, seed=seed + 1)


def test_a_repeat_is_confirmed_after_it_was_overtaken_and_all_nodes_restarted():
    async def scenario(day):
        call = upstream(3, 1) + upstream(3, 1, "s8")
        await amend(day, "agency-1", call)
        await amend(day, "agency-2", upstream(5, 2))
        await amend(day, "agency-3", [("upstream/s8", {"version": 6, "item": None})])
        for node in day.cluster.with_role("agency"):
            node.kill(reset=False)
        for node in day.cluster.with_role("agency"):
            await node.start()
        await day.cluster.wait_until(
            lambda: all(map(day.cluster.is_ready, day.cluster.with_role("agency"))), 15
        )
        for name in CONTROL_NODES:
            assert await send_until_answered(day, call, [name])
            with pytest.raises(control_errors.VersionTakenError) as raised:
                await amend(day, name, upstream(3, 9))
            assert raised.value.details == [{"item": "upstream/s9", "version": 3, "in_force": 5}]
        assert rates(day) == {2}

    cluster.run_scenario(scenario)


def test_a_taken_change_id_is_refused_with_its_details_at_every_node():
    async def scenario(day):
        first = await day.actors.order("agency-1", "change", [cluster.site_row(weight=5)], "mine")
        for name in CONTROL_NODES:
            assert await day.actors.order(name, "change", [cluster.site_row(weight=5)], "mine") == first
            with pytest.raises(control_errors.ChangeIdTakenError) as raised:
                await day.actors.order(name, "change", [cluster.site_row(weight=6)], "mine")
            assert raised.value.details == [{"change": "mine", "rows": ["site/north"]}]

    cluster.run_scenario(scenario)


def test_no_order_is_refused_because_of_rows_of_its_batch_that_were_never_decided(monkeypatch):
    async def scenario(day):
        node = day.cluster.nodes["agency-1"]
        proposer = node.program.submitter.proposers[items.CONFIGURATION]
        before = str(proposer.replica.version("site/north"))
        rows = [[cluster.site_row(weight=weight, expected=before)] for weight in (1, 2)]
        futures = [asyncio.get_running_loop().create_future() for _ in rows]
        give_up_at = node.program.context.clock.now() + 8.0
        real_propose, lost = proposers.Proposer.propose, []

        async def propose(self, voters, ballot, batch):
            if self is proposer and not lost:
                # The batch with the first order is lost before any voter receives it; the sender gives up.
                lost.append(batch)
                futures[0].cancel()
                raise proposers.BallotLostError("the batch reached no voter")
            await real_propose(self, voters, ballot, batch)

        monkeypatch.setattr(proposers.Proposer, "propose", propose)
        for number, future in enumerate(futures):
            order = orders.Order("change", f"c-{number}", rows[number])
            proposer.queue.put_nowait(ballot_plan.PendingOrder(order, future, give_up_at, []))
        done = await asyncio.gather(*futures, return_exceptions=True)
        assert lost, done
        assert isinstance(done[1], dict), done
        assert proposer.replica.value("site/north") == {"weight": 2}

    cluster.run_scenario(scenario)


def test_an_unknown_site_is_refused_only_if_settings_or_a_majority_of_voters_exclude_it():
    async def scenario(day):
        checks = [
            evacuation_check.EvacuationCheck(cluster.context(day, f"agency-{number}"))
            for number in range(1, 6)
        ]
        check, other = checks[0], checks[3]
        await check.check_site("west")
        with pytest.raises(errors.UnknownNameError) as raised:
            await check.check_site("newest")
        assert raised.value.status == 404
        # One voter that knows the site is enough: this node's member list may lack the newest members.
        other.context.settings = other.context.settings._replace(region_by_site="newest=one")
        await check.check_site("newest")
        # Without replies from a majority of the voters no node can know that the site does not exist.
        for number in (2, 3, 4, 5):
            cluster.context(day, f"agency-{number}").transport.handlers.pop("sites")
        with pytest.raises(control_errors.SiteUnknownError) as raised:
            await check.check_site("newest")
        assert raised.value.status == 503
        check.context.settings = check.context.settings._replace(region_by_site="north=one,south=one")
        with pytest.raises(errors.UnknownNameError):
            await check.check_site("newest")

    cluster.run_scenario(scenario)


@pytest.mark.parametrize("error_class", [errors.BadRequestError, errors.UnknownNameError])
def test_an_order_that_a_voter_cannot_read_has_an_unknown_outcome_and_is_not_refused(
    monkeypatch, error_class
):
    async def scenario(day):
        await amend(day, "agency-1", upstream(1, 1))
        transport = cluster.context(day, "agency-3").transport
        real_call = transport.call

        async def call_with_unreadable_orders(address, name, kind, body, timeout_seconds):
            if kind == "order":
                raise error_class("no handler for order")
            return await real_call(address, name, kind, body, timeout_seconds)

        monkeypatch.setattr(transport, "call", call_with_unreadable_orders)
        with pytest.raises(errors.ChangeOutcomeUnknownError):
            await amend(day, "agency-3", upstream(2, 2))
        monkeypatch.undo()
        await amend(day, "agency-3", upstream(2, 2))

    cluster.run_scenario(scenario)


def test_a_repeated_evacuation_is_not_refused_by_a_node_that_missed_the_first(monkeypatch):
    async def refuse_capacity(self, site, *, insist):
        raise errors.InsufficientCapacityError("too small", {})

    async def scenario(day):
        node = day.cluster.nodes["agency-5"]
        check = evacuation_check.EvacuationCheck(node.program.context)
        day.cluster.partition_off(["agency-5"])
        await day.actors.order("agency-1", "evacuate", "north")
        monkeypatch.setattr(evacuation_check.EvacuationCheck, "check_capacity", refuse_capacity)
        # The partitioned node cannot confirm its ledger; after the partition it does so before it refuses.
        with pytest.raises(errors.NoQuorumError):
            await node.run(check.check_unless_evacuated("north", insist=False), 8.0)
        assert not check.view.is_evacuated("north")
        day.cluster.network.heal()
        for _ in range(20):
            try:
                assert await node.run(check.check_unless_evacuated("north", insist=False), 8.0) == []
                break
            except errors.NoQuorumError:
                await asyncio.sleep(0.1)
        assert check.view.is_evacuated("north")
        with pytest.raises(errors.InsufficientCapacityError):
            await node.run(check.check_unless_evacuated("south", insist=False), 8.0)

    cluster.run_scenario(scenario)
