"""Bootstrap: installs the first voters once, and lets nodes with a new disk replace lost voters."""

import asyncio
import typing

from irisstand import errors, event_log
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import acceptor, node_messages, participant, request, submitter
from irisstand.state import items, quorum, versions
from irisstand.transport import network

# The version of the first batch of each table, which sets the first voters.
FIRST_VERSION = versions.Version(1, "founding")
ROUND_INTERVAL_SECONDS = 0.5
NODE_STATE_TIMEOUT_SECONDS = 1.0


class Peer(typing.NamedTuple):
    """Address and name of another control plane node; the name is empty for a seed, as it is unknown."""

    address: network.Address
    name: str


class Bootstrap:
    """Installs the first voters if no node has any, and later enrols this node as a voter where needed."""

    def __init__(
        self, node_participant: participant.Participant, node_submitter: submitter.Submitter
    ) -> None:
        self.participant = node_participant
        self.context = node_participant.context
        self.submitter = node_submitter
        # By voter name: since when the voter has not been a member, in seconds of the node's clock.
        self.missing_since: dict[str, float] = {}
        handlers = self.context.transport.handlers
        handlers[request.MessageKind.NODE_STATE] = self.handle_node_state
        handlers[request.MessageKind.DURABILITY_CHECK] = self.handle_durability_check

    async def handle_node_state(self, _sender: str, _body: typing.Any) -> request.WireBody:
        """Reply with this node as a voter, and whether it is empty and whether it is shutting down."""
        state = node_messages.NodeState(
            self.participant.own_voter(), self.is_empty(), self.context.is_lame_duck
        )
        return state.to_wire()

    async def handle_durability_check(self, sender: str, body: typing.Any) -> request.WireBody:
        """Save all tables to the disk, none older than the sender's, and reply with this node as a voter.

        Raises:
            irisstand.errors.NotBootstrappedError: This node cannot become a voter: it is behind the sender,
                is shutting down, or has no current replica of a table.
        """
        for table, applied in node_messages.DurabilityCheck.from_wire(body).known_versions:
            if self.context.replicas[table].applied < applied:
                await self.participant.catch_up(table, sender)
            if self.context.replicas[table].applied < applied:
                raise errors.NotBootstrappedError("this node's replica of a table is older than the sender's")
        if self.context.is_lame_duck:
            raise errors.NotBootstrappedError("this node is shutting down and cannot become a voter")
        for table in items.TABLES:
            if not self.context.is_current(self.context.replicas[table]):
                raise errors.NotBootstrappedError("this node has no current replica of a table")
            await self.participant.acceptors[table].submit(acceptor.Persist())
        return tuple(self.participant.own_voter())

    def is_empty(self) -> bool:
        """Return whether this node holds no table, neither on its disk nor in memory."""
        records = self.participant.store.records
        return all(
            records[table].applied == versions.NONE and self.context.replicas[table].applied == versions.NONE
            for table in items.TABLES
        )

    async def run(self) -> None:
        """Try to bootstrap while this node is empty, and to enrol it afterwards, until cancelled."""
        while True:
            try:
                if self.is_empty():
                    await self._try_bootstrap()
                else:
                    await self._try_enrolling()
            except (errors.IrisError, ValueError, TypeError) as error:
                event_log.record("founding", error=str(error))
            await asyncio.sleep(ROUND_INTERVAL_SECONDS)

    # -- bootstrap ---------------------------------------------------------------------------------------
    async def _try_bootstrap(self) -> None:
        """Install the first voters if all are up and empty; only the node with the lowest name does so."""
        settings = self.context.settings
        if not settings.may_found:
            await self._pull_tables()
            return
        voters = await self._empty_voters()
        # No list means that some node has been bootstrapped, or cannot be reached and may have been.
        if voters is None:
            await self._pull_tables()
            return
        if self._is_complete(voters) and voters[0].name == settings.name:
            await self._install(voters)

    async def _empty_voters(self) -> list[quorum.Voter] | None:
        """Return the first voters that are known, sorted; None if one is not empty or cannot be reached."""
        transport = self.context.transport
        message = node_messages.NodeStateRequest()
        states = [node_messages.NodeState(self.participant.own_voter(), is_empty=True)]
        for address, name in self._other_first_voters():
            try:
                state = await request.call(transport, address, name, message, NODE_STATE_TIMEOUT_SECONDS)
            except errors.IrisError:
                return None
            states.append(state)
        if not all(state.is_empty for state in states):
            return None
        return sorted(state.voter for state in states)

    def _other_first_voters(self) -> list[Peer]:
        settings = self.context.settings
        if settings.found_by_seeds:
            own_address = (settings.host, settings.port)
            return [Peer(seed, "") for seed in settings.seeds if seed != own_address]
        members = self.context.members_of("agency")
        return [Peer(update.node_info.address, update.identity.name) for update in members]

    def _is_complete(self, voters: list[quorum.Voter]) -> bool:
        settings = self.context.settings
        if not settings.found_by_seeds:
            return len(voters) == settings.founding
        # All nodes have the same seeds, which become the first voters and later vote for other nodes to join.
        is_seed = (settings.host, settings.port) in settings.seeds
        return is_seed and len(voters) == len(settings.seeds)

    async def _install(self, voters: list[quorum.Voter]) -> None:
        rows = (items.Row(items.VOTERS_KEY, [tuple(voter) for voter in voters], is_removal=False),)
        batch = items.Batch(FIRST_VERSION, versions.NONE, rows)
        batches = tuple(node_messages.FirstBatch(table, batch) for table in items.TABLES)
        for voter in voters:
            await self.participant.call_voter(voter, node_messages.BootstrapRequest(batches))
        event_log.record("founded", voters=[voter.name for voter in voters])

    async def _pull_tables(self) -> None:
        """Pull the tables from the first control plane node that holds any."""
        # Nodes of other roles do not hold all tables. If one peer refuses, the next one is tried.
        control_plane_names = {update.identity.name for update in self.context.members_of("agency")}
        sources = self.participant.refresher.sources()
        for address, name in [source for source in sources if source[1] in control_plane_names]:
            try:
                await self.participant.replicator.pull(address, name)
            except (errors.IrisError, ValueError, TypeError):
                continue
            # An empty peer replies without an error too, but then this node is still empty.
            if not self.is_empty():
                return

    # -- enrolment ---------------------------------------------------------------------------------------
    async def _try_enrolling(self) -> None:
        """Make this node a voter of each table in which it may replace one, once its disk holds the table."""
        for table in items.TABLES:
            table_replica = self.context.replicas[table]
            if table_replica.applied == versions.NONE:
                await self._pull_tables()
            # If the seeds are the first voters, the voters themselves change the set: see voter_planner.
            if self.context.settings.found_by_seeds:
                continue
            if self.participant.is_voter(table) or not self.context.is_current(table_replica):
                continue
            replaced_name = self._replaceable_voter(table)
            # If there is no voter to replace, this node stays a spare until a voter is lost.
            if replaced_name:
                await self._enrol(table, replaced_name)

    async def _enrol(self, table: str, replaced_name: str) -> None:
        await self.participant.acceptors[table].submit(acceptor.Persist())
        payload = (tuple(self.participant.own_voter()), replaced_name)
        await self.submitter.submit(orders.Order(f"enrol-{table}", "", payload))
        event_log.record("enrolled", table=table, leaves=replaced_name)

    def _replaceable_voter(self, table: str) -> str:
        """Return the name of a voter that this node may replace, or an empty string if there is none.

        This is the node itself if it votes with an earlier disk, else a voter that has long been missing.
        """
        now = self.context.clock.now()
        settings = self.context.settings
        voters = self.participant.voters(table)
        if any(voter.name == settings.name for voter in voters):
            return settings.name
        member_names = {update.identity.name for update in self.context.members_of("agency")}
        for voter in voters:
            if voter.name in member_names:
                self.missing_since.pop(voter.name, None)
        # A voter is replaced only after `replace_after` seconds, so that a restart does not cost its vote.
        for voter in voters:
            member_missing_since = (
                self.missing_since.setdefault(voter.name, now) if voter.name not in member_names else now
            )
            if now - member_missing_since >= settings.replace_after:
                return voter.name
        return ""
