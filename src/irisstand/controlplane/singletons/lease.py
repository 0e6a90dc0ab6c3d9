"""Leases of singleton tasks: work that one control plane node does at a time.

A candidate acquires a vacant lease by an order, renews it by further orders and stops working before it ends
(Gray and Cheriton, "Leases", 1989). The holder stops by its own monotonic clock. That clock may stand still,
as when a virtual machine is suspended. Each write is therefore checked against the lease in force, by the
version of its row that the acquisition wrote (the fencing token; see `lease_changes`).
"""

import asyncio
import collections.abc
import typing

from irisstand import errors, event_log
from irisstand.controlplane.changes import lease_changes
from irisstand.controlplane.consensus import submitter
from irisstand.state import replica

LEASE_SECONDS = 4.0
# Candidates wait longer than the holder works by this share of a lease, to allow for drift between clocks.
CLOCK_DRIFT_RATIO = 0.1
# Candidates also wait for a random time up to this share of a lease, so that their ballots do not collide.
CANDIDATE_STAGGER_RATIO = 0.1
# How often a node tries in all to acquire a lease that ends before its acquisition is decided.
ACQUIRE_ATTEMPTS_LIMIT = 3
POLL_SECONDS = 0.2

Row = tuple[str, typing.Any]
Work = collections.abc.Callable[["SingletonTask"], collections.abc.Awaitable[None]]


