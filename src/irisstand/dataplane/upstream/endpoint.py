"""One origin's instance as an edge reaches it: its connections, and what the traffic tells of it."""

import asyncio

from irisstand import errors, event_log, node_context
from irisstand.dataplane.routing import snapshot
from irisstand.dataplane.upstream import exchange

CONNECT_PATIENCE = 0.4
# Seconds until an origin that could not be reached is probed, doubled with each failure.
BACKOFF, BACKOFF_LIMIT = 0.25, 2.0
# Of the time that an answer took, how much the newest counts.
NEWEST = 0.2
FIRST_GUESS = 0.08
# Seconds without an answer in which half of what is known of an origin's time is forgotten.
HALF_LIFE = 1.0
# An origin that let a request wait for so many times its usual time is left alone while others answer.
DOUBT = 4.0
DOUBT_LEAST = 0.25


class Endpoint:
    """One origin's instance: its health comes from requests, and from probes only while it gets none."""

    def __init__(
        self,
        context: node_context.NodeContext,
        origin: snapshot.Origin,
        connect: exchange.Connect,
    ) -> None:
        self.context, self.origin, self.connect = context, origin, connect
        self.idle: list[exchange.Exchange] = []
        self.started: dict[int, float] = {}
        self.number = 0
        self.usual = FIRST_GUESS
        self.answered_at = context.clock.now()
        self.down_until, self.backoff = 0.0, BACKOFF
        self.full_until = 0.0
        self.is_down, self.gone = False, False
        self.cold_until = 0.0

    @property
    def instance(self) -> str:
        return self.origin.key.removeprefix("origin/")

    def begin(self) -> int:
        self.number += 1
        self.started[self.number] = self.context.clock.now()
        return self.number

    def finish(self, number: int, answered: bool) -> None:
        took = self.context.clock.now() - self.started.pop(number)
        if answered:
            self.usual += NEWEST * (took - self.usual)
            self.answered_at = self.context.clock.now()
            self.is_down, self.backoff = False, BACKOFF

    def expected(self) -> float:
        """Seconds that the next answer may take: what was slow long ago is worth another look."""
        idle = self.context.clock.now() - self.answered_at
        return self.usual * 0.5 ** (idle / HALF_LIFE)

    def is_doubtful(self) -> bool:
        oldest = min(self.started.values(), default=None)
        limit = max(DOUBT_LEAST, DOUBT * self.usual)
        return oldest is not None and self.context.clock.now() - oldest > limit

    def is_cold(self) -> bool:
        return self.origin.state == "cold" or self.context.clock.now() < self.cold_until

    async def take(self, patience: float, is_fresh: bool = False) -> exchange.Exchange:
        """A connection for one request. Its failure touches nothing, and marks the origin as down.

        `is_fresh` asks for one that has carried no request yet, as one that bears no id needs.
        """
        while self.idle and not is_fresh:
            line = self.idle.pop()
            if line.is_usable():
                return line
            line.close()
        try:
            async with asyncio.timeout(min(CONNECT_PATIENCE, patience)):
                line = await self.connect(self.origin.host, self.origin.port)
        except (OSError, TimeoutError) as error:
            self.fail(repr(error))
            raise errors.NotSentError(f"the origin {self.instance} takes no connection") from None
        self.context.counters.add("origin_connections", service=self.origin.service)
        return line

    def give_back(self, line: exchange.Exchange) -> None:
        line.touched = False
        if line.alive and not self.gone:
            self.idle.append(line)
        else:
            line.close()

    def fail(self, why: str) -> None:
        if not self.is_down:
            event_log.record("origin-down", origin=self.instance, why=why)
        self.is_down = True
        self.down_until = self.context.clock.now() + self.backoff
        self.backoff = min(BACKOFF_LIMIT, 2 * self.backoff)

    def end(self) -> None:
        self.gone = True
        for line in self.idle:
            line.close()
        self.idle.clear()
