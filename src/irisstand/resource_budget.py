"""The budget of bytes and connections that a process may hold for others; `budget_rule` derives it.

Everything that clients, origins and peers make a process hold counts here: unread and unfinished requests,
responses until they are sent, frames, and the cache of objects, which gives way to the rest. What is over the
budget is refused, waits, or takes the place of the slowest connection.
"""

import asyncio
import collections
import collections.abc
import typing

from irisstand import budget_owners, counters, shared_bodies, transfer_speed

# The memory of an accepted connection without what it has received.
CONNECTION_BYTES = 24_000
# Requests that are being read leave a part of the budget to responses.
REQUESTS_FRACTION = 0.8
# A connection is not judged by its speed, and thus not evicted, before this age.
EVICTION_AGE_SECONDS = 1.0
# Connections that hold less are evicted last to make room for bytes.
SMALL_BYTES = 128 * 1024
# How often those that wait are looked at again: connections grow slow without any event.
RECHECK_SECONDS = 0.25


class Holding:
    """The bytes that are held for one connection.

    Attributes:
        budget: The budget that the bytes count in.
        owner: The connection; None if it can't be evicted.
        size: The bytes held now.
        opened_at: When the holding was opened, in seconds of the budget's clock.
        retained: The bytes that it has others count, and that are free once it has ended.
        speed: How fast the connection moves bytes.
    """

    def __init__(self, budget: "ResourceBudget", owner: budget_owners.Owner | None) -> None:
        self.budget = budget
        self.owner = owner
        self.size = 0
        self.retained = 0
        self.opened_at = budget.now()
        self.speed = transfer_speed.TransferSpeed(budget.now)

    def is_open(self) -> bool:
        """Return whether the holding counts, and its connection is not being evicted."""
        return self in self.budget.holdings and self not in self.budget.evicted

    def freed(self) -> int:
        """Return the bytes that are free once the connection has ended."""
        return self.size + self.retained

    def is_small(self) -> bool:
        """Return whether closing the connection would free little."""
        return self.freed() < SMALL_BYTES

    def set(self, size: int) -> None:
        """Hold a number of bytes that are there already, whatever the budget has left."""
        self.budget.resize(self, size)
        self.budget.make_room(0, 1.0, self)

    def try_set(self, size: int, fraction: float = 1.0) -> bool:
        """Hold a number of bytes if they fit into a fraction of the budget; return whether they do."""
        if size > self.size and not self.budget.make_room(size - self.size, fraction, self):
            return False
        self.budget.resize(self, size)
        return True

    def close(self) -> None:
        """Hold nothing any more."""
        self.budget.close(self)


class Waiter(typing.NamedTuple):
    """A holding that waits until it may grow within a fraction of the budget, and whom to tell then."""

    holding: Holding
    size: int
    on_granted: collections.abc.Callable[[], None]
    fraction: float


