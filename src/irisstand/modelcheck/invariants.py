"""Checks of the invariants that replicas, disks and results for clients must keep after every step.

The page docs/control/model.md lists the invariants.
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
    """Raised if an invariant is violated, as the message says; the report has the choices that led to it."""


class InvariantChecker:
    """Checks the invariants during one run and collects violations.

    Args:
        table: The name of the table to check.
    """

    def __init__(self, table: str) -> None:
        self.table = table
        self.history = history.History()
        self.violations: list[str] = []
        self.wiped_disks: dict[str, dict[str, bytes]] = {}
        # The value that was confirmed to a client for each key and version number of an amended item.
        self.confirmed_amendments: dict[tuple[str, int], typing.Any] = {}

    def fail(self, text: str) -> None:
        """Record a violation, which `raise_violation` raises once all coroutines wait."""
        self.violations.append(text)

    def raise_violation(self) -> None:
        """Raise an error for the first recorded violation, if there is one.

        Raises:
            InvariantViolationError: A violation was recorded.
        """
        if self.violations:
            raise InvariantViolationError(self.violations[0])

    # -- replicas ------------------------------------------------------------------------------------
    def observe(self, node: str, table_replica: replica.Replica) -> None:
        """Start to check all changes of a replica, and each time at which it is confirmed as current."""
        ReplicaObserver(self, node, table_replica).attach()

    def on_applied(self, node: str, base: versions.Version, batch: items.Batch) -> None:
        """Check a batch that a node is about to apply to its replica.

        Args:
            node: The name of the node.
            base: The applied version of the replica before the batch.
            batch: The batch to apply.
        """
        if batch.base != base:
            self.fail(f"{node} applied batch {batch.version} at {base}, but its base is {batch.base}")
        batch = history.decode_from_wire_form(batch)
        first = self.history.add_batch(batch)
        if first != batch:
            self.fail(f"two batches on base {batch.base}: {first.version}, and at {node}: {batch.version}")
        if batch.version <= batch.base:
            self.fail(f"batch {batch.version} was decided on base {batch.base}, which is not lower")

    def on_current(self, node: str, table_replica: replica.Replica, current_at: float) -> None:
        """Check that a replica confirmed as current at a time has all orders confirmed before that time.

        Args:
            node: The name of the node.
            table_replica: The replica of the node.
            current_at: The time as of which the replica is current, in seconds of virtual time.
        """
        for entry in self.history.confirmed:
            if entry.confirmed_at < current_at and not self.history.includes(state_of(table_replica), entry):
                self.fail(
                    f"the replica of {node} at {table_replica.applied} was declared current, but lacks the"
                    f" order confirmed at {entry.version}"
                )

    # -- results for clients -------------------------------------------------------------------------
    def on_confirmed(
        self,
        order: orders.Order,
        result: order_messages.OrderResult,
        applied: versions.Version,
        disks: DiskFiles,
    ) -> None:
        """Check and record an order that is reported to a client as in force.

        Args:
            order: The confirmed order.
            result: The result for the client, with the version and the keys of the written rows.
            applied: The applied version of the node that reports the result.
            disks: The synced files of all nodes by disk id.
        """
        version = versions.Version.parse(result["serial"])
        rows = tuple(result["rows"])
        self.check_same_result(order, version, rows)
        entry = history.ConfirmedOrder(order, version, rows, asyncio.get_running_loop().time())
        self.history.confirmed.append(entry)
        if not self.history.is_in_any_state(entry):
            self.fail(f"change id '{order.change}' was confirmed at {version}, but no decided state has it")
        if order.kind == "amend":
            self.check_amendment(order, self.history.states[applied])
        self.check_disks(version, disks)

    def check_same_result(
        self, order: orders.Order, version: versions.Version, rows: tuple[str, ...]
    ) -> None:
        """Check that all confirmations of a change id have the same version and rows."""
        change_id = order.change
        earlier = [entry for entry in self.history.confirmed if change_id and entry.order.change == change_id]
        if earlier and (earlier[0].version, earlier[0].rows) != (version, rows):
            self.fail(f"change id '{change_id}' was confirmed both at {earlier[0].version} and at {version}")

    def check_amendment(self, order: orders.Order, content: history.ItemsByKey) -> None:
        """Check that a confirmed amendment is in force, or that one with a higher version number is.

        No two values may be confirmed for the same key and version number.

        Args:
            order: The confirmed amendment.
            content: The decided items by key, at the applied version of the node that reports the result.
        """
        for key, value in order.payload:
            first_value = self.confirmed_amendments.setdefault((key, value["version"]), value)
            if first_value != value:
                self.fail(f"two values of item {key} were confirmed with version {value['version']}")
            current_value = content[key].value if key in content else None
            if current_value is None or current_value["version"] < value["version"]:
                self.fail(f"item {key} was confirmed with version {value['version']}, but is not in force")
            elif current_value["version"] == value["version"] and current_value != value:
                self.fail(f"item {key} differs from the value confirmed with version {value['version']}")

    def on_refused(self, order: orders.Order, error: errors.IrisError) -> None:
        """Record an order that is reported to a client as refused, unless its outcome is unknown."""
        if not isinstance(error, errors.ChangeOutcomeUnknownError):
            self.history.refused.append(order)

    # -- disks ---------------------------------------------------------------------------------------
    def keep_wiped_disk(self, disk_id: str, files: dict[str, bytes]) -> None:
        """Keep the synced files of a disk that is about to be wiped, as `check_disks` still counts them."""
        self.wiped_disks[disk_id] = dict(files)

    def check_disks(self, version: versions.Version, disks: DiskFiles) -> None:
        """Check that a confirmed batch is durable with the voters before the batch and with those after it.

        Args:
            version: The version of the confirmed batch.
            disks: The synced files of all nodes by disk id.
        """
        batch = self.history.batch_of(version)
        if batch is None or batch.base not in self.history.states:
            return
        holding = durability.disks_holding({**self.wiped_disks, **disks}, self.table, version)
        for state in (self.history.states[batch.base], self.history.states[version]):
            violation = durability.durability_violation(state, holding)
            if violation:
                self.fail(f"batch {version} was confirmed {violation}")

    # -- end of the run ------------------------------------------------------------------------------
    def check_end(self, replicas: list[replica.Replica], change_ids: list[str]) -> None:
        """Check that every replica has all confirmed orders and no refused order.

        Args:
            replicas: The replicas of all nodes, after the last fault.
            change_ids: The change ids of all orders of the run. If an order was sent twice, it may be in
                force although one of the two was refused.
        """
        for table_replica in replicas:
            for entry in self.history.confirmed:
                if not self.history.includes(state_of(table_replica), entry):
                    self.fail(
                        f"a replica lacks change id '{entry.order.change}', confirmed at {entry.version}"
                    )
            for order in self.history.refused:
                was_sent_once = change_ids.count(order.change) == 1
                is_in_force = history.change_record_key(order.change) in table_replica.items
                if was_sent_once and order.change and is_in_force:
                    self.fail(f"change id '{order.change}' was refused, but is in force")


class ReplicaObserver:
    """Compares a replica with the decided table states after each change of the replica.

    Args:
        checker: The checker that records violations.
        node: The name of the node that has the replica.
        table_replica: The replica to observe.
    """

    def __init__(self, checker: InvariantChecker, node: str, table_replica: replica.Replica) -> None:
        self.checker = checker
        self.node = node
        self.replica = table_replica
        self.last_applied = table_replica.applied
        self.original_apply = table_replica.apply
        self.original_confirm_current = table_replica.confirm_current

    def attach(self) -> None:
        """Intercept the replica's calls, watch its changes, and check its initial state if it has one."""
        # The methods are replaced on this instance, as other replicas of the class are not observed.
        self.replica.apply = self.apply  # type: ignore[method-assign]
        self.replica.confirm_current = self.confirm_current  # type: ignore[method-assign]
        self.replica.watchers.append(self.check_state)
        if self.replica.applied != versions.NONE:
            self.check_state()

    def apply(self, batch: items.Batch) -> None:
        """Check a batch and then apply it to the replica."""
        self.checker.on_applied(self.node, self.replica.applied, batch)
        self.original_apply(batch)

    def confirm_current(self, current_at: float) -> None:
        """Check the replica and then confirm it as current at a time.

        Args:
            current_at: The time as of which the replica is current, in seconds of virtual time.
        """
        self.checker.on_current(self.node, self.replica, current_at)
        self.original_confirm_current(current_at)

    def check_state(self) -> None:
        """Check that the replica's applied version did not decrease and that its items are as decided."""
        applied = self.replica.applied
        if applied < self.last_applied:
            self.checker.fail(
                f"the applied version of {self.node} decreased from {self.last_applied} to {applied}"
            )
        self.last_applied = applied
        states = self.checker.history.states
        if applied not in states:
            self.checker.fail(f"{self.node} has applied version {applied}, which was never decided")
        elif history.pack_items(self.replica.items) != history.pack_items(states[applied]):
            self.checker.fail(f"the items of {self.node} at version {applied} differ from the decided ones")


def state_of(table_replica: replica.Replica) -> history.TableState:
    """Return the applied version and the items of a replica."""
    return history.TableState(table_replica.applied, dict(table_replica.items))
