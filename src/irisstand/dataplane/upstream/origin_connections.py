"""A shield's connections to one origin, and the origin's health and slow start as this shield sees them."""

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
# How long the slow start of an origin takes after the evacuation of its site has ended.
RETURN_RAMP_SECONDS = 10.0
FAILURES = (OSError, TimeoutError, ValueError, aiohttp.ClientError, errors.IrisError)


class OriginConnections:
    """The connections to one origin, whose health comes from probes and requests, never from membership."""

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
        # When the origin's warm-up began: when it was first listed, or when it last became healthy.
        self.warmup_started_at = context.clock.now()
        self.has_returned = False
        self.was_healthy_before = False
        self.bucket = slow_start.PacingBucket(context.clock)
        self.probe = "/health"
        self.is_removed = False
        self.is_evacuated = False
        self.returned_at = context.clock.now() - RETURN_RAMP_SECONDS

    @property
    def instance(self) -> str:
        """The name of the origin instance, as its key in the state table has it."""
        return self.origin.key.removeprefix("origin/")

    def warm_fraction(self) -> float:
        """Return the progress of the origin's slow start, from 0.05 to 1.

        An origin is in slow start while it is cold, and after the evacuation of its site.
        """
        now = self.context.clock.now()
        fraction = slow_start.warm_fraction(now - self.returned_at, RETURN_RAMP_SECONDS)
        # The platform's origin list lags: an origin that was down and is healthy again is cold, whatever
        # state the list still shows.
        if self.origin.state == "cold" or self.has_returned:
            fraction = min(
                fraction, slow_start.warm_fraction(now - self.warmup_started_at, self.origin.warmup)
            )
        return fraction

    def update_evacuation(self, *, is_evacuated: bool) -> None:
        """Record whether the origin's site is evacuated, and restart the slow start when that ends."""
        # The origin got no requests during the evacuation, so its caches are as cold as those of a new one.
        if self.is_evacuated and not is_evacuated:
            self.returned_at = self.context.clock.now()
        self.is_evacuated = is_evacuated

    def has_room(self, rate_per_origin: float, share: float) -> bool:
        """Return whether slow start allows a request to the origin now.

        Args:
            rate_per_origin: The service's rate limit divided by the number of its origins, in requests per
                second.
            share: This shield's quota share of the service's rate limit, from 0 to 1.
        """
        warm = self.warm_fraction()
        return warm >= 1.0 or self.bucket.has_token(slow_start.allowed_rate(rate_per_origin, warm, share))

    async def acquire(self, timeout_seconds: float) -> connections.UpstreamConnection:
        """Return a connection on which the origin has confirmed its identity, for one request.

        Opening a connection sends the origin a probe and nothing else.

        Raises:
            LimitExceededError: All connections to the origin are in use.
            OSError: A connection could not be opened, or broke during the probe.
            TimeoutError: A connection could not be opened or confirmed in time.
            IrisError: Another origin answered the probe, or the origin is unhealthy.
        """
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                self.busy += 1
                return connection
        if self.busy >= CONNECTIONS_LIMIT:
            raise errors.LimitExceededError("all connections to the origin are in use")
        self.busy += 1
        try:
            return await self.connect(timeout_seconds)
        except BaseException:
            self.busy -= 1
            raise

    async def connect(self, timeout_seconds: float) -> connections.UpstreamConnection:
        """Open a connection and confirm with a probe that the origin is the expected one."""
        connection = await self.open_connection(self.origin.host, self.origin.port)
        self.context.counters.add("origin_connections", service=self.origin.service)
        try:
            await self.confirm(connection, timeout_seconds)
        except BaseException:
            await connection.close()
            raise
        return connection

    async def confirm(self, connection: connections.UpstreamConnection, timeout_seconds: float) -> None:
        """Probe the origin over a connection, and check that it is the expected one and healthy.

        The connection is closed if not: a late response to an earlier request may have come instead.
        """
        try:
            await connections.confirm_identity(
                connection, self.probe, self.origin.service, self.instance, timeout_seconds
            )
        except errors.IrisError:
            await connection.close()
            raise

    async def release(self, connection: connections.UpstreamConnection) -> None:
        """Return a connection to the idle ones if it can carry another request; close it otherwise."""
        self.busy -= 1
        if connection.is_open and not self.is_removed:
            self.idle.append(connection)
        else:
            await connection.close()

    async def run_probes(self) -> None:
        """Probe the origin periodically, so that its health is known and a connection is open."""
        try:
            while not self.is_removed:
                await self.probe_once()
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        finally:
            for connection in self.idle:
                # The origin is no longer listed, so errors while its connections close don't matter.
                with contextlib.suppress(Exception):
                    await connection.close()

    async def probe_once(self) -> None:
        """Probe the origin once and record whether it is healthy."""
        try:
            connection = await self.acquire(PROBE_TIMEOUT_SECONDS)
            try:
                await self.confirm(connection, PROBE_TIMEOUT_SECONDS)
            finally:
                await self.release(connection)
            self.set_health(is_healthy=True)
        except errors.LimitExceededError:
            # All connections are in use by requests, whose results show the origin's health.
            pass
        except FAILURES as error:
            self.set_health(is_healthy=False, why=repr(error))

    def set_health(self, *, is_healthy: bool, why: str = "") -> None:
        """Record the origin's health and the reason for it; a return to health restarts the warm-up."""
        if is_healthy != self.is_healthy:
            event_log.record("origin-health", origin=self.instance, healthy=is_healthy, why=why)
            # An origin that is healthy again after a failure is as cold as a new one.
            if is_healthy:
                self.warmup_started_at = self.context.clock.now()
                self.has_returned = self.was_healthy_before
                self.was_healthy_before = True
        self.is_healthy = is_healthy
