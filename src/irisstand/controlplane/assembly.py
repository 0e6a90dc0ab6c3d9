"""Assembles a control plane node from its settings, clock, randomness, network and disk.

Both the program and the simulator create their control plane nodes with this module.
"""

import random

from irisstand import clocks, node_context, node_settings
from irisstand.controlplane.consensus import (
    bootstrap,
    heartbeat,
    participant,
    proposer,
    submitter,
    voter_planner,
)
from irisstand.controlplane.singletons import (
    capacity_scaling,
    lease,
    origin_discovery,
    origin_source,
    placement,
    rate_placement,
    retention,
)
from irisstand.state import items
from irisstand.state.storage import disk
from irisstand.transport import network

# The lease durations of singleton tasks, in seconds: about how long a task is not done after the loss of its
# lease holder. They are short for tasks whose reaction time the users' documentation states.
ORIGIN_DISCOVERY_LEASE_SECONDS = 1.4
CAPACITY_SCALING_LEASE_SECONDS = 2.0
RATE_PLACEMENT_LEASE_SECONDS = 12.0


class ControlNode:
    """A control plane node: consensus on all tables, and the singleton tasks that its settings name.

    Args:
        settings: The settings of this node.
        clock: The monotonic clock.
        randomness: The source of random numbers for ballots, intervals and identifiers.
        net: The network, for connections and datagrams.
        node_disk: The disk that stores the tables and the votes.
        fetch_origins: Fetches the platform's list of origins; None if there is no platform.
    """

    def __init__(  # noqa: PLR0913, PLR0917 - each external dependency is injected
        self,
        settings: node_settings.Settings,
        clock: clocks.Clock,
        randomness: random.Random,
        net: network.Network,
        node_disk: disk.Disk,
        fetch_origins: origin_source.FetchOrigins | None,
    ) -> None:
        self.context = node_context.NodeContext(settings, "agency", clock, randomness, net)
        self.participant = participant.Participant(self.context, node_disk)
        self.proposers = {table: proposer.Proposer(self.participant, table) for table in items.TABLES}
        self.heartbeats = {
            table: heartbeat.Heartbeat(self.participant, table_proposer)
            for table, table_proposer in self.proposers.items()
        }
        self.read_index = heartbeat.ReadIndex(self.heartbeats)
        self.submitter = submitter.Submitter(self.participant, self.proposers)
        self.bootstrap = bootstrap.Bootstrap(self.participant, self.submitter)
        self.voter_planner = voter_planner.VoterPlanner(self.participant, self.submitter)
        enabled = settings.duties.split(",")
        self.singleton_tasks = [task for task in self._all_tasks(fetch_origins) if task.name in enabled]

    def _all_tasks(self, fetch_origins: origin_source.FetchOrigins | None) -> list[lease.SingletonTask]:
        tasks: list[lease.SingletonTask] = []
        if fetch_origins is not None:
            discovery = origin_discovery.OriginDiscovery(self.context, fetch_origins)
            tasks.append(
                lease.SingletonTask(
                    self.submitter, "platform-watch", discovery.work, ORIGIN_DISCOVERY_LEASE_SECONDS
                )
            )
        shield_placement = placement.ShieldPlacement(self.context)
        tasks.append(lease.SingletonTask(self.submitter, "placement", shield_placement.work))
        scaling = capacity_scaling.CapacityScaling(self.context)
        tasks.append(
            lease.SingletonTask(self.submitter, "staffing", scaling.work, CAPACITY_SCALING_LEASE_SECONDS)
        )
        table_retention = retention.Retention(self.context)
        tasks.append(lease.SingletonTask(self.submitter, "retention", table_retention.work))
        rates = rate_placement.RatePlacement(self.context)
        tasks.append(
            lease.SingletonTask(self.submitter, "rate-parts", rates.work, RATE_PLACEMENT_LEASE_SECONDS)
        )
        return tasks

    async def open(self) -> None:
        """Read the disk, open the ports and start all tasks, in this order.

        The disk comes first, as no peer may reach a voter that has not yet read the promises on its disk.
        """
        await self.participant.open()
        await self.context.open()
        for table in items.TABLES:
            self.context.start_task(self.proposers[table].run(), f"proposer of {table}")
            self.context.start_task(self.heartbeats[table].run(), f"heartbeat of {table}")
        self.context.start_task(self.bootstrap.run(), "founding")
        self.context.start_task(self.voter_planner.run(), "voter planner")
        for task in self.singleton_tasks:
            self.context.start_task(task.run(), f"singleton task {task.name}")

    async def close(self) -> None:
        """Close the ports and end all tasks of this node."""
        await self.context.close()
