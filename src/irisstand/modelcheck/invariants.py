"""Invariants that must hold after every step, checked on replicas, disks and what clients were told.

docs/control/model.md lists them.
"""

import asyncio
import collections.abc
import typing

from irisstand import errors
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import order_messages
from irisstand.modelcheck import durability, history
from irisstand.state import items, replica, versions

DiskFiles = collections.abc.Mapping[str, dict[str, bytes]]


class InvariantViolationError(Exception):
    """An invariant is broken; the message says which, and the report has the choices that led here."""


class InvariantChecker:
    """Collects violations of one run.

    Args:
        table: The table that is checked.
    """

    def __init__(self, table: str) -> None:
        self.table = table
        self.history = history.History()
        self.violations: list[str] = []
        self.wiped_disks: dict[str, dict[str, bytes]] = {}
        # The content confirmed for each key and version number of an amended item.
        self.confirmed_amendments: dict[tuple[str, int], typing.Any] = {}

    def fail(self, text: str) -> None:
        """Note a violation; `raise_violation` raises it when all coroutines wait."""
        self.violations.append(text)

    def raise_violation(self) -> None:
        """Raise the first violation, if there is one.

        Raises:
            InvariantViolationError: An invariant is broken.
        """
        if self.violations:
            raise InvariantViolationError(self.violations[0])

    # -- what the nodes apply ------------------------------------------------------------------------
    def observe(self, node: str, table_replica: replica.Replica) -> None:
        """Check whatever this replica applies and calls current from now on."""
        ReplicaObserver(self, node, table_replica).attach()

    def on_applied(self, node: str, base: versions.Version, batch: items.Batch) -> None:
        """Check a batch that a node is about to apply on `base`."""
        if batch.base != base:
            self.fail(f"{node} applied {batch.version} on {base}, and it stands on {batch.base}")
        batch = history.decode_from_wire_form(batch)
        first = self.history.add_batch(batch)
        if first != batch:
            self.fail(f"two batches on base {batch.base}: {first.version} and, at {node}, {batch.version}")
        if batch.version <= batch.base:
            self.fail(f"{batch.version} was applied on the higher {batch.base}")

    def on_current(self, node: str, table_replica: replica.Replica, current_at: float) -> None:
        """Check that a replica which is current as of a moment has all that was confirmed before it."""
        for entry in self.history.confirmed:
            if entry.confirmed_at < current_at and not self.history.includes(state_of(table_replica), entry):
                self.fail(
                    f"{node} is called current at {table_replica.applied}, without confirmed {entry.version}"
                )

    # -- what clients are told -----------------------------------------------------------------------
    def on_confirmed(
        self,
        order: orders.Order,
        result: order_messages.OrderResult,
        applied: versions.Version,
        disks: DiskFiles,
    ) -> None:
        """Check an order that a client is told is in force.

        Args:
            order: The order.
            result: What the client is told: version and rows.
            applied: The applied version of the node that says so.
            disks: Synced files by disk id.
        """
        version = versions.Version.parse(result["serial"])
        rows = tuple(result["rows"])
        self.check_same_result(order, version, rows)
        entry = history.ConfirmedOrder(order, version, rows, asyncio.get_running_loop().time())
        self.history.confirmed.append(entry)
        if not self.history.is_in_any_state(entry):
            self.fail(f"{order.change} was confirmed as {version}, and no decided state has its rows")
        if order.kind == "amend":
            self.check_amendment(order, self.history.states[applied])
        self.check_disks(version, disks)

    def check_same_result(
        self, order: orders.Order, version: versions.Version, rows: tuple[str, ...]
    ) -> None:
        """Check that one change id has one result."""
        change_id = order.change
        earlier = [entry for entry in self.history.confirmed if change_id and entry.order.change == change_id]
        if earlier and (earlier[0].version, earlier[0].rows) != (version, rows):
            self.fail(f"{change_id} was confirmed as {earlier[0].version} and as {version}")

    def check_amendment(self, order: orders.Order, content: history.ItemsByKey) -> None:
        """Check that a version number has one content, in force or overwritten by a higher one."""
        for key, value in order.payload:
            first_value = self.confirmed_amendments.setdefault((key, value["version"]), value)
            if first_value != value:
                self.fail(f"two contents of {key} were confirmed under version {value['version']}")
            current_value = content[key].value if key in content else None
            if current_value is None or current_value["version"] < value["version"]:
                self.fail(f"{key} was confirmed at version {value['version']} and is not in force")
            elif current_value["version"] == value["version"] and current_value != value:
                self.fail(f"{key} was confirmed at version {value['version']}, which has another content")

    def on_refused(self, order: orders.Order, error: errors.IrisError) -> None:
        """Note an order that a client is told is not in force; an unknown outcome says nothing."""
        if not isinstance(error, errors.ChangeOutcomeUnknownError):
            self.history.refused.append(order)

    # -- disks ---------------------------------------------------------------------------------------
    def keep_wiped_disk(self, disk_id: str, files: dict[str, bytes]) -> None:
        """Keep what was synced on a disk that is about to be wiped."""
        self.wiped_disks[disk_id] = dict(files)

    def check_disks(self, version: versions.Version, disks: DiskFiles) -> None:
        """Check that a confirmed batch is durable with the voters before it and with those after it."""
        batch = self.history.batch_of(version)
        if batch is None or batch.base not in self.history.states:
            return
        holding = durability.disks_holding({**self.wiped_disks, **disks}, self.table, version)
        for state in (self.history.states[batch.base], self.history.states[version]):
            violation = durability.durability_violation(state, holding)
            if violation:
                self.fail(f"{version} was confirmed {violation}")

    # -- the end of a run ----------------------------------------------------------------------------
    def check_end(self, replicas: list[replica.Replica], change_ids: list[str]) -> None:
        """Check that every replica has all that was confirmed and nothing that was refused.

        Args:
            replicas: The replicas of all nodes, after all faults are over.
            change_ids: Change ids of all orders of the run; one that was sent twice may be in force.
        """
        for table_replica in replicas:
            for entry in self.history.confirmed:
                if not self.history.includes(state_of(table_replica), entry):
                    self.fail(f"{entry.order.change} was confirmed as {entry.version} and is lost")
            for order in self.history.refused:
                was_sent_once = change_ids.count(order.change) == 1
                is_in_force = history.change_record_key(order.change) in table_replica.items
                if was_sent_once and order.change and is_in_force:
                    self.fail(f"{order.change} was refused and is in force")


