"""An origin instance as a node reaches it: its connections, and the health and speed that traffic shows."""

import asyncio

from irisstand import errors, event_log, node_context
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import connector, exchange, transfers

CONNECT_TIMEOUT_SECONDS = 0.4
# How long an endpoint that could not be reached waits for its next probe; doubled with each failure.
BACKOFF_SECONDS = 0.25
BACKOFF_LIMIT_SECONDS = 2.0
# The weight of the newest response time in the exponential moving average of an endpoint's response times.
NEWEST_SAMPLE_WEIGHT = 0.2
INITIAL_RESPONSE_SECONDS = 0.08
# While an endpoint sends no response, its average response time decays with this half-life, so that an
# endpoint that was slow is eventually chosen again.
HALF_LIFE_SECONDS = 1.0
# An endpoint counts as unresponsive, and is only used when no other endpoint is responsive, while an attempt
# waits for this many times the endpoint's average response time, and for at least the seconds below.
UNRESPONSIVE_FACTOR = 4.0
UNRESPONSIVE_LEAST_SECONDS = 0.25


class Endpoint:
    """An origin instance whose health comes from requests, and from probes only while it is down."""

    def __init__(
        self,
        context: node_context.NodeContext,
        origin: configuration_view.Origin,
        connect: connector.Connect,
    ) -> None:
        self.context = context
        self.origin = origin
        self.connect = connect
        self.idle: list[exchange.Exchange] = []
        # The start time of each attempt in flight, by the attempt's number.
        self.in_flight: dict[int, float] = {}
        self.transfers = transfers.Transfers()
        self.number = 0
        self.usual_seconds = INITIAL_RESPONSE_SECONDS
        self.answered_at = context.clock.now()
        self.is_down = False
        self.down_until = 0.0
        self.backoff = BACKOFF_SECONDS
        self.paused_until = 0.0
        self.cold_until = 0.0
        self.is_removed = False

    @property
    def instance(self) -> str:
        """The name of the origin instance, as its key in the state table has it."""
        return self.origin.key.removeprefix("origin/")

    def is_at(self, origin: configuration_view.Origin) -> bool:
        """Return whether `origin` has the service and the address of this endpoint."""
        own = self.origin
        return (own.host, own.port, own.service) == (origin.host, origin.port, origin.service)

    def begin(self) -> int:
        """Record a new attempt as in flight and return its number."""
        self.number += 1
        self.in_flight[self.number] = self.context.clock.now()
        return self.number

    def finish(self, number: int) -> None:
        """Record the end of an attempt."""
        self.in_flight.pop(number, None)
        self.transfers.remove(number)

    def begin_transfer(self, number: int, transfer: transfers.Transfer, limit: int) -> None:
        """Record that an attempt passes on a large body, so that its time says nothing about the origin.

        Args:
            number: The number of the attempt.
            transfer: The body that is passed on.
            limit: The number of transfers above which the slowest one is evicted.
        """
        self.in_flight.pop(number, None)
        self.transfers.add(number, transfer, limit)

    def end_transfer(self, number: int) -> None:
        """Record that a large body has been passed on, or was given up."""
        self.transfers.remove(number)

    def await_response(self, number: int) -> None:
        """Record that the large body of an attempt's request is complete: its response time begins now."""
        if number in self.transfers.by_number:
            self.transfers.remove(number)
            self.in_flight[number] = self.context.clock.now()

    def note_answered(self, number: int) -> None:
        """Update the average response time and the health after a response to an attempt in flight."""
        if number in self.in_flight:
            elapsed = self.context.clock.now() - self.in_flight[number]
            self.usual_seconds += NEWEST_SAMPLE_WEIGHT * (elapsed - self.usual_seconds)
        self.answered_at = self.context.clock.now()
        self.mark_up()

    def connections_in_use(self) -> int:
        """Return the number of requests and transfers that each have a connection to the origin."""
        return len(self.in_flight) + len(self.transfers)

    def note_unanswered(self, number: int) -> None:
        """Raise the average response time after an attempt that is withdrawn without a response.

        The response would have taken even longer than the attempt has waited.
        """
        if number not in self.in_flight:
            return
        waited = self.context.clock.now() - self.in_flight[number]
        if waited > self.usual_seconds:
            self.usual_seconds += NEWEST_SAMPLE_WEIGHT * (waited - self.usual_seconds)

    def expected_seconds(self) -> float:
        """Return the expected seconds to the next response.

        The estimate decays without responses, so that an endpoint that was slow long ago is tried again.
        """
        idle = self.context.clock.now() - self.answered_at
        return self.usual_seconds * float(0.5 ** (idle / HALF_LIFE_SECONDS))

    def is_unresponsive(self) -> bool:
        """Return whether an attempt in flight has waited much longer than the average response time."""
        oldest = min(self.in_flight.values(), default=None)
        limit = max(UNRESPONSIVE_LEAST_SECONDS, UNRESPONSIVE_FACTOR * self.usual_seconds)
        return oldest is not None and self.context.clock.now() - oldest > limit

    def is_cold(self) -> bool:
        """Return whether the endpoint is in slow start."""
        return self.origin.state == "cold" or self.context.clock.now() < self.cold_until

    async def acquire(
        self, timeout_seconds: float, request_id: str, connection_limit: int | None = None
    ) -> exchange.Exchange:
        """Return a connection on which the response to one request can be told from all others.

        Args:
            timeout_seconds: The time limit for opening a connection; `CONNECT_TIMEOUT_SECONDS` if that is
                less.
            request_id: The id of the request, which the connection has not carried before; empty if the
                request has none, and so needs a connection that has carried nothing.
            connection_limit: How many connections this node may have to the endpoint; None for any number.

        Raises:
            NotSentError: No connection could be opened, and the endpoint is now marked as down.
        """
        found = self.take_idle(request_id)
        if found is not None:
            return found
        self.make_room(connection_limit)
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, timeout_seconds)):
                connection = await self.connect(self.origin.host, self.origin.port)
        except (OSError, TimeoutError) as error:
            self.mark_down(repr(error))
            raise errors.NotSentError(f"origin {self.instance} accepts no connection") from None
        self.context.counters.add("origin_connections", service=self.origin.service)
        return connection

    def take_idle(self, request_id: str) -> exchange.Exchange | None:
        """Take the idle connection that was used last and may carry a request; None if there is none."""
        for connection in self.idle[::-1]:
            if not connection.is_usable():
                self.idle.remove(connection)
                connection.close()
            elif connection.history.may_carry(request_id):
                self.idle.remove(connection)
                return connection
        return None

    def make_room(self, connection_limit: int | None) -> None:
        """Close the idle connection that was used least recently if one more would exceed the limit."""
        if connection_limit is None or not self.idle:
            return
        # The attempt that needs the connection is in use already.
        if len(self.idle) + self.connections_in_use() > connection_limit:
            self.idle.pop(0).close()

    def release(self, connection: exchange.Exchange) -> None:
        """Return a connection to the idle ones if it can carry another request; close it otherwise."""
        connection.may_have_sent = False
        if connection.is_open and not self.is_removed:
            self.idle.append(connection)
        else:
            connection.close()

    def mark_up(self) -> None:
        """Mark the endpoint as up after a response."""
        self.is_down = False
        self.backoff = BACKOFF_SECONDS

    def mark_down(self, why: str) -> None:
        """Mark the endpoint as down after a failure; it only gets probes until one of them succeeds."""
        if not self.is_down:
            event_log.record("origin-down", origin=self.instance, why=why)
        self.is_down = True
        self.down_until = self.context.clock.now() + self.backoff
        self.backoff = min(BACKOFF_LIMIT_SECONDS, 2 * self.backoff)

    def close(self) -> None:
        """Close the idle connections of an origin that is no longer listed."""
        self.is_removed = True
        for connection in self.idle:
            connection.close()
        self.idle.clear()
