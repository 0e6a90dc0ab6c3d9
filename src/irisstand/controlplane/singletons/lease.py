"""Duties that one node does: won by ballot when vacant, held for a term, given up before it ends.

A holder stops by its own monotonic clock. That clock may stand still, as when a virtual machine is suspended;
so whatever a holder writes is judged once more by the voters, against the lease in force (`plan_fenced`).
"""

import asyncio
import collections.abc
import typing

from irisstand import errors, event_log
from irisstand.controlplane.changes import orders
from irisstand.controlplane.consensus import submitter as submitting

LEASE_SECONDS = 4.0
# Candidates wait longer than the holder works, by what two steady clocks may drift apart in a term.
CLOCK_DRIFT_RATIO = 0.1
# And then a random part of this, or all who see the vacancy would meet.
CANDIDATE_STAGGER_RATIO = 0.1
ACQUIRE_ATTEMPTS_LIMIT = 3


class SingletonTask:
    """`work` is called again and again while the term is held; it must return soon."""

    def __init__(
        self,
        submitter: submitting.Submitter,
        name: str,
        work: collections.abc.Callable[["SingletonTask"], collections.abc.Awaitable[None]],
        length: float = LEASE_SECONDS,
    ) -> None:
        self.lease_seconds = length
        self.submitter, self.context, self.name, self.work = submitter, submitter.context, name, work
        self.holder = ""
        self.fencing_token = ""
        self.lease_ends_at = 0.0
        self.seen = ""
        self.seen_at = 0.0
        # The version from which this node last asked for the lease, and when it first did.
        self.asked_from = ""
        self.first_asked_at = 0.0

    def holds_lease(self) -> bool:
        return bool(self.fencing_token) and self.context.clock.now() < self.lease_ends_at

    async def run(self) -> None:
        identity = self.context.detector.identity
        self.holder = f"{identity.name}~{identity.incarnation_id}"
        while True:
            try:
                if self.context.is_lame_duck and self.fencing_token:
                    await self.release()
                elif self.holds_lease():
                    if self.lease_ends_at - self.context.clock.now() < self.lease_seconds / 2:
                        await self.acquire(self.fencing_token)
                    if self.holds_lease():
                        await self.work(self)
                else:
                    await self.watch()
            except (errors.IrisError, ValueError, TypeError) as error:
                self.context.counters.add("duty_failed", duty=self.name)
                event_log.record("duty", duty=self.name, error=repr(error))
            await asyncio.sleep(0.2)

    async def watch(self) -> None:
        """Vacant is a term whose version has stood still for longer than a holder may work on it."""
        self.fencing_token = ""
        copy, now = self.context.ledger, self.context.clock.now()
        # What was seen before this copy went stale still counts: the same version now means that nobody has
        # renewed the term in between.
        if not self.context.is_current(copy) or self.context.is_lame_duck:
            return
        version = str(copy.version(f"term/{self.name}"))
        if version != self.seen:
            self.seen, self.seen_at = version, now
        row = copy.value(f"term/{self.name}")
        # In force for this very life, which does not work on it: decided too late, or not renewed in time. So
        # there is no holder to wait out; should another candidate have taken it, the version has moved.
        if row is not None and row["holder"] == self.holder:
            await self.acquire(version)
        # Given up in order, it is vacant at once.
        elif (
            row is None
            or not row["holder"]
            or now - self.seen_at > self.lease_seconds * (1 + CLOCK_DRIFT_RATIO)
        ):
            # All candidates see the vacancy at once; a random wait keeps their ballots from colliding.
            await asyncio.sleep(
                self.context.randomness.uniform(0, CANDIDATE_STAGGER_RATIO * self.lease_seconds)
            )
            if str(copy.version(f"term/{self.name}")) == version:
                await self.acquire(version)

    async def release(self) -> None:
        """A planned end: the duty is laid down first, and only then is it said."""
        lease, self.fencing_token = self.fencing_token, ""
        await self.submitter.submit(orders.Order("term", "", (self.name, "", lease)))

    async def acquire(self, expected: str) -> None:
        for _ in range(ACQUIRE_ATTEMPTS_LIMIT):
            # Counted from before the order goes out, so this node stops before any other may start.
            started = self.context.clock.now()
            if expected != self.asked_from:
                self.asked_from, self.first_asked_at = expected, started
            order = orders.Order("term", "", (self.name, self.holder, expected))
            try:
                result = await self.submitter.submit(order)
            except errors.StaleVersionError:
                # Taken all the same, where the voter that took the order could not say so any more.
                row = self.context.ledger.value(f"term/{self.name}")
                version = str(self.context.ledger.version(f"term/{self.name}"))
                if version == expected or row is None or row["holder"] != self.holder:
                    self.fencing_token = ""
                    return
                result = {"serial": version}
                # By an earlier order maybe, whose answer was lost: others have counted from then on.
                started = self.first_asked_at
            self.fencing_token, self.lease_ends_at = result["serial"], started + self.lease_seconds
            self.context.counters.add("terms_taken", duty=self.name)
            if self.holds_lease():
                return
            # Decided so late that it is over already: nobody would work until all others had waited it out.
            expected = self.fencing_token

    async def write_fenced(self, rows: list[tuple[str, typing.Any]]) -> None:
        """Rows that count only if this term is still the one in force when they are decided."""
        await self.submitter.submit(orders.Order("fenced", "", (self.name, self.fencing_token, rows)))
