"""Places under a bound over the whole fleet: out of this node's recorded part, or lent by another owner.

Each request to an origin uses up one place of exactly one owner. A place that is lent is good for
`GOOD_FOR` seconds, counted by the borrower's own clock from before it asked. So in any window all nodes
together start no more than the parts yield in the window and `GOOD_FOR` more, and the owners' small bursts.
"""

import asyncio
import collections
import typing

from irisstand import errors, node_context
from irisstand.dataplane.ratelimit import quota_share

LEASE_SECONDS = 0.15
# Places asked for at once, at the most.
TOKENS_PER_LEASE_LIMIT = 8
# A place of this node's own that is to be had so soon is waited for, and none is borrowed.
OWN_TOKEN_WAIT_SECONDS = 0.02
# In all, what a request waits for owners; and for how long one that failed or had nothing is left alone.
BORROWING_TIMEOUT_SECONDS, FAILED_OWNER_PAUSE_SECONDS, EMPTY_OWNER_PAUSE_SECONDS = 0.25, 4.0, 0.08
ROUNDING_SECONDS = 1e-6


class LeasedToken(typing.NamedTuple):
    """A place lent to this node: by its own clock, when it may be used, and when no more."""

    usable_at: float
    expires_at: float


class TokenLeases:
    """Handler "rate-places" takes (bound, places wanted, patience), and gives a wait for each place."""

    def __init__(self, context: node_context.NodeContext, whole: quota_share.LimitLookup) -> None:
        self.context = context
        self.own_quota = quota_share.OwnedQuota(context, whole)
        self.leased: dict[str, list[LeasedToken]] = {}
        self.waiting: collections.Counter[str] = collections.Counter()
        self.borrowing: dict[str, asyncio.Task] = {}
        # Owners that did not answer or had nothing, by bound, and until when they are not asked.
        self.paused_until: dict[tuple[str, str], float] = {}
        context.transport.handlers["rate-places"] = self.on_lease_request

    # -- using ---------------------------------------------------------------------------------------
    def acquire(self, name: str, patience: float) -> float:
        """A place under the bound: seconds until it may be used; OverCeiling if that is over `patience`."""
        wait = self.own_quota.take(name, min(patience, OWN_TOKEN_WAIT_SECONDS))
        if wait is not None:
            return wait
        found = self.usable_tokens(name, patience)
        if found:
            self.leased[name].remove(found[0])
            return max(0.0, found[0].usable_at - self.context.clock.now())
        wait = self.own_quota.take(name, patience)
        if wait is None:
            raise errors.LimitExceededError(f"{name} is at its ceiling", retry_after=0.2)
        return wait

    def usable_tokens(self, name: str, patience: float) -> list[LeasedToken]:
        now = self.context.clock.now()
        places = self.leased.setdefault(name, [])
        places[:] = [place for place in places if now < place.expires_at]
        return [place for place in places if place.usable_at <= now + patience + ROUNDING_SECONDS]

    def has_token(self, name: str, patience: float, wanted: int = 1) -> bool:
        own = self.own_quota.seconds_until_token(name)
        # Its own next place costs no question and does not expire; others' are for what is beyond it.
        return (own is not None and own <= max(OWN_TOKEN_WAIT_SECONDS, patience)) or len(
            self.usable_tokens(name, patience)
        ) >= wanted

    # -- borrowing -----------------------------------------------------------------------------------
    async def wait_for_token(self, name: str, patience: float) -> None:
        """Wait until there is a place to be had here, or no owner that can be asked has one."""
        end = self.context.clock.now() + BORROWING_TIMEOUT_SECONDS
        self.waiting[name] += 1
        try:
            while self.context.clock.now() < end:
                if self.has_token(name, patience, self.waiting[name]):
                    return
                task = self.borrowing.get(name)
                if task is None or task.done():
                    task = asyncio.get_running_loop().create_task(self.borrow(name, patience))
                    self.borrowing[name] = task
                if not await asyncio.shield(task):
                    return
        finally:
            self.waiting[name] -= 1

    async def borrow(self, name: str, patience: float) -> bool:
        """Ask the owners one after the other; whether any has lent something."""
        end = self.context.clock.now() + BORROWING_TIMEOUT_SECONDS
        while self.context.clock.now() < end:
            owner = self.next_owner(name)
            if owner is None:
                return False
            if await self.borrow_from(owner, name, patience):
                return True
        return False

    def next_owner(self, name: str) -> typing.Any:
        """An owner that can be asked: of this site first, then by lot."""
        now, units = self.context.clock.now(), self.own_quota.units()
        found = [
            update
            for update in self.context.detector.member_list.members.values()
            if units.get(update.identity.name)
            and not update.state
            and now >= self.paused_until.get((update.identity.name, name), -1e9)
            and now >= self.paused_until.get((update.identity.name, ""), -1e9)
        ]
        near = [update for update in found if update.node_info.site == self.context.settings.site]
        return self.context.randomness.choice(near or found) if found else None

    async def borrow_from(self, owner: typing.Any, name: str, patience: float) -> bool:
        lender, asked_at = owner.identity.name, self.context.clock.now()
        wanted = max(1, min(TOKENS_PER_LEASE_LIMIT, self.waiting[name]))
        try:
            _, *waits = await self.context.transport.call(
                owner.node_info.address, lender, "rate-places", (name, wanted, patience), LEASE_SECONDS
            )
        except errors.IrisError as error:
            self.context.counters.add("rate_owners_failed", code=error.code)
            self.paused_until[lender, ""] = self.context.clock.now() + FAILED_OWNER_PAUSE_SECONDS
            return False
        now = self.context.clock.now()
        if not waits:
            self.paused_until[lender, name] = now + EMPTY_OWNER_PAUSE_SECONDS
            return False
        self.context.counters.add("rate_places_borrowed", len(waits))
        places = self.leased.setdefault(name, [])
        places.extend(
            LeasedToken(now + float(wait), asked_at + float(wait) + LEASE_SECONDS) for wait in waits
        )
        return True

    # -- lending -------------------------------------------------------------------------------------
    async def on_lease_request(self, _: str, body: list) -> tuple:
        name, wanted, patience = str(body[0]), int(body[1]), float(body[2])
        waits = []
        if not self.context.is_draining:
            for _ in range(min(wanted, TOKENS_PER_LEASE_LIMIT)):
                # In the same row as this node's own requests, so that neither starves the other.
                wait = self.own_quota.take(name, max(0.0, min(patience, BORROWING_TIMEOUT_SECONDS)))
                if wait is None:
                    break
                waits.append(wait)
        return ("places", *waits)
