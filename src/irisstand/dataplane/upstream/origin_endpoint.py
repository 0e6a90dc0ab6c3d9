"""One origin instance as a node reaches it: its connections, and what the traffic tells of it."""

import asyncio

from irisstand import errors, event_log, node_context
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import exchange

CONNECT_TIMEOUT_SECONDS = 0.4
# Until an endpoint that could not be reached is probed; doubled with each failure.
BACKOFF_SECONDS = 0.25
BACKOFF_LIMIT_SECONDS = 2.0
# The weight of the newest answer in the average of answer times.
NEWEST_WEIGHT = 0.2
FIRST_GUESS_SECONDS = 0.08
# Without an answer, half of what is known of an endpoint's time is forgotten in this time.
HALF_LIFE_SECONDS = 1.0
# An endpoint that let a request wait for so many times its usual time is left alone while others answer.
UNRESPONSIVE_FACTOR = 4.0
UNRESPONSIVE_LEAST_SECONDS = 0.25


class Endpoint:
    """One origin instance: its health comes from requests, and from probes only while it gets none."""

    def __init__(
        self,
        context: node_context.NodeContext,
        origin: configuration_view.Origin,
        connect: exchange.Connect,
    ) -> None:
        self.context = context
        self.origin = origin
        self.connect = connect
        self.idle: list[exchange.Exchange] = []
        # When each attempt in flight began, by its number.
        self.in_flight: dict[int, float] = {}
        self.number = 0
        self.usual_seconds = FIRST_GUESS_SECONDS
        self.answered_at = context.clock.now()
        self.is_down = False
        self.down_until = 0.0
        self.backoff = BACKOFF_SECONDS
        self.full_until = 0.0
        self.cold_until = 0.0
        self.is_removed = False

    @property
    def instance(self) -> str:
        """The name of the instance."""
        return self.origin.key.removeprefix("origin/")

    def is_at(self, origin: configuration_view.Origin) -> bool:
        """Whether `origin` is this endpoint: the same service at the same address."""
        own = self.origin
        return (own.host, own.port, own.service) == (origin.host, origin.port, origin.service)

    def begin(self) -> int:
        """Count an attempt as in flight and return its number."""
        self.number += 1
        self.in_flight[self.number] = self.context.clock.now()
        return self.number

    def finish(self, number: int, *, is_answered: bool) -> None:
        """End an attempt, and learn from its time if it was answered."""
        took = self.context.clock.now() - self.in_flight.pop(number)
        if is_answered:
            self.usual_seconds += NEWEST_WEIGHT * (took - self.usual_seconds)
            self.answered_at = self.context.clock.now()
            self.mark_up()

    def note_unanswered(self, number: int) -> None:
        """Learn from an attempt that is withdrawn: its answer would have taken longer still."""
        waited = self.context.clock.now() - self.in_flight[number]
        if waited > self.usual_seconds:
            self.usual_seconds += NEWEST_WEIGHT * (waited - self.usual_seconds)

    def expected_seconds(self) -> float:
        """Return how long the next answer may take: what was slow long ago is worth another look."""
        idle = self.context.clock.now() - self.answered_at
        return self.usual_seconds * float(0.5 ** (idle / HALF_LIFE_SECONDS))

    def is_unresponsive(self) -> bool:
        """Whether an attempt in flight has waited far longer than usual."""
        oldest = min(self.in_flight.values(), default=None)
        limit = max(UNRESPONSIVE_LEAST_SECONDS, UNRESPONSIVE_FACTOR * self.usual_seconds)
        return oldest is not None and self.context.clock.now() - oldest > limit

    def is_cold(self) -> bool:
        """Whether the endpoint is in its slow start."""
        return self.origin.state == "cold" or self.context.clock.now() < self.cold_until

    async def acquire(self, timeout_seconds: float, *, is_fresh: bool = False) -> exchange.Exchange:
        """Return a connection for one request.

        Args:
            timeout_seconds: the time to connect in, at most `CONNECT_TIMEOUT_SECONDS`.
            is_fresh: return one that has carried no request yet, as a request without an id needs.

        Raises:
            NotSentError: the endpoint takes no connection, and is now marked as down.
        """
        while self.idle and not is_fresh:
            connection = self.idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, timeout_seconds)):
                connection = await self.connect(self.origin.host, self.origin.port)
        except (OSError, TimeoutError) as error:
            self.mark_down(repr(error))
            raise errors.NotSentError(f"the origin {self.instance} takes no connection") from None
        self.context.counters.add("origin_connections", service=self.origin.service)
        return connection

    def release(self, connection: exchange.Exchange) -> None:
        """Keep a connection for the next request, if it may carry one."""
        connection.may_have_sent = False
        if connection.is_open and not self.is_removed:
            self.idle.append(connection)
        else:
            connection.close()

    def mark_up(self) -> None:
        """Note that the endpoint answered."""
        self.is_down = False
        self.backoff = BACKOFF_SECONDS

    def mark_down(self, why: str) -> None:
        """Note that the endpoint could not be used; it gets only probes until one is answered."""
        if not self.is_down:
            event_log.record("origin-down", origin=self.instance, why=why)
        self.is_down = True
        self.down_until = self.context.clock.now() + self.backoff
        self.backoff = min(BACKOFF_LIMIT_SECONDS, 2 * self.backoff)

    def close(self) -> None:
        """Close the idle connections: the origin is not listed any more."""
        self.is_removed = True
        for connection in self.idle:
            connection.close()
        self.idle.clear()
