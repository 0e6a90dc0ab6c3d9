"""Tokens of fleet-wide rate limits: from this node's own quota share, or leased from another owner.

Each request to an origin uses one token of exactly one owner. A leased token may be used for `LEASE_SECONDS`,
by the borrower's clock, from the time when the borrower sent its request. So in any window all nodes together
start no more requests than the shares yield in the window plus `LEASE_SECONDS`, plus the owners' short
bursts. See docs/control/ceilings.md.
"""

import asyncio
import collections
import typing

from irisstand import errors, node_context
from irisstand.dataplane.ratelimit import quota_share
from irisstand.membership import updates

LEASE_SECONDS = 0.15
# The largest number of tokens in one lease.
TOKENS_PER_LEASE_LIMIT = 8
# If this node's own next token accrues within this time, the request waits for it and none is borrowed.
OWN_TOKEN_WAIT_SECONDS = 0.02
# How long a request waits for leases, over all owners that are asked.
BORROWING_TIMEOUT_SECONDS = 0.25
# How long an owner is not asked after a failed call, and after it had no token of the limit.
FAILED_OWNER_PAUSE_SECONDS = 4.0
EMPTY_OWNER_PAUSE_SECONDS = 0.08
ROUNDING_SECONDS = 1e-6
LONG_AGO = -1e9
# The limit name by which `paused_until` pauses an owner for all limits.
ALL_LIMITS = ""
# The time in the Retry-After header of a response that refuses a request over the limit.
RETRY_AFTER_SECONDS = 0.2

# The message kind of a lease request, and the first field of its response.
LEASE_REQUEST_KIND = "rate-places"
LEASE_RESPONSE_KIND = "places"


