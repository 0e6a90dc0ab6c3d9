"""Checks which configuration changes are in force, by reads of clients and by the replicas of nodes."""

import asyncio
import collections
import json
import typing

from irisstand import errors, node_context
from irisstand.simulator import simulated_cluster
from irisstand.state import items, versions

IN_FORCE_GRACE_SECONDS = 2.0
ATTEMPTS_LIMIT = 3
HTTP_OK = 200
NEVER_IN_FORCE = "/never-in-force"
INVALID_CHANGE_INVARIANT = "an invalid change is rejected whole"

Row = dict[str, typing.Any]


class OfferedValue(typing.NamedTuple):
    """A value of a row that an operator sent: it may be in force from then on, and must be once confirmed.

    Attributes:
        value: Value of the row.
        sent_at: Virtual time at which the change was sent.
        confirmed_at: Virtual time at which the change was confirmed; None: not confirmed.
        version: Version of the row in the confirmation; None: not confirmed.
    """

    value: typing.Any
    sent_at: float
    confirmed_at: float | None
    version: versions.Version | None


class ConfirmedValue(typing.NamedTuple):
    """A value of a row that a confirmed change has put in force, and its version."""

    value: typing.Any
    version: versions.Version


class ConfigurationInvariants:
    """Submits changes, and checks their effect on reads of clients and on the replicas of nodes."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster) -> None:
        self.cluster = cluster
        self.actors = cluster.actors
        self.checker = cluster.actors.checker
        self.offered_values: dict[str, list[OfferedValue]] = collections.defaultdict(list)
        self.changes_sent = 0

    # -- changes -------------------------------------------------------------------------------------
    def add_confirmed(self, values: dict[str, typing.Any], version: str) -> None:
        """Record values that were confirmed just now, by the keys of their rows."""
        now = asyncio.get_running_loop().time()
        for name, value in values.items():
            self.offered_values[name].append(OfferedValue(value, now, now, versions.Version.parse(version)))

    async def change(self, control_node: str, row: Row) -> None:
        """Submit a change that expects the node's version of the row; retry while its outcome is unknown."""
        name = f"path/{row['name']}"
        configuration = self.cluster.nodes[control_node].program.context.configuration
        expecting_row = {**row, "expected": str(configuration.version(name))}
        # From now on the change may come into force, possibly long before its sender receives a confirmation.
        offer = OfferedValue(row["value"], asyncio.get_running_loop().time(), None, None)
        self.offered_values[name].append(offer)
        self.changes_sent += 1
        change_id = f"switch-{self.changes_sent}"
        for attempt in range(ATTEMPTS_LIMIT):
            try:
                result = await self.actors.order(control_node, "change", [expecting_row], change_id)
            except errors.StaleVersionError:
                self.checker.results["change: rejected for a newer version"] += 1
                self.offered_values[name].remove(offer)
                return
            except errors.NoQuorumError:
                self.checker.results["change: no quorum"] += 1
                # If an earlier attempt had an unknown outcome, the change may be in force despite this error.
                if not attempt:
                    self.offered_values[name].remove(offer)
                return
            except (errors.IrisError, TimeoutError):
                # The outcome is unknown. With the same change id any node must give the one true result.
                control_node = self.other_control_node(control_node)
            else:
                self.confirm(name, offer, versions.Version.parse(result["serial"]))
                return
        self.checker.results["change: outcome unknown"] += 1

    def confirm(self, name: str, offer: OfferedValue, version: versions.Version) -> None:
        """Record the confirmation of a change, and check that no other value has its version."""
        self.checker.results["change confirmed"] += 1
        is_taken = any(
            other.version == version and other.value != offer.value for other in self.offered_values[name]
        )
        self.checker.check(
            "two concurrent changes of a row are never both confirmed",
            not is_taken,
            f"{name}: another value has version {version}",
        )
        position = self.offered_values[name].index(offer)
        now = asyncio.get_running_loop().time()
        self.offered_values[name][position] = offer._replace(confirmed_at=now, version=version)

    def other_control_node(self, control_node: str) -> str:
        """Return the name of another control plane node that is up, or the given name if there is none."""
        names = [node.placement.name for node in self.cluster.with_role("agency") if node.is_up]
        return next((name for name in names if name != control_node), control_node)

    async def send_invalid_change(self, control_node: str, row: Row) -> None:
        """Submit a change of a valid and an invalid row; neither row may ever come into force."""
        valid_row = {"kind": "path", "name": NEVER_IN_FORCE, "value": row["value"]}
        try:
            await self.actors.order(control_node, "change", [valid_row, row])
            self.checker.check(
                INVALID_CHANGE_INVARIANT, holds=False, example="a change with an invalid row was confirmed"
            )
        except errors.InvalidChangeError:
            self.checker.check(INVALID_CHANGE_INVARIANT, holds=True)
        except (errors.IrisError, TimeoutError):
            pass

    # -- reads ---------------------------------------------------------------------------------------
    async def read_switch(self, edge: str, switch_number: int) -> None:
        """Read a switch path, whose service changes, and check that an allowed service answered."""
        name = f"/switch-{switch_number}"
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        response = await self.actors.send_request(edge, "GET", name)
        self.checker.results[f"switch {response.status}"] += 1
        if response.status == HTTP_OK:
            service = json.loads(response.result.body)["service"]
            allowed = self.allowed_services(f"path/{name}", asked_at, loop.time())
            invariant = "a change is in force 2 s after its confirmation, and no node goes back"
            self.checker.check(
                invariant, service in allowed, f"{edge} {name}: answered by {service} at {asked_at:.3f}"
            )

    def allowed_services(self, name: str, asked_at: float, answered_at: float) -> set[str]:
        """Return the services that may answer: of the newest change that must be in force and newer ones."""
        offered_values = self.offered_values[name]
        latest_confirmation = asked_at - IN_FORCE_GRACE_SECONDS
        in_force = [
            offer
            for offer in offered_values
            if offer.confirmed_at is not None and offer.confirmed_at <= latest_confirmation
        ]
        newest = newest_confirmed(in_force)
        return {
            offer.value["grants"][0]["service"]
            for offer in offered_values
            if (offer.version is None or offer.version >= newest.version) and offer.sent_at <= answered_at
        }

    async def read_ungranted(self, edge: str) -> None:
        """Read a path that no valid change ever allowed, and check that it is rejected."""
        response = await self.actors.send_request(edge, "GET", NEVER_IN_FORCE)
        invariant = "no request reaches a service that no configuration allowed"
        self.checker.check(
            invariant, response.status != HTTP_OK, f"{edge} served a path that was never allowed"
        )

    # -- the end of a day ----------------------------------------------------------------------------
    def check_nodes(self) -> None:
        """Check the replicas of all nodes that are up, at the end of a day."""
        contexts = {name: node.program.context for name, node in self.cluster.nodes.items() if node.is_up}
        for name, context in contexts.items():
            self.check_configuration(name, context)
        for table in items.TABLES:
            self.check_replicas(table, list(contexts.values()))
        self.checker.results["configuration rows checked"] += len(self.offered_values)

    def check_configuration(self, node: str, context: node_context.NodeContext) -> None:
        """Check that a node has the last confirmed value of each row or a newer, unconfirmed one."""
        configuration = context.configuration
        for key, offered_values in self.offered_values.items():
            value = configuration.value(key)
            version = configuration.version(key)
            newest = newest_confirmed(offered_values)
            is_confirmed = value == newest.value and version == newest.version
            is_newer = version > newest.version and any(
                offer.version is None and offer.value == value for offer in offered_values
            )
            invariant = "each node has the configuration that was confirmed"
            example = f"{node} {key}: version {version}, but {newest.version} was confirmed"
            self.checker.check(invariant, is_confirmed or is_newer, example)
        is_absent = configuration.value(f"path/{NEVER_IN_FORCE}") is None
        self.checker.check(INVALID_CHANGE_INVARIANT, is_absent, node)

    def check_replicas(self, table: str, contexts: list[node_context.NodeContext]) -> None:
        """Check that replicas of a table are equal if their applied versions are; others may differ."""
        replicas = [context.replicas[table] for context in contexts if table in context.replicas]
        states = {(replica.applied, replica.root_digest()) for replica in replicas}
        are_equal = len(states) == len({applied for applied, _ in states})
        self.checker.check(
            "replicas with the same applied version are equal",
            are_equal,
            f"{table}: versions and digests {states}",
        )


def newest_confirmed(offered_values: list[OfferedValue]) -> ConfirmedValue:
    """Return the confirmed value with the highest version, of equal versions the one sent first."""
    confirmed = [
        ConfirmedValue(offer.value, offer.version) for offer in offered_values if offer.version is not None
    ]
    return max(confirmed, key=lambda entry: entry.version)
