"""The connections of a shield to one origin, and the origin's health and slow start as it sees them."""

import asyncio
import contextlib

import aiohttp

from irisstand import errors, event_log, node_context
from irisstand.balancing import slow_start
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import connections

CONNECTIONS_LIMIT = 16
PROBE_INTERVAL_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 0.5
# For how long the origins of a site that was evacuated are taken back.
RETURN_RAMP_SECONDS = 10.0
FAILURES = (OSError, TimeoutError, ValueError, aiohttp.ClientError, errors.IrisError)


class OriginConnections:
    """The connections to one origin. Its health comes from probes and requests, never from membership."""

    def __init__(
        self,
        context: node_context.NodeContext,
        origin: configuration_view.Origin,
        open_connection: connections.ConnectionOpener,
    ) -> None:
        self.context = context
        self.origin = origin
        self.open_connection = open_connection
        self.idle: list[connections.UpstreamConnection] = []
        self.busy = 0
        self.is_healthy = False
        # Since when it warms up: from the first sight of a cold one, and from every return.
        self.first_seen = context.clock.now()
        self.has_returned = False
        self.was_seen = False
        self.bucket = slow_start.PacingBucket(context.clock)
        self.probe = "/health"
        self.is_removed = False
        self.is_evacuated = False
        self.returned_at = context.clock.now() - RETURN_RAMP_SECONDS

    @property
    def instance(self) -> str:
        """The name of the origin instance."""
        return self.origin.key.removeprefix("origin/")

    def warmth(self) -> float:
        """Return the progress of the slow start, from a twentieth to one.

        An origin starts slowly when it is cold, and after the evacuation of its site.
        """
        now = self.context.clock.now()
        warmth = slow_start.warm_fraction(now - self.returned_at, RETURN_RAMP_SECONDS)
        # The platform lags: an origin that went away and came back is cold whatever it still says.
        if self.origin.state == "cold" or self.has_returned:
            warmth = min(warmth, slow_start.warm_fraction(now - self.first_seen, self.origin.warmup))
        return warmth

    def update_evacuation(self, *, is_evacuated: bool) -> None:
        """Note whether the origin's site is evacuated now."""
        # Idle for as long as the evacuation lasted, an origin has lost its caches as if it were new.
        if self.is_evacuated and not is_evacuated:
            self.returned_at = self.context.clock.now()
        self.is_evacuated = is_evacuated

    def has_room(self, even_rate: float, share: float) -> bool:
        """Whether slow start allows a request now.

        Args:
            even_rate: the service's rate limit divided by its origins, per second.
            share: this shield's part of the service's rate limit, from 0 to 1.
        """
        warm = self.warmth()
        return warm >= 1.0 or self.bucket.has_token(slow_start.allowed_rate(even_rate, warm, share))

    async def acquire(self, timeout_seconds: float) -> connections.UpstreamConnection:
        """Return a confirmed connection for one request; opening one sends nothing but the probe.

        Raises:
            LimitExceededError: all connections are in use.
            OSError, TimeoutError, IrisError: no connection could be opened or confirmed.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                self.busy += 1
                return connection
        if self.busy >= CONNECTIONS_LIMIT:
            raise errors.LimitExceededError("every line to the origin is busy")
        self.busy += 1
        try:
            return await self.connect(timeout_seconds)
        except BaseException:
            self.busy -= 1
            raise

    async def connect(self, timeout_seconds: float) -> connections.UpstreamConnection:
        """Open a connection and confirm it."""
        connection = await self.open_connection(self.origin.host, self.origin.port)
        self.context.counters.add("origin_connections", service=self.origin.service)
        try:
            await self.confirm(connection, timeout_seconds)
        except BaseException:
            await connection.close()
            raise
        return connection

    async def confirm(self, connection: connections.UpstreamConnection, timeout_seconds: float) -> None:
        """Probe the origin over a connection."""
        await connections.confirm_current(
            connection, self.probe, self.origin.service, self.instance, timeout_seconds
        )

    async def release(self, connection: connections.UpstreamConnection) -> None:
        """Keep a connection for the next request, if it may carry one."""
        self.busy -= 1
        if connection.is_open and not self.is_removed:
            self.idle.append(connection)
        else:
            await connection.close()

    async def run_probes(self) -> None:
        """Probe now and then over a kept connection, so that one is open and the health known."""
        try:
            while not self.is_removed:
                await self.probe_once()
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        finally:
            for connection in self.idle:
                # The origin is not listed any more; whatever its connections do at their end is of no use.
                with contextlib.suppress(Exception):
                    await connection.close()

    async def probe_once(self) -> None:
        """Probe the origin and note its health."""
        try:
            connection = await self.acquire(PROBE_TIMEOUT_SECONDS)
            try:
                await self.confirm(connection, PROBE_TIMEOUT_SECONDS)
            finally:
                await self.release(connection)
            self.mark(is_healthy=True)
        except errors.LimitExceededError:
            # Every connection is at work: that is health enough.
            pass
        except FAILURES as error:
            self.mark(is_healthy=False, why=repr(error))

    def mark(self, *, is_healthy: bool, why: str = "") -> None:
        """Note the origin's health."""
        if is_healthy != self.is_healthy:
            event_log.record("origin-health", origin=self.instance, healthy=is_healthy, why=why)
            # An origin that comes back after being away is as cold as a new one.
            if is_healthy:
                self.first_seen = self.context.clock.now()
                self.has_returned = self.was_seen
                self.was_seen = True
        self.is_healthy = is_healthy
