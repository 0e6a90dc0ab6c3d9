"""Founding the core once, and enrolling core nodes whose disk is new."""

import asyncio

from irisstand import errors, event_log
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import participant as cores
from irisstand.controlplane.consensus import submitter as submitting
from irisstand.state import items, quorum, versions

FIRST_VERSION = versions.Version(1, "founding")


class Bootstrap:
    def __init__(self, core: cores.Participant, submitter: submitting.Submitter) -> None:
        self.participant, self.context, self.submitter = core, core.context, submitter
        self.missing_since: dict[str, float] = {}
        self.context.transport.handlers["core-state"] = self.on_core_state
        self.context.transport.handlers["hold"] = self.on_hold

    async def on_core_state(self, _: str, body: list) -> tuple:
        return (tuple(self.participant.own_voter()), self.is_empty(), self.context.is_lame_duck)

    async def on_hold(self, sender: str, body: list) -> tuple:
        """A voter to be: all tables are current, no older than the asker's, and on its disk before it says
        who it is."""
        for table, parts in body:
            if self.context.replicas[table].applied < versions.Version.from_wire(parts):
                await self.participant.catch_up(table, sender)
            if self.context.replicas[table].applied < versions.Version.from_wire(parts):
                raise errors.NotBootstrappedError("this node is behind the one that asks")
        if self.context.is_lame_duck:
            raise errors.NotBootstrappedError("this node is about to end")
        for table in items.TABLES:
            if not self.context.is_current(self.context.replicas[table]):
                raise errors.NotBootstrappedError("this node has not learnt the tables yet")
            await self.participant.acceptors[table].order("keep")
        return tuple(self.participant.own_voter())

    def is_empty(self) -> bool:
        records = self.participant.store.records
        return all(
            records[table].applied == versions.NONE and self.context.replicas[table].applied == versions.NONE
            for table in items.TABLES
        )

    async def run(self) -> None:
        while True:
            try:
                if self.is_empty():
                    await self.try_bootstrap()
                else:
                    await self.try_enrolling()
            except (errors.IrisError, ValueError, TypeError) as error:
                event_log.record("founding", error=str(error))
            await asyncio.sleep(0.5)

    async def try_bootstrap(self) -> None:
        """Only when every founding core is there and empty; the lowest name writes for all."""
        settings = self.context.settings
        if not settings.may_found:
            await self.learn()
            return
        states = [(self.participant.own_voter(), True)]
        for address, name in self.founders():
            try:
                voter, empty, *_ = await self.context.transport.call(address, name, "core-state", (), 1.0)
            except errors.IrisError:
                # One that cannot be asked may know a founded core.
                await self.learn()
                return
            states.append((quorum.Voter(*voter), empty))
        # One founded peer, or one that cannot be asked, means learning and not founding.
        if not all(empty for _, empty in states):
            await self.learn()
            return
        voters = sorted(voter for voter, _ in states)
        is_complete = len(voters) == settings.founding
        if settings.found_by_seeds:
            # Everybody was given the same seeds, and they are up: they found, and vote the others in.
            is_complete = (settings.host, settings.port) in settings.seeds and len(voters) == len(
                settings.seeds
            )
        if not is_complete or voters[0].name != settings.name:
            return
        rows = (items.Row(items.VOTERS_KEY, [tuple(voter) for voter in voters], False),)
        batch = items.Batch(FIRST_VERSION, versions.NONE, rows).to_wire()
        body = tuple((table, batch) for table in items.TABLES)
        for voter in voters:
            await self.participant.ask_voter(voter, "found", body)
        event_log.record("founded", voters=[voter.name for voter in voters])

    def founders(self) -> list[tuple]:
        """Address and name of the other cores that have to be empty for a founding; a seed's name is not
        known."""
        settings = self.context.settings
        if settings.found_by_seeds:
            return [(seed, "") for seed in settings.seeds if seed != (settings.host, settings.port)]
        return [(u.node_info.address, u.identity.name) for u in self.context.members_of("agency")]

    async def learn(self) -> None:
        # Other roles do not hold all tables; one peer's refusal must not end the round before the next.
        cores_known = {update.identity.name for update in self.context.members_of("agency")}
        sources = self.participant.refresher.sources()
        for address, name in [source for source in sources if source[1] in cores_known]:
            try:
                await self.participant.replicator.pull(address, name)
            except (errors.IrisError, ValueError, TypeError):
                continue
            # Another empty node has answered, too, and taught nothing.
            if not self.is_empty():
                return

    async def try_enrolling(self) -> None:
        """A node with a new disk first holds the tables durably, and only then asks to be voted in."""
        for table in items.TABLES:
            copy = self.context.replicas[table]
            if copy.applied == versions.NONE:
                await self.learn()
            # Where the seeds found the core, the voters plan who votes: see voter_planner.
            if self.context.settings.found_by_seeds:
                continue
            if self.participant.is_voter(table) or not self.context.is_current(copy):
                continue
            leaves = self.replaceable(table)
            # A spare core node: it knows everything, and waits until a voter is gone.
            if not leaves:
                continue
            await self.participant.acceptors[table].order("keep")
            payload = (tuple(self.participant.own_voter()), leaves)
            await self.submitter.submit(orders.Order(f"enrol-{table}", "", payload))
            event_log.record("enrolled", table=table, leaves=leaves)

    def replaceable(self, table: str) -> str:
        """The voter whose place this node may take: its own older self, or one that is long gone."""
        now = self.context.clock.now()
        voters = self.participant.voters(table)
        if any(voter.name == self.context.settings.name for voter in voters):
            return self.context.settings.name
        present = {update.identity.name for update in self.context.members_of("agency")}
        for voter in voters:
            if voter.name in present:
                self.missing_since.pop(voter.name, None)
        # A machine that is restarted is not to lose its vote over it.
        for voter in voters:
            since = self.missing_since.setdefault(voter.name, now) if voter.name not in present else now
            if now - since >= self.context.settings.replace_after:
                return voter.name
        return ""