class ReplicaObserver:
    """Compares one replica with the decided states whenever it changes."""

    def __init__(self, checker: InvariantChecker, node: str, table_replica: replica.Replica) -> None:
        self.checker = checker
        self.node = node
        self.replica = table_replica
        self.last_applied = table_replica.applied
        self.original_apply = table_replica.apply
        self.original_confirm_current = table_replica.confirm_current

    def attach(self) -> None:
        """Observe the replica's calls and changes, and check what it begins with."""
        # Only this one replica is observed, so its methods are replaced and not its class.
        self.replica.apply = self.apply  # type: ignore[method-assign]
        self.replica.confirm_current = self.confirm_current  # type: ignore[method-assign]
        self.replica.watchers.append(self.check_state)
        if self.replica.applied != versions.NONE:
            self.check_state()

    def apply(self, batch: items.Batch) -> None:
        """Check a batch before the replica applies it."""
        self.checker.on_applied(self.node, self.replica.applied, batch)
        self.original_apply(batch)

    def confirm_current(self, current_at: float) -> None:
        """Check the replica before it counts as current as of a moment."""
        self.checker.on_current(self.node, self.replica, current_at)
        self.original_confirm_current(current_at)

    def check_state(self) -> None:
        """Check that the replica did not go back and holds a decided state item by item."""
        applied = self.replica.applied
        if applied < self.last_applied:
            self.checker.fail(f"{self.node} went back from {self.last_applied} to {applied}")
        self.last_applied = applied
        states = self.checker.history.states
        if applied not in states:
            self.checker.fail(f"{self.node} holds {applied}, which was never decided")
        elif history.pack_items(self.replica.items) != history.pack_items(states[applied]):
            self.checker.fail(f"{self.node} holds other rows at {applied} than were decided")


def state_of(table_replica: replica.Replica) -> history.TableState:
    """Return the applied version and the items of a replica."""
    return history.TableState(table_replica.applied, dict(table_replica.items))
