"""The model's cluster of nodes, clients and injected faults, which advances by one event at a time."""

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

# Durations of virtual time.
SETTLE_SECONDS = 1e-6
PAUSE_SECONDS = 0.05
RUN_SECONDS_LIMIT = 60.0
# After this many pauses without a pending event, the oldest delayed event is released.
IDLE_PAUSES_LIMIT = 3


class ModelCluster:
    """A cluster of four nodes with bootstrapped disks that runs one scenario.

    Args:
        scenario: The client steps, the sites of the nodes and the faults that may be injected.
    """

    def __init__(self, scenario: scenarios.Scenario) -> None:
        self.scenario = scenario
        self.faults_left = scenario.faults
        self.trace: list[str] = []
        self.checker = invariants.InvariantChecker(model_node.TABLE)
        self.scheduler = scheduler.Scheduler(lambda node, label: self.nodes[node].record_input(label))
        self.nodes: dict[str, model_node.ModelNode] = {}
        # Tasks of crashed processes stay referenced, as their cleanup code would run if they were collected.
        self.crashed_actors: list[virtual_time.Actor] = []
        self.clients = clients.Clients(
            scenario.steps, scenario.replaced_voter, self.scheduler, self.checker, self.nodes
        )
        self.make_nodes()

    def make_nodes(self) -> None:
        """Create the nodes, each with a disk that starts from its bootstrap image."""
        image = bootstrap_image.cached_image(self.scenario.sites)
        context = model_node.ClusterContext(
            self.scheduler, self.checker, random.Random(1), self.nodes, self.crashed_actors
        )
        for name, site in zip(bootstrap_image.NODE_NAMES, self.scenario.sites, strict=True):
            self.nodes[name] = model_node.ModelNode(context, name, site, image.files[name])
        self.checker.on_applied("founding", image.batch.base, image.batch)

    def start(self) -> None:
        """Start the processes of all nodes."""
        for node in self.nodes.values():
            node.start()

    # -- faults --------------------------------------------------------------------------------------
    def crash(self, name: str) -> None:
        """Crash a node, which restarts from its synced files when its restart event is delivered."""
        self.begin_fault(name)
        self.nodes[name].crash()
        self.finish_fault(name)

    def wipe(self, name: str) -> None:
        """Crash a node and erase its disk; after its restart it rejoins with an empty disk."""
        self.begin_fault(name)
        self.nodes[name].wipe()
        self.finish_fault(name)

    def begin_fault(self, name: str) -> None:
        """Count an injected fault and discard the unsynced writes of the node."""
        self.faults_left -= 1
        self.scheduler.discard_syncs(name)

    def finish_fault(self, name: str) -> None:
        """Record the client steps that the crashed node lost, and post its restart event."""
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
        """Restart a crashed node, which also rejoins the cluster if its disk was wiped."""
        node = self.nodes[name]
        node.start()
        if node.is_rejoining:
            node.actor.start(self.rejoin(node))

    async def rejoin(self, node: model_node.ModelNode) -> None:
        """Copy the table to a wiped node and persist it, then add a client step that enrols it as a voter."""
        while not node.is_open:  # noqa: ASYNC110 - time is virtual, and a node has no event for its opening
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

    # -- actions that the model may take -------------------------------------------------------------
    def options(self) -> list[scheduler.Option]:
        """Return the possible actions for the oldest event; all but the first one are deviations."""
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
        """Run all coroutines until each of them waits, as virtual time advances only then.

        Raises:
            invariants.InvariantViolationError: An invariant is violated.
        """
        await asyncio.sleep(SETTLE_SECONDS)
        self.checker.raise_violation()
        self.clients.post_ready_steps()

    async def wait_for_events(self) -> None:
        """Let timers run while no event is pending, and release a delayed event if none of them posts one.

        Raises:
            invariants.InvariantViolationError: The run exceeded `RUN_SECONDS_LIMIT`.
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
        """Return the error for a run that exceeded its limit of steps or of virtual time."""
        return invariants.InvariantViolationError(
            f"the run does not end; client results by step number: {self.clients.results_text()}"
        )

    def is_finished(self) -> bool:
        """Return whether no event is left, all client steps have results, and no node is rejoining."""
        is_quiet = self.scheduler.is_empty() and self.clients.are_done()
        return is_quiet and not any(node.is_rejoining for node in self.nodes.values())

    # -- hashes of states ----------------------------------------------------------------------------
    def state_hash(self) -> int:
        """Return a hash of the cluster's state; runs in equal states have the same continuations."""
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
        """Return a hash of a finished run's disks, replicas, ballot numbers and client results."""
        tables = [
            (node.participant.store.records[model_node.TABLE], node.table_replica.root_digest())
            for node in self.nodes.values()
        ]
        highest = tuple(node.proposer.highest_ballot for node in self.nodes.values())
        refused = tuple(order.change for order in self.checker.history.refused)
        return hash(repr((tables, highest, self.sorted_results(), self.confirmed_versions(), refused)))

    def sorted_results(self) -> tuple[tuple[int, scenarios.StepResult], ...]:
        """Return pairs of step number and result, sorted by step number."""
        return tuple(sorted(self.clients.results.items()))

    def confirmed_versions(self) -> tuple[tuple[str, versions.Version], ...]:
        """Return the change id and the version of each confirmed order."""
        return tuple((entry.order.change, entry.version) for entry in self.checker.history.confirmed)

    def last_voter(self) -> str:
        """Return the name of the last voter in the newest voter set whose enrolled disk was not wiped."""
        replicas = [node.table_replica for node in self.nodes.values()]
        newest = max(replicas, key=lambda replica: replica.applied)
        voters = quorum.voters_from_wire(newest.value(items.VOTERS_KEY))
        disk_ids = {node.participant.store.disk_id for node in self.nodes.values()}
        return [voter.name for voter in voters if voter.disk_id in disk_ids][-1]
