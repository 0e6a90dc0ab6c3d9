"""Places under a service's rate: out of this node's recorded part, or lent by an owner of another part.

Each request to an origin uses up one place of exactly one owner. A place that is lent is good for
`GOOD_FOR` seconds, counted by the borrower's own clock from before it asked. So in any window all nodes
together start no more than the parts yield in the window and `GOOD_FOR` more, and the owners' small bursts.
"""

import asyncio
import collections
import typing

from irisstand import errors, node_context
from irisstand.balancing import parts, rate_parts
from irisstand.dataplane import routes

GOOD_FOR = 0.15
# Places asked for at once, at the most.
MOST_PLACES = 8
# A place of this node's own that is to be had so soon is waited for, and none is borrowed.
SOON = 0.02
# In all, what a request waits for owners; and for how long one that failed or had nothing is left alone.
PATIENCE, SILENT_FOR, EMPTY_FOR = 0.25, 4.0, 0.08
ROUNDING = 1e-6


class Place(typing.NamedTuple):
    """A place lent to this node: by its own clock, when it may be used, and when no more."""

    usable_at: float
    expires_at: float


class RateGrants:
    """Handler "rate-places" takes (service, places wanted, patience), and gives a wait for each place."""

    def __init__(self, context: node_context.NodeContext, table: routes.Routes) -> None:
        self.context, self.table = context, table
        self.opened_at = context.clock.now()
        self.own: dict[str, parts.Ceiling] = {}
        self.lent: dict[str, list[Place]] = {}
        self.waiting: collections.Counter[str] = collections.Counter()
        self.borrowing: dict[str, asyncio.Task] = {}
        # Owners that did not answer or had nothing, by service, and until when they are not asked.
        self.left_alone: dict[tuple[str, str], float] = {}
        context.transport.handlers["rate-places"] = self.on_places

    def units(self) -> dict[str, int]:
        row = self.context.ledger.value(rate_parts.KEY)
        return row["units"] if row else {}

    def own_rate(self, upstream: routes.Upstream) -> float:
        """This node's part, none where its copy of the ledger was not confirmed for too long."""
        age = self.context.ledger.age(self.context.clock.now())
        if upstream.rate is None or age is None or age > rate_parts.USED_FOR:
            return 0.0
        return upstream.rate * self.units().get(self.context.settings.name, 0) / rate_parts.WHOLE

    def ceiling(self, service: str) -> parts.Ceiling:
        return self.own.setdefault(service, parts.Ceiling(self.context.clock, self.opened_at))

    def is_scarce(self, service: str) -> bool:
        """Whether this node's part of the service's rate was all but used up in the last seconds."""
        ceiling = self.own.get(service)
        return ceiling is not None and ceiling.is_scarce()

    # -- using ---------------------------------------------------------------------------------------
    def enter(self, upstream: routes.Upstream, patience: float) -> float:
        """A place under the service's rate: seconds until it may be used.

        Raises OverCeiling where that is over `patience`.
        """
        if upstream.rate is None:
            return 0.0
        rate, own = self.own_rate(upstream), self.ceiling(upstream.name)
        wait = own.take(rate, min(patience, SOON))
        if wait is not None:
            return wait
        place = self.take_lent(upstream.name, patience)
        if place is not None:
            return max(0.0, place.usable_at - self.context.clock.now())
        wait = own.take(rate, patience)
        if wait is None:
            raise errors.OverCeiling(f"{upstream.name} is at its ceiling", retry_after=0.2)
        return wait

    def usable(self, service: str, patience: float) -> list[Place]:
        now = self.context.clock.now()
        places = self.lent.setdefault(service, [])
        places[:] = [place for place in places if now < place.expires_at]
        return [place for place in places if place.usable_at <= now + patience + ROUNDING]

    def take_lent(self, service: str, patience: float) -> Place | None:
        found = self.usable(service, patience)
        if not found:
            return None
        self.lent[service].remove(found[0])
        return found[0]

    # -- borrowing -----------------------------------------------------------------------------------
    async def ready(self, upstream: routes.Upstream | None, patience: float) -> None:
        """Wait until there is a place to be had here, or no owner that can be asked has one."""
        if upstream is None or upstream.rate is None:
            return
        service, end = upstream.name, self.context.clock.now() + PATIENCE
        self.waiting[service] += 1
        try:
            while not self.has_place(upstream, patience) and self.context.clock.now() < end:
                task = self.borrowing.get(service)
                if task is None or task.done():
                    task = asyncio.get_running_loop().create_task(self.borrow(service, patience))
                    self.borrowing[service] = task
                if not await asyncio.shield(task):
                    return
        finally:
            self.waiting[service] -= 1

    def has_place(self, upstream: routes.Upstream, patience: float) -> bool:
        own = self.ceiling(upstream.name).wait(self.own_rate(upstream))
        if own is not None and own <= SOON:
            return True
        return len(self.usable(upstream.name, patience)) >= self.waiting[upstream.name]

    async def borrow(self, service: str, patience: float) -> bool:
        """Ask the owners one after the other; whether any has lent something."""
        end = self.context.clock.now() + PATIENCE
        while self.context.clock.now() < end:
            owner = self.next_owner(service)
            if owner is None:
                return False
            if await self.borrow_from(owner, service, patience):
                return True
        return False

    def next_owner(self, service: str) -> typing.Any:
        """An owner that can be asked: of this site first, then by lot."""
        now, units = self.context.clock.now(), self.units()
        listed = [*self.context.peers("holder"), *self.context.peers("direct")]
        found = [
            update
            for update in listed
            if units.get(update.identity.name)
            and not update.state
            and now >= self.left_alone.get((update.identity.name, service), -1e9)
            and now >= self.left_alone.get((update.identity.name, ""), -1e9)
        ]
        near = [update for update in found if update.card.site == self.context.settings.site]
        return self.context.randomness.choice(near or found) if found else None

    async def borrow_from(self, owner: typing.Any, service: str, patience: float) -> bool:
        name, asked_at = owner.identity.name, self.context.clock.now()
        wanted = max(1, min(MOST_PLACES, self.waiting[service]))
        try:
            _, *waits = await self.context.transport.ask(
                owner.card.address, name, "rate-places", (service, wanted, patience), GOOD_FOR
            )
        except errors.IrisError as error:
            self.context.counters.add("rate_owners_failed", code=error.code)
            self.left_alone[name, ""] = self.context.clock.now() + SILENT_FOR
            return False
        now = self.context.clock.now()
        if not waits:
            self.left_alone[name, service] = now + EMPTY_FOR
            return False
        self.context.counters.add("rate_places_borrowed", len(waits))
        places = self.lent.setdefault(service, [])
        places.extend(Place(now + float(wait), asked_at + float(wait) + GOOD_FOR) for wait in waits)
        return True

    # -- lending -------------------------------------------------------------------------------------
    async def on_places(self, _: str, body: list) -> tuple:
        service, wanted, patience = str(body[0]), int(body[1]), float(body[2])
        # Nothing may have been asked of this node yet since the configuration came.
        self.table.refresh()
        upstream = self.table.upstreams.get(service)
        if upstream is None or self.context.draining:
            return ("places",)
        rate, waits = self.own_rate(upstream), []
        for _ in range(min(wanted, MOST_PLACES)):
            # In the same row as this node's own requests, so that neither starves the other.
            wait = self.ceiling(service).take(rate, max(0.0, min(patience, PATIENCE)))
            if wait is None:
                break
            waits.append(wait)
        return ("places", *waits)