class SingletonTask:
    """One node's candidacy for a singleton task, and the task's work while this node holds the lease.

    Attributes:
        submitter: Submits orders to the proposers.
        context: The state and services of this node.
        name: The task's name, which is part of the key of its lease.
        work: The function that is called repeatedly while this node holds the lease; it has to return soon.
        lease_seconds: The duration of a lease.
        holder: This node's name and incarnation id, as stored in the lease's row.
        fencing_token: The version of the lease that this node acquired; empty while it holds none.
        lease_ends_at: When this node stops working, by its monotonic clock.
        seen_version: The version of the lease that this node saw last.
        seen_at: When this node first saw `seen_version`.
        expected_version: The version that this node expected in its last order for the lease.
        first_requested_at: When this node first sent an order that expects `expected_version`.
    """

    def __init__(
        self,
        order_submitter: submitter.Submitter,
        name: str,
        work: Work,
        lease_seconds: float = LEASE_SECONDS,
    ) -> None:
        self.submitter = order_submitter
        self.context = order_submitter.context
        self.name = name
        self.work = work
        self.lease_seconds = lease_seconds
        self.holder = ""
        self.fencing_token = ""
        self.lease_ends_at = 0.0
        self.seen_version = ""
        self.seen_at = 0.0
        self.expected_version = ""
        self.first_requested_at = 0.0

    def holds_lease(self) -> bool:
        """Return whether this node holds the lease, so that it may work on the task now."""
        return bool(self.fencing_token) and self.context.clock.now() < self.lease_ends_at

    async def run(self) -> None:
        """Work while this node holds the lease and otherwise try to acquire it, until the process ends."""
        identity = self.context.detector.identity
        self.holder = f"{identity.name}~{identity.incarnation_id}"
        while True:
            try:
                await self.step()
            except (errors.IrisError, ValueError, TypeError) as error:
                self.context.counters.add("duty_failed", duty=self.name)
                event_log.record("duty", duty=self.name, error=repr(error))
            await asyncio.sleep(POLL_SECONDS)

    async def step(self) -> None:
        """Release the lease during a shutdown, renew it and work if it is held, or else try to acquire it."""
        if self.context.is_lame_duck and self.fencing_token:
            await self.release()
        elif self.holds_lease():
            if self.lease_ends_at - self.context.clock.now() < self.lease_seconds / 2:
                await self.acquire(self.fencing_token)
            if self.holds_lease():
                await self.work(self)
        else:
            await self.acquire_if_vacant()

    async def acquire_if_vacant(self) -> None:
        """Acquire the lease if no other node can be working under it."""
        self.fencing_token = ""
        ledger = self.context.ledger
        now = self.context.clock.now()
        # `seen_at` stays valid while this replica is stale: if the version is the same afterwards, nobody has
        # renewed the lease in between.
        if not self.context.is_current(ledger) or self.context.is_lame_duck:
            return
        version = str(ledger.version(lease_changes.lease_key(self.name)))
        if version != self.seen_version:
            self.seen_version = version
            self.seen_at = now
        record = self.stored_lease(ledger)
        # This incarnation is the recorded holder but is not working: the lease was decided too late, or not
        # renewed in time. There is no other holder to wait for: its acquisition would have changed the row.
        if record is not None and record.holder == self.holder:
            await self.acquire(version)
        elif self.is_vacant(record, now):
            stagger_seconds = CANDIDATE_STAGGER_RATIO * self.lease_seconds
            await asyncio.sleep(self.context.randomness.uniform(0, stagger_seconds))
            if str(ledger.version(lease_changes.lease_key(self.name))) == version:
                await self.acquire(version)

    def is_vacant(self, record: lease_changes.LeaseRecord | None, now: float) -> bool:
        """Return whether the lease was never acquired, was released, or ended without a renewal."""
        if record is None or not record.holder:
            return True
        return now - self.seen_at > self.lease_seconds * (1 + CLOCK_DRIFT_RATIO)

    def stored_lease(self, ledger: replica.Replica) -> lease_changes.LeaseRecord | None:
        """Return the stored row of this task's lease, None if there is none."""
        return lease_changes.LeaseRecord.from_value(ledger.value(lease_changes.lease_key(self.name)))

    async def release(self) -> None:
        """Stop working and then release the lease, so that other candidates need not wait until it ends."""
        fencing_token = self.fencing_token
        self.fencing_token = ""
        await self.submitter.submit(lease_changes.LeaseRequest(self.name, "", fencing_token).to_order())

    async def acquire(self, expected: str) -> None:
        """Acquire or renew the lease if its row still has the expected version.

        Args:
            expected: The version of the lease's row that this node saw.

        Raises:
            IrisError: The order was refused, or its outcome is not known.
        """
        for _ in range(ACQUIRE_ATTEMPTS_LIMIT):
            # The lease counts from before the order is sent, so this node stops before another one may start.
            started: float = self.context.clock.now()
            if expected != self.expected_version:
                self.expected_version = expected
                self.first_requested_at = started
            request = lease_changes.LeaseRequest(self.name, self.holder, expected)
            try:
                result = await self.submitter.submit(request.to_order())
                won_version: str = result["serial"]
            except errors.StaleVersionError:
                found = self.version_won_by_lost_reply(expected)
                if found is None:
                    self.fencing_token = ""
                    return
                won_version = found
                # An earlier order with a lost reply may have acquired it: other nodes count from that order.
                started = self.first_requested_at
            self.fencing_token = won_version
            self.lease_ends_at = started + self.lease_seconds
            self.context.counters.add("terms_taken", duty=self.name)
            if self.holds_lease():
                return
            # The lease was decided so late that it has ended already. Without another attempt no node would
            # work until the other candidates had waited for its end.
            expected = self.fencing_token

    def version_won_by_lost_reply(self, expected: str) -> str | None:
        """Return the lease's version if this node's order acquired it after `expected` but lost its reply."""
        ledger = self.context.ledger
        record = self.stored_lease(ledger)
        version = str(ledger.version(lease_changes.lease_key(self.name)))
        if version == expected or record is None or record.holder != self.holder:
            return None
        return version

    async def write_fenced(self, rows: collections.abc.Sequence[Row]) -> None:
        """Submit rows that are written only if this lease is still in force when they are decided.

        Args:
            rows: The keys and values to write; the value None removes a row.

        Raises:
            StaleVersionError: Another lease is in force.
            IrisError: The order was refused for another reason, or its outcome is not known.
        """
        await self.submitter.submit(lease_changes.FencedWrite(self.name, self.fencing_token, rows).to_order())
