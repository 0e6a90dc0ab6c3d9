"""The cluster of the model: its nodes, its clients and its faults, advanced one step at a time."""

import asyncio
import contextlib
import random

from irisstand import errors
from irisstand.controlplane.consensus import acceptor
from irisstand.modelcheck import (
    bootstrap_image,
    clients,
    events,
    invariants,
    model_node,
    scenarios,
    scheduler,
)
from irisstand.simulator import virtual_time
from irisstand.state import items, quorum, versions

# Virtual seconds.
SETTLE_SECONDS = 1e-6
PAUSE_SECONDS = 0.05
RUN_SECONDS_LIMIT = 60.0
# Pauses without a pending event before a late one is released.
IDLE_PAUSES_LIMIT = 3


class ModelCluster:
    """Four nodes on bootstrapped disks, ready to run a scenario."""

    def __init__(self, scenario: scenarios.Scenario) -> None:
        self.scenario = scenario
        self.faults_left = scenario.faults
        self.trace: list[str] = []
        self.checker = invariants.InvariantChecker(model_node.TABLE)
        self.scheduler = scheduler.Scheduler(lambda node, label: self.nodes[node].record_input(label))
        self.nodes: dict[str, model_node.ModelNode] = {}
        # A crashed process's tasks must stay referenced, or their clean-up code would run.
        self.crashed_actors: list[virtual_time.Actor] = []
        self.clients = clients.Clients(
            scenario.steps, scenario.replaced_voter, self.scheduler, self.checker, self.nodes
        )
        self.make_nodes()

    def make_nodes(self) -> None:
        """Make the nodes on copies of the bootstrapped disks."""
        image = bootstrap_image.cached_image(self.scenario.sites)
        context = model_node.ClusterContext(
            self.scheduler, self.checker, random.Random(1), self.nodes, self.crashed_actors
        )
        for name, site in zip(bootstrap_image.NODE_NAMES, self.scenario.sites, strict=True):
            self.nodes[name] = model_node.ModelNode(context, name, site, image.files[name])
        self.checker.on_applied("founding", image.batch.base, image.batch)

    def start(self) -> None:
        """Start all nodes."""
        for node in self.nodes.values():
            node.start()

    # -- faults --------------------------------------------------------------------------------------
    def crash(self, name: str) -> None:
        """Crash a node; it restarts from what was synced once the scheduler delivers its restart."""
        self.begin_fault(name)
        self.nodes[name].crash()
        self.finish_fault(name)

    def wipe(self, name: str) -> None:
        """Crash a node and lose its disk; it restarts empty and rejoins."""
        self.begin_fault(name)
        self.nodes[name].wipe()
        self.finish_fault(name)

    def begin_fault(self, name: str) -> None:
        """Count the fault and forget the node's unsynced writes."""
        self.faults_left -= 1
        self.scheduler.discard_syncs(name)

    def finish_fault(self, name: str) -> None:
        """Note the lost steps and post the restart."""
        self.clients.mark_lost_steps(name)
        self.scheduler.post(
            events.Event(
                events.EventKind.RESTART,
                name,
                name,
                f"restart {name}",
                lambda: self.restart(name),
            )
        )

    def restart(self, name: str) -> None:
        """Start a crashed node again."""
        node = self.nodes[name]
        node.start()
        if node.is_rejoining:
            node.actor.start(self.rejoin(node))

    async def rejoin(self, node: model_node.ModelNode) -> None:
        """Let a wiped voter learn the table and hold it durably before it asks to be voted in."""
        while not node.is_open:  # noqa: ASYNC110 - the model has virtual time, and its nodes no events for this
            await asyncio.sleep(SETTLE_SECONDS)
        peers = [name for name in bootstrap_image.VOTER_NAMES if name != node.name]
        while node.table_replica.applied == versions.NONE:
            for peer in peers:
                with contextlib.suppress(errors.IrisError):
                    await node.participant.replicator.pull((peer, model_node.PORT), peer, (model_node.TABLE,))
            await asyncio.sleep(PAUSE_SECONDS)
        await node.participant.acceptors[model_node.TABLE].submit(acceptor.Persist())
        node.is_rejoining = False
        self.clients.add(scenarios.ClientStep(scenarios.StepKind.ENROL, peers[0], joining_node=node.name))

    # -- the scheduler's options ---------------------------------------------------------------------
    def options(self) -> list[scheduler.Option]:
        """Return what may be done with the oldest event; the first is the default, others deviations."""
        options = self.scheduler.options()
        oldest_event = self.scheduler.pending[0]
        name = oldest_event.target
        is_running = not self.nodes[name].actor.dead
        if self.faults_left and is_running and oldest_event.kind is not events.EventKind.START:
            options.append(scheduler.Option(scheduler.Action.CRASH, lambda: self.crash(name)))
            if name in self.scenario.wipeable_nodes:
                options.append(scheduler.Option(scheduler.Action.WIPE, lambda: self.wipe(name)))
        return options

    # -- time ----------------------------------------------------------------------------------------
    async def settle(self) -> None:
        """Let all coroutines run until each waits: virtual time moves only then."""
        await asyncio.sleep(SETTLE_SECONDS)
        self.checker.raise_violation()
        self.clients.post_ready_steps()

    async def wait_for_events(self) -> None:
        """With nothing pending, let timers run, and then release an event that was held back.

        Raises:
            invariants.InvariantViolationError: The run does not end.
        """
        for _ in range(IDLE_PAUSES_LIMIT):
            await asyncio.sleep(PAUSE_SECONDS)
            self.clients.post_ready_steps()
            if self.scheduler.pending:
                return
        self.scheduler.release_delayed()
        if asyncio.get_running_loop().time() > RUN_SECONDS_LIMIT:
            raise self.nontermination_violation()

    def nontermination_violation(self) -> invariants.InvariantViolationError:
        """Return the violation of a run that does not end."""
        return invariants.InvariantViolationError(f"it does not end: {self.clients.results_text()}")

    def is_finished(self) -> bool:
        """Return whether nothing is left to do."""
        is_quiet = self.scheduler.is_empty() and self.clients.are_done()
        return is_quiet and not any(node.is_rejoining for node in self.nodes.values())

    # -- equal states --------------------------------------------------------------------------------
    def state_hash(self) -> int:
        """Return a hash that is equal for two runs which can only continue alike."""
        pending = tuple((event.label, event.is_delayed) for event in self.scheduler.pending)
        delayed = tuple(event.label for event in self.scheduler.delayed)
        histories = tuple(node.inputs_hash for node in self.nodes.values())
        return hash(
            (
                histories,
                (pending, delayed),
                self.sorted_results(),
                self.faults_left,
                self.confirmed_versions(),
            )
        )

    def final_state_hash(self) -> int:
        """Return a hash that is equal for two finished runs with equal disks, replicas and results."""
        tables = [
            (node.participant.store.records[model_node.TABLE], node.table_replica.root_digest())
            for node in self.nodes.values()
        ]
        highest = tuple(node.proposer.highest_ballot for node in self.nodes.values())
        refused = tuple(order.change for order in self.checker.history.refused)
        return hash(repr((tables, highest, self.sorted_results(), self.confirmed_versions(), refused)))

    def sorted_results(self) -> tuple[tuple[int, scenarios.StepResult], ...]:
        """Return results by step number."""
        return tuple(sorted(self.clients.results.items()))

    def confirmed_versions(self) -> tuple[tuple[str, versions.Version], ...]:
        """Return change id and version of each confirmed order."""
        return tuple((entry.order.change, entry.version) for entry in self.checker.history.confirmed)

    def last_voter(self) -> str:
        """Return the last of the newest voters whose disk is still the one that was voted in."""
        replicas = [node.table_replica for node in self.nodes.values()]
        newest = max(replicas, key=lambda replica: replica.applied)
        voters = quorum.voters_from_wire(newest.value(items.VOTERS_KEY))
        disk_ids = {node.participant.store.disk_id for node in self.nodes.values()}
        return [voter.name for voter in voters if voter.disk_id in disk_ids][-1]