class LeaseRequest(typing.NamedTuple):
    """A request to an owner for tokens of a limit; `max_wait` is the longest wait for a token, in seconds."""

    limit_name: str
    token_count: int
    max_wait: float

    @classmethod
    def from_wire(cls, body: typing.Any) -> "LeaseRequest":
        """Decode the body of a lease request.

        Raises:
            ValueError: A number is malformed.
            TypeError: A field has a type that cannot be converted.
            IndexError: A field is missing.
        """
        return cls(str(body[0]), int(body[1]), float(body[2]))

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the request, the fields in wire order."""
        return tuple(self)


class LeaseResponse(typing.NamedTuple):
    """The tokens that an owner leases: for each the seconds from the lease until it may be used."""

    waits: tuple[float, ...]

    @classmethod
    def from_wire(cls, body: typing.Any) -> "LeaseResponse":
        """Decode the body of a lease response.

        Raises:
            ValueError: A wait is not a number, or the response is empty.
            TypeError: The response is not a sequence.
        """
        _, *waits = body
        return cls(tuple(float(wait) for wait in waits))

    def to_wire(self) -> tuple[typing.Any, ...]:
        """Return the body of the response: its kind, then the waits."""
        return (LEASE_RESPONSE_KIND, *self.waits)


class LeasedToken(typing.NamedTuple):
    """A token leased to this node, with the times, by its own clock, between which it may be used."""

    usable_at: float
    expires_at: float


class TokenLeases:
    """Takes tokens for this node's requests, leases tokens from other owners, and leases its own to them.

    Args:
        context: The node's context; the handler of lease requests is registered at its transport.
        limit_of: Returns a fleet-wide limit by its name, in requests per second; None if there is no limit.
    """

    def __init__(self, context: node_context.NodeContext, limit_of: quota_share.LimitLookup) -> None:
        self.context = context
        self.own_quota = quota_share.OwnedQuota(context, limit_of)
        self.leased: dict[str, list[LeasedToken]] = {}
        self.waiting: collections.Counter[str] = collections.Counter()
        self.borrowing: dict[str, asyncio.Task[bool]] = {}
        # The time until which an owner is not asked, by the owner's node name and the limit's name.
        self.paused_until: dict[tuple[str, str], float] = {}
        context.transport.handlers[LEASE_REQUEST_KIND] = self.on_lease_request

    # -- using ---------------------------------------------------------------------------------------
    def acquire(self, name: str, max_wait: float) -> float:
        """Take a token of a limit, this node's own or a leased one.

        Args:
            name: The limit's name.
            max_wait: The longest wait that the request accepts, in seconds.

        Returns:
            Seconds until the token may be used.

        Raises:
            errors.LimitExceededError: No token may be used within `max_wait`.
        """
        wait = self.own_quota.take(name, min(max_wait, OWN_TOKEN_WAIT_SECONDS))
        if wait is not None:
            return wait
        usable = self.usable_tokens(name, max_wait)
        if usable:
            self.leased[name].remove(usable[0])
            return max(0.0, usable[0].usable_at - self.context.clock.now())
        wait = self.own_quota.take(name, max_wait)
        if wait is None:
            raise errors.LimitExceededError(
                f"the rate limit of {name} is used up", retry_after=RETRY_AFTER_SECONDS
            )
        return wait

    def usable_tokens(self, name: str, max_wait: float) -> list[LeasedToken]:
        """Return the leased tokens that may be used within `max_wait` seconds, and drop the expired ones."""
        now = self.context.clock.now()
        tokens = self.leased.setdefault(name, [])
        tokens[:] = [token for token in tokens if now < token.expires_at]
        return [token for token in tokens if token.usable_at <= now + max_wait + ROUNDING_SECONDS]

    def has_token(self, name: str, max_wait: float, token_count: int = 1) -> bool:
        """Return whether this node has an own token within `max_wait` seconds, or enough leased ones."""
        own_wait = self.own_quota.seconds_until_token(name)
        # The node's own next token needs no lease request and does not expire, so it is used first.
        if own_wait is not None and own_wait <= max(OWN_TOKEN_WAIT_SECONDS, max_wait):
            return True
        return len(self.usable_tokens(name, max_wait)) >= token_count

    # -- borrowing -----------------------------------------------------------------------------------
    async def wait_for_token(self, name: str, max_wait: float) -> None:
        """Wait until this node has a token of a limit, or no owner that can be asked has one."""
        deadline = self.context.clock.now() + BORROWING_TIMEOUT_SECONDS
        self.waiting[name] += 1
        try:
            while self.context.clock.now() < deadline:
                if self.has_token(name, max_wait, self.waiting[name]):
                    return
                if not await asyncio.shield(self.borrowing_task(name, max_wait)):
                    return
        finally:
            self.waiting[name] -= 1

    def borrowing_task(self, name: str, max_wait: float) -> "asyncio.Task[bool]":
        """Return the task that leases tokens of a limit; all requests that wait for that limit share it."""
        task = self.borrowing.get(name)
        if task is None or task.done():
            task = asyncio.get_running_loop().create_task(self.borrow(name, max_wait))
            self.borrowing[name] = task
        return task

    async def borrow(self, name: str, max_wait: float) -> bool:
        """Ask owners one after the other until one leases a token, and return whether one did."""
        deadline = self.context.clock.now() + BORROWING_TIMEOUT_SECONDS
        while self.context.clock.now() < deadline:
            owner = self.next_owner(name)
            if owner is None:
                return False
            if await self.borrow_from(owner, name, max_wait):
                return True
        return False

    def next_owner(self, name: str) -> updates.Update | None:
        """Return a random owner that is not paused, one of this site if there is any; None without one."""
        now = self.context.clock.now()
        units = self.own_quota.units()
        owners = [
            update
            for update in self.context.detector.member_list.members.values()
            if units.get(update.identity.name)
            and not update.state
            and now >= self.paused_until.get((update.identity.name, name), LONG_AGO)
            and now >= self.paused_until.get((update.identity.name, ALL_LIMITS), LONG_AGO)
        ]
        local_owners = [update for update in owners if update.node_info.site == self.context.settings.site]
        return self.context.randomness.choice(local_owners or owners) if owners else None

    async def borrow_from(self, owner: updates.Update, name: str, max_wait: float) -> bool:
        """Request tokens of a limit from one owner, and return whether it leased any."""
        owner_name = owner.identity.name
        asked_at = self.context.clock.now()
        request = LeaseRequest(name, max(1, min(TOKENS_PER_LEASE_LIMIT, self.waiting[name])), max_wait)
        try:
            body = await self.context.transport.call(
                owner.node_info.address, owner_name, LEASE_REQUEST_KIND, request.to_wire(), LEASE_SECONDS
            )
        except errors.IrisError as error:
            self.context.counters.add("rate_owners_failed", code=error.code)
            self.paused_until[owner_name, ALL_LIMITS] = self.context.clock.now() + FAILED_OWNER_PAUSE_SECONDS
            return False
        waits = LeaseResponse.from_wire(body).waits
        now = self.context.clock.now()
        if not waits:
            self.paused_until[owner_name, name] = now + EMPTY_OWNER_PAUSE_SECONDS
            return False
        self.context.counters.add("rate_places_borrowed", len(waits))
        tokens = self.leased.setdefault(name, [])
        tokens.extend(LeasedToken(now + wait, asked_at + wait + LEASE_SECONDS) for wait in waits)
        return True

    # -- lending -------------------------------------------------------------------------------------
    async def on_lease_request(self, _: str, body: list[typing.Any]) -> tuple[typing.Any, ...]:
        """Answer another node's lease request with tokens of this node's own quota share."""
        request = LeaseRequest.from_wire(body)
        max_wait = max(0.0, min(request.max_wait, BORROWING_TIMEOUT_SECONDS))
        waits: list[float] = []
        if not self.context.is_draining:
            for _number in range(min(request.token_count, TOKENS_PER_LEASE_LIMIT)):
                # Taken from the same bucket as the tokens of this node's requests, so that neither starves.
                wait = self.own_quota.take(request.limit_name, max_wait)
                if wait is None:
                    break
                waits.append(wait)
        return LeaseResponse(tuple(waits)).to_wire()
