"""Origins as this shield sees them: pools of confirmed lines, probes, and the draw among them."""

import asyncio
import contextlib
import typing

import aiohttp

from irisstand import errors, event_log, node_context
from irisstand.balancing import slow_start
from irisstand.dataplane.routing import snapshot
from irisstand.dataplane.upstream import connections

LINES_LIMIT = 16
PROBE_EVERY = 1.0
PROBE_PATIENCE = 0.5
# Seconds over which the origins of a site that was evacuated are taken back.
RETURN_RAMP = 10.0
# How much rather an origin of the own region is drawn than one of another, when both are idle.
NEARNESS = 3.0
FAILURES = (OSError, TimeoutError, ValueError, aiohttp.ClientError, errors.IrisError)


class OriginConnections:
    """The lines to one origin. Its health comes from probes and from requests, never from membership."""

    def __init__(
        self,
        context: node_context.NodeContext,
        origin: snapshot.Origin,
        open_line: connections.ConnectionOpener,
    ) -> None:
        self.context, self.origin, self.open_line = context, origin, open_line
        self.idle: list[connections.UpstreamConnection] = []
        self.busy = 0
        self.healthy = False
        # Since when it warms up: from the first sight of a cold one, and from every return.
        self.first_seen = context.clock.now()
        self.has_returned, self.was_seen = False, False
        self.bucket = slow_start.PacingBucket(context.clock)
        self.probe = "/health"
        self.closing = False
        self.evacuated = False
        self.returned_at = context.clock.now() - RETURN_RAMP

    @property
    def instance(self) -> str:
        return self.origin.key.removeprefix("origin/")

    def warmth(self) -> float:
        """From a twentieth to one: over the warm-up of a cold origin, and after its site's evacuation."""
        now = self.context.clock.now()
        found = slow_start.warm_fraction(now - self.returned_at, RETURN_RAMP)
        # The platform lags: an origin that went away and came back is cold whatever it still says.
        if self.origin.state == "cold" or self.has_returned:
            found = min(found, slow_start.warm_fraction(now - self.first_seen, self.origin.warmup))
        return found

    def note_evacuation(self, evacuated: bool) -> None:
        # Idle for as long as the evacuation lasted, an origin has lost its caches as if it were new.
        if self.evacuated and not evacuated:
            self.returned_at = self.context.clock.now()
        self.evacuated = evacuated

    def has_room(self, even: float, part: float) -> bool:
        warm = self.warmth()
        return warm >= 1.0 or self.bucket.has_room(slow_start.allowed_rate(even, warm, part))

    async def take(self, patience: float) -> connections.UpstreamConnection:
        """A confirmed line for one request; opening one touches nothing but the probe."""
        while self.idle:
            line = self.idle.pop()
            if line.alive:
                self.busy += 1
                return line
        if self.busy >= LINES_LIMIT:
            raise errors.LimitExceededError("every line to the origin is busy")
        self.busy += 1
        try:
            return await self.connect(patience)
        except BaseException:
            self.busy -= 1
            raise

    async def connect(self, patience: float) -> connections.UpstreamConnection:
        line = await self.open_line(self.origin.host, self.origin.port)
        self.context.counters.add("origin_connections", service=self.origin.service)
        try:
            await connections.confirm_current(line, self.probe, self.origin.service, self.instance, patience)
        except BaseException:
            await line.close()
            raise
        return line

    async def give_back(self, line: connections.UpstreamConnection) -> None:
        self.busy -= 1
        if line.alive and not self.closing:
            self.idle.append(line)
        else:
            await line.close()

    async def keep(self) -> None:
        """Probe now and then over a line that is kept, so that the pool stays warm and its health known."""
        try:
            while not self.closing:
                try:
                    line = await self.take(PROBE_PATIENCE)
                    try:
                        await connections.confirm_current(
                            line, self.probe, self.origin.service, self.instance, PROBE_PATIENCE
                        )
                    finally:
                        await self.give_back(line)
                    self.mark(True)
                except errors.LimitExceededError:
                    # Every line is at work: that is health enough.
                    pass
                except FAILURES as error:
                    self.mark(False, repr(error))
                await asyncio.sleep(PROBE_EVERY)
        finally:
            for line in self.idle:
                with contextlib.suppress(Exception):
                    await line.close()

    def mark(self, healthy: bool, why: str = "") -> None:
        if healthy != self.healthy:
            event_log.record("origin-health", origin=self.instance, healthy=healthy, why=why)
            # An origin that comes back after being away is as cold as a new one.
            if healthy:
                self.first_seen, self.has_returned = self.context.clock.now(), self.was_seen
                self.was_seen = True
        self.healthy = healthy


class OriginPool:
    """Follows the roster in the ledger, and draws."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: snapshot.ConfigurationSnapshot,
        open_line: connections.ConnectionOpener,
    ) -> None:
        self.context, self.view, self.open_line = context, view, open_line
        self.pools: dict[snapshot.Origin, OriginConnections] = {}
        self.tasks: dict[snapshot.Origin, asyncio.Task] = {}
        context.ledger.watchers.append(self.follow)

    def follow(self) -> None:
        """A changed address or service is another origin, and gets nothing of the old one's lines."""
        listed = {self.place(origin): origin for origin in self.view.origins()}
        for place in [place for place in self.pools if place not in listed]:
            self.pools.pop(place).closing = True
            self.tasks.pop(place)
        for place, origin in listed.items():
            if place in self.pools:
                self.pools[place].origin = origin
            else:
                pool = OriginConnections(self.context, origin, self.open_line)
                self.pools[place] = pool
                self.tasks[place] = self.context.start_task(pool.keep(), f"keeper of {origin.key}")
            self.pools[place].note_evacuation(self.view.is_evacuated(origin.site))

    def place(self, origin: snapshot.Origin) -> snapshot.Origin:
        return origin._replace(state="", warmup=0, slots=0)

    def draw(self, granted: snapshot.AllowedRequest, tried: typing.Container[str]) -> OriginConnections:
        """Of two drawn at random by warmth, the less busy: good spread without a view of the others."""
        listed = [
            pool
            for pool in self.pools.values()
            if pool.origin.service == granted.service and pool.origin.state != "leaving"
        ]
        usable = [
            pool
            for pool in listed
            if pool.healthy and pool.instance not in tried and not self.view.is_evacuated(pool.origin.site)
        ]
        if not usable:
            raise errors.NoOriginError(f"no origin of {granted.service} is usable just now")
        even, part = granted.limit[0] / len(listed), self.part(granted)
        open_ones = [pool for pool in usable if pool.has_room(even, part)]
        # All that are left are warming up: more than they may get is refused, not poured over them.
        if not open_ones:
            raise errors.SlowStartError(f"the origins of {granted.service} are warming up")
        regions = self.context.region_by_site()
        near = {
            pool.origin: NEARNESS if regions.get(pool.origin.site) == self.context.settings.region else 1.0
            for pool in open_ones
        }
        weights = [pool.warmth() * near[pool.origin] for pool in open_ones]
        first, second = self.context.randomness.choices(open_ones, weights, k=2)
        # The busier one gives way all the same, so nearness never floods a region's origins.
        drawn = min(first, second, key=lambda pool: (pool.busy + 1) / pool.warmth() / near[pool.origin])
        if drawn.warmth() < 1.0:
            drawn.bucket.take()
        return drawn

    def part(self, granted: snapshot.AllowedRequest) -> float:
        """This shield's part of the service's ceiling, from 0 to 1."""
        return self.view.quota_share(granted.service, granted.limit)[0] / granted.limit[0]