class ResourceBudget:
    """Bytes and connections that a process may hold for others.

    Args:
        limit: The bytes that may be held, the cache included.
        connection_limit: The number of accepted connections.
        now: Returns the time in seconds.
        counters: The counters of the process.
    """

    def __init__(
        self,
        limit: int,
        connection_limit: int,
        now: collections.abc.Callable[[], float],
        process_counters: counters.Counters,
    ) -> None:
        self.limit = limit
        self.connection_limit = connection_limit
        self.now = now
        self.counters = process_counters
        self.held = 0
        # Dicts keep the order in which the holdings were opened.
        self.holdings: dict[Holding, None] = {}
        self.connections: dict[Holding, None] = {}
        self.evicted: dict[Holding, None] = {}
        self.caches: list[budget_owners.Cache] = []
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.recheck: asyncio.TimerHandle | None = None
        self.bodies = shared_bodies.SharedBodies(self.open())

    # -- holdings ------------------------------------------------------------------------------------
    def open(self, owner: budget_owners.Owner | None = None) -> Holding:
        """Open a holding for a connection of this process to another."""
        holding = Holding(self, owner)
        self.holdings[holding] = None
        return holding

    def open_connection(self, owner: budget_owners.Owner) -> Holding | None:
        """Open a holding for an accepted connection; None if there are too many and none can be evicted."""
        if len(self.connections) >= self.connection_limit:
            slowest = self._evictable(None)
            if not slowest:
                self.counters.add("connections_refused")
                return None
            self._evict(slowest[0])
        holding = self.open(owner)
        self.connections[holding] = None
        holding.set(CONNECTION_BYTES)
        return holding

    def resize(self, holding: Holding, size: int) -> None:
        """Change what a holding counts; a closed one counts nothing."""
        if holding not in self.holdings:
            return
        is_smaller = size < holding.size
        self.held += size - holding.size
        holding.size = size
        if is_smaller:
            self.grant()

    def close(self, holding: Holding) -> None:
        """Close a holding; it may be closed already."""
        if holding not in self.holdings:
            return
        self.held -= holding.size
        del self.holdings[holding]
        self.connections.pop(holding, None)
        self.evicted.pop(holding, None)
        self.grant()

    # -- room ----------------------------------------------------------------------------------------
    def make_room(self, needed: int, fraction: float, requester: Holding) -> bool:
        """Make room for more bytes: shrink the caches, then evict the slowest connections.

        Args:
            needed: The number of bytes.
            fraction: The part of the budget that may be used after that, caches not counted.
            requester: The holding that is not evicted.

        Returns:
            Whether there is room now.
        """
        allowed = int(self.limit * fraction) - needed
        # What an evicted connection holds is free only once it has ended.
        excess = self.held - allowed - sum(holding.freed() for holding in self.evicted)
        if excess > 0:
            for holding in sorted(self._evictable(requester), key=Holding.is_small):
                excess -= holding.freed()
                self._evict(holding)
                if excess <= 0:
                    break
        for cache in self.caches:
            cache.shrink(max(0, self.limit - self.held - needed))
        return self.held <= allowed

    def room_for_cache(self) -> int:
        """Return the bytes that caches may take up now."""
        return max(0, self.limit - self.held)

    def _evictable(self, requester: Holding | None) -> list[Holding]:
        """Return the connections that may be evicted, the slowest first."""
        oldest = self.now() - EVICTION_AGE_SECONDS
        candidates = [
            holding
            for holding in self.holdings
            if holding is not requester
            and holding not in self.evicted
            and holding.opened_at <= oldest
            and holding.owner is not None
            and holding.owner.is_evictable()
        ]
        return sorted(candidates, key=lambda holding: holding.speed.recent_bytes())

    def _evict(self, holding: Holding) -> None:
        assert holding.owner is not None, "only holdings with an owner are evictable"
        self.counters.add("connections_evicted")
        self.evicted[holding] = None
        self.connections.pop(holding, None)
        holding.owner.evict()

    # -- waiting -------------------------------------------------------------------------------------
    def set_when_possible(
        self,
        holding: Holding,
        size: int,
        on_granted: collections.abc.Callable[[], None],
        fraction: float = 1.0,
    ) -> bool:
        """Let a holding grow as soon as a fraction of the budget has room, in the order of the calls.

        Returns:
            Whether it has grown at once; otherwise `on_granted` is called later.
        """
        if not self.waiters and holding.try_set(size, fraction):
            holding.opened_at = self.now()
            return True
        self.waiters.append(Waiter(holding, size, on_granted, fraction))
        self._schedule_recheck()
        return False

    def grant(self) -> None:
        """Let those that wait grow, as far as there is room."""
        while self.waiters:
            waiter = self.waiters[0]
            if waiter.holding.is_open() and not waiter.holding.try_set(waiter.size, waiter.fraction):
                return
            self.waiters.popleft()
            # It is not slow before it could begin.
            waiter.holding.opened_at = self.now()
            waiter.on_granted()

    def _schedule_recheck(self) -> None:
        if self.recheck is None:
            loop = asyncio.get_running_loop()
            self.recheck = loop.call_later(RECHECK_SECONDS, self._check_again)

    def _check_again(self) -> None:
        self.recheck = None
        self.grant()
        if self.waiters:
            self._schedule_recheck()
