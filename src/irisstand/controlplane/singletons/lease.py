"""Leases of singleton tasks: work that one control plane node does at a time.

A candidate takes a vacant lease by an order, keeps it by further orders and stops working before it ends
(Gray and Cheriton, "Leases", 1989). The holder stops by its own monotonic clock. That clock may stand still,
as when a virtual machine is suspended: so the voters check each write against the lease in force, by the
version with which the lease was won (the fencing token; see `lease_changes`).
"""

import asyncio
import collections.abc
import typing

from irisstand import errors, event_log
from irisstand.controlplane.changes import lease_changes
from irisstand.controlplane.consensus import submitter
from irisstand.state import replica

LEASE_SECONDS = 4.0
# Candidates wait longer than the holder works by this share of a lease: two clocks may drift so far apart.
CLOCK_DRIFT_RATIO = 0.1
# Candidates wait further for a random time up to this share of a lease, so that their ballots do not collide.
CANDIDATE_STAGGER_RATIO = 0.1
# A lease that was decided so late that it is over already is asked for again, so many times in all.
ACQUIRE_ATTEMPTS_LIMIT = 3
POLL_SECONDS = 0.2

Row = tuple[str, typing.Any]
Work = collections.abc.Callable[["SingletonTask"], collections.abc.Awaitable[None]]


class SingletonTask:
    """One node's candidacy for a singleton task, and the task's work while this node holds the lease.

    Attributes:
        submitter: Where orders are sent.
        context: The node that is a candidate.
        name: The task's name, by which its lease is stored.
        work: What is called again and again while the lease is held; it has to return soon.
        lease_seconds: For how long a lease is good.
        holder: This incarnation of the node, as the lease's row names it.
        fencing_token: The version with which this node won the lease; empty while it holds none.
        lease_ends_at: When this node stops working, by its monotonic clock.
        seen_version: The version of the lease that this node saw last.
        seen_at: When it saw that version first.
        expected_version: The version from which this node asked for the lease last.
        first_requested_at: When it first asked for the lease from that version.
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
        """Return whether this node may work on the task now."""
        return bool(self.fencing_token) and self.context.clock.now() < self.lease_ends_at

    async def run(self) -> None:
        """Work while the lease is held, and else wait for it to be vacant, for as long as the node lives."""
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
        """Do what is next: give the lease up, keep it and work, or see whether it is vacant."""
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
        """Take the lease if nobody can be working under it."""
        self.fencing_token = ""
        ledger = self.context.ledger
        now = self.context.clock.now()
        # What was seen before this replica went stale still counts: the same version now means that nobody
        # has renewed the lease in between.
        if not self.context.is_current(ledger) or self.context.is_lame_duck:
            return
        version = str(ledger.version(lease_changes.lease_key(self.name)))
        if version != self.seen_version:
            self.seen_version = version
            self.seen_at = now
        record = self.stored_lease(ledger)
        # The lease is this very incarnation's, which does not work: it was decided too late, or not renewed
        # in time. So there is no holder to wait for; had another candidate taken it, the version had changed.
        if record is not None and record.holder == self.holder:
            await self.acquire(version)
        elif self.is_vacant(record, now):
            stagger_seconds = CANDIDATE_STAGGER_RATIO * self.lease_seconds
            await asyncio.sleep(self.context.randomness.uniform(0, stagger_seconds))
            if str(ledger.version(lease_changes.lease_key(self.name))) == version:
                await self.acquire(version)

    def is_vacant(self, record: lease_changes.LeaseRecord | None, now: float) -> bool:
        """Return whether the lease was never taken, was given up, or was not renewed before it ended."""
        if record is None or not record.holder:
            return True
        return now - self.seen_at > self.lease_seconds * (1 + CLOCK_DRIFT_RATIO)

    def stored_lease(self, ledger: replica.Replica) -> lease_changes.LeaseRecord | None:
        """Return the lease as the ledger has it."""
        return lease_changes.LeaseRecord.from_value(ledger.value(lease_changes.lease_key(self.name)))

    async def release(self) -> None:
        """Stop working, and then give the lease up, so that another candidate need not wait for its end."""
        fencing_token = self.fencing_token
        self.fencing_token = ""
        await self.submitter.submit(lease_changes.LeaseRequest(self.name, "", fencing_token).to_order())

    async def acquire(self, expected: str) -> None:
        """Take or renew the lease from the version that this node saw.

        Raises:
            IrisError: The order was refused, or its outcome is not known.
        """
        for _ in range(ACQUIRE_ATTEMPTS_LIMIT):
            # Counted from before the order goes out, so this node stops before any other may start.
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
                # By an earlier order maybe, whose answer was lost: others have counted from then on.
                started = self.first_requested_at
            self.fencing_token = won_version
            self.lease_ends_at = started + self.lease_seconds
            self.context.counters.add("terms_taken", duty=self.name)
            if self.holds_lease():
                return
            # Decided so late that it is over already: nobody would work until the others had waited for its
            # end.
            expected = self.fencing_token

    def version_won_by_lost_reply(self, expected: str) -> str | None:
        """Return the lease's version if this node won it after `expected`, by an order without an answer."""
        ledger = self.context.ledger
        record = self.stored_lease(ledger)
        version = str(ledger.version(lease_changes.lease_key(self.name)))
        if version == expected or record is None or record.holder != self.holder:
            return None
        return version

    async def write_fenced(self, rows: collections.abc.Sequence[Row]) -> None:
        """Have rows written, which count only if this lease is still in force when they are decided.

        Raises:
            StaleVersionError: Another lease is in force.
            IrisError: The order was refused for another reason, or its outcome is not known.
        """
        await self.submitter.submit(lease_changes.FencedWrite(self.name, self.fencing_token, rows).to_order())
