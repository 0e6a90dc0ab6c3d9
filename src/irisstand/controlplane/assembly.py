"""Putting a control plane node together from what it is handed; the simulator uses this as the program
does.
"""

import random

from irisstand import clocks, node_context, node_settings
from irisstand.controlplane.consensus import bootstrap as founding
from irisstand.controlplane.consensus import heartbeat, submitter, voter_planner
from irisstand.controlplane.consensus import participant as cores
from irisstand.controlplane.consensus import proposer as proposers
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
from irisstand.state.storage import disk as disks
from irisstand.transport import network

# Seconds for which a lost holder leaves its duty undone, about. Short where a rule of seconds hangs on it.
PLATFORM_LEASE, STAFFING_LEASE, RATES_LEASE = 1.4, 2.0, 12.0


class ControlNode:
    def __init__(
        self,
        settings: node_settings.Settings,
        clock: clocks.Clock,
        randomness: random.Random,
        net: network.Network,
        disk: disks.Disk,
        ask_platform: origin_source.FetchOrigins | None,
    ) -> None:
        self.context = node_context.NodeContext(settings, "agency", clock, randomness, net)
        self.participant = cores.Participant(self.context, disk)
        self.proposers = {table: proposers.Proposer(self.participant, table) for table in items.TABLES}
        self.heartbeats = {
            table: heartbeat.Heartbeat(self.participant, proposer)
            for table, proposer in self.proposers.items()
        }
        self.read_index = heartbeat.ReadIndex(self.heartbeats)
        self.submitter = submitter.Submitter(self.participant, self.proposers)
        self.founding = founding.Bootstrap(self.participant, self.submitter)
        self.planner = voter_planner.VoterPlanner(self.participant, self.submitter)
        self.singleton_tasks: list[lease.SingletonTask] = []
        if ask_platform is not None:
            watcher = origin_discovery.OriginDiscovery(self.context, ask_platform)
            self.singleton_tasks.append(
                lease.SingletonTask(self.submitter, "platform-watch", watcher.work, PLATFORM_LEASE)
            )
        placer, staffer = (
            placement.ShieldPlacement(self.context),
            capacity_scaling.CapacityScaling(self.context),
        )
        self.singleton_tasks.append(lease.SingletonTask(self.submitter, "placement", placer.work))
        self.singleton_tasks.append(
            lease.SingletonTask(self.submitter, "staffing", staffer.work, STAFFING_LEASE)
        )
        keeper = retention.Retention(self.context)
        self.singleton_tasks.append(lease.SingletonTask(self.submitter, "retention", keeper.work))
        rate_placer = rate_placement.RatePlacement(self.context)
        self.singleton_tasks.append(
            lease.SingletonTask(self.submitter, "rate-parts", rate_placer.work, RATES_LEASE)
        )
        wanted = settings.duties.split(",")
        self.singleton_tasks = [duty for duty in self.singleton_tasks if duty.name in wanted]

    async def open(self) -> None:
        # The disk is read before any port opens: no peer may hear a voter that does not know its word.
        await self.participant.open()
        await self.context.open()
        for table in items.TABLES:
            self.context.start_task(self.proposers[table].run(), f"taker of {table}")
            self.context.start_task(self.heartbeats[table].run(), f"pulse of {table}")
        self.context.start_task(self.founding.run(), "founding")
        self.context.start_task(self.planner.run(), "voter planner")
        for duty in self.singleton_tasks:
            self.context.start_task(duty.run(), f"duty {duty.name}")

    async def close(self) -> None:
        await self.context.close()
