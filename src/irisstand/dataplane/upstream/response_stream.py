"""The body of a large response that is passed on while it arrives, of which only a window is held."""

import asyncio
import collections.abc
import enum
import typing

from irisstand import errors, event_log, resource_budget, transfer_speed
from irisstand.http1 import body_source

# Reading from the origin stops while this much has arrived that the client has not taken.
WINDOW_BYTES = 128 * 1024
# Reading goes on once no more than this is left.
RESUME_BYTES = 32 * 1024
# What a stream counts at least: the window, and what one read from the socket can add to it. The beginning of
# a body without a length is larger, as it was to be held whole.
STREAM_BYTES = 3 * WINDOW_BYTES
# The largest response, whatever length it announces.
BODY_LIMIT_BYTES = 64 * 1024 * 1024
# A stream that nobody begins to read for this long is given up, like the slower one of two hedged attempts.
CLAIM_SECONDS = 5.0
# It is checked this often in that time: a process that stood still resumes with its timers, and whoever is
# about to claim the stream comes after the first one.
CLAIM_CHECKS = 2


class GiveUpReason(enum.Enum):
    """Why the rest of a response's body is not wanted any more."""

    # The attempt has ended without passing the body on.
    ATTEMPT_ENDED = "attempt-ended"
    # Nobody began to read the body.
    NOT_CLAIMED = "not-claimed"
    # Another response was used, or the request was cancelled.
    UNUSED = "unused"
    # The body made room for others.
    EVICTED = "evicted"
    # Its reader has ended, which may have read all of it.
    CLOSED = "closed"


class OriginConnection(typing.Protocol):
    """The connection to the origin, as a stream controls it."""

    def pause_reading(self) -> None:
        """Stop reading from the origin."""
        ...

    def resume_reading(self) -> None:
        """Read on from the origin."""
        ...

    def abort(self) -> None:
        """Reset the connection."""
        ...


class ResponseStream:
    """A response body between its origin and the one client that it is passed on to (a `BodySource`).

    Args:
        length: The announced length in bytes; None for a chunked body.
        connection: The connection to the origin.
        budget: The budget in which the window counts; None if it does not count.

    Attributes:
        on_end: Called once, when nothing more is read from the origin for this body.
        speed: How fast the client takes the body.
    """

    def __init__(
        self,
        length: int | None,
        connection: OriginConnection,
        budget: resource_budget.ResourceBudget | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.length = length
        self.retained_bytes = STREAM_BYTES
        self.connection = connection
        self.budget = budget
        self.holding = None if budget is None else budget.open()
        if self.holding is not None:
            self.holding.set(STREAM_BYTES)
        self.speed = transfer_speed.TransferSpeed(loop.time)
        self.buffer = bytearray()
        self.received = 0
        self.arrived = asyncio.Event()
        self.has_ended = False
        self.error: errors.IrisError | None = None
        self.on_end: collections.abc.Callable[[], None] | None = None
        self.is_claimed = False
        self.claim_timer: asyncio.TimerHandle | None = None
        self.offer()

    # -- from the origin -----------------------------------------------------------------------------
    def feed(self, data: bytes) -> None:
        """Add bytes that have arrived.

        Raises:
            ValueError: The body is over the size limit.
        """
        if self.has_ended:
            return
        self.received += len(data)
        if self.received > BODY_LIMIT_BYTES:
            raise ValueError("the response body is over the size limit")
        self.buffer += data
        self._count()
        self.arrived.set()
        if len(self.buffer) >= WINDOW_BYTES:
            self.connection.pause_reading()

    def finish(self) -> None:
        """Note that the body is complete."""
        self._end(None)

    def fail(self, error: errors.IrisError) -> None:
        """Note that the rest of the body will not come; does nothing if the body is complete."""
        self._end(error)

    # -- to the client -------------------------------------------------------------------------------
    def offer(self) -> None:
        """Let the stream be given up if nobody claims it for `CLAIM_SECONDS`."""
        self.hold()
        if not self.is_claimed:
            self._start_claim_timer(CLAIM_CHECKS)

    def hold(self) -> None:
        """Keep the stream, which is not to be read yet, until it is offered or closed."""
        if self.claim_timer is not None:
            self.claim_timer.cancel()
            self.claim_timer = None

    def claim(self) -> bool:
        """Take the stream in order to read it; return whether nobody has taken it or given it up."""
        self.hold()
        is_first = not self.is_claimed
        self.is_claimed = True
        return is_first

    async def read(self) -> bytes:
        """Return the next piece, or nothing at the end of the body.

        Raises:
            errors.OriginFailedError: The origin ended the response early, or it was given up here.
        """
        while not self.buffer:
            if self.error is not None:
                raise self.error.copy()
            if self.has_ended:
                return b""
            self.arrived.clear()
            await self.arrived.wait()
        piece = bytes(self.buffer[: body_source.PIECE_BYTES])
        del self.buffer[: len(piece)]
        self._count()
        self.speed.add(len(piece))
        if len(self.buffer) <= RESUME_BYTES and not self.has_ended:
            self.connection.resume_reading()
        return piece

    def evict(self) -> None:
        """Give up the rest of the body to make room for others; the reader gets an error."""
        self._record_given_up(GiveUpReason.EVICTED)
        self._give_up("the response made room for others")

    def close(self, reason: GiveUpReason = GiveUpReason.CLOSED) -> None:
        """Give up what was not read; resets the connection to the origin unless the body is complete."""
        self._record_given_up(reason)
        self.claim()
        self._give_up("the response was not read")
        if self.buffer:
            # Without its last bytes, the body is not whole for whoever reads on.
            self.error = errors.OriginFailedError("the response was given up before all of it was read")
            self.buffer = bytearray()
        if self.holding is not None:
            self.holding.close()

    def _count(self) -> None:
        """Count what the stream holds."""
        size = max(STREAM_BYTES, len(self.buffer))
        if size != self.retained_bytes:
            self.retained_bytes = size
            if self.holding is not None:
                self.holding.set(size)

    def _start_claim_timer(self, checks_left: int) -> None:
        loop = asyncio.get_running_loop()
        self.claim_timer = loop.call_later(CLAIM_SECONDS / CLAIM_CHECKS, self._check_claim, checks_left - 1)

    def _check_claim(self, checks_left: int) -> None:
        if checks_left:
            self._start_claim_timer(checks_left)
        else:
            self.close(GiveUpReason.NOT_CLAIMED)

    def _record_given_up(self, reason: GiveUpReason) -> None:
        """Record that bytes of the body are given up, if some have not arrived or were not read."""
        if self.has_ended and not self.buffer:
            return
        if self.budget is not None:
            self.budget.counters.add("bodies_given_up", reason=reason.value)
        event_log.record(
            "body-given-up",
            reason=reason.value,
            received=self.received,
            unread=len(self.buffer),
            ended=self.has_ended,
            claimed=self.is_claimed,
        )

    def _give_up(self, why: str) -> None:
        if not self.has_ended:
            self.error = errors.OriginFailedError(why)
            # The connection is closed when it is released by the end of the stream.
            self.connection.abort()
            self._end(None)

    def _end(self, error: errors.IrisError | None) -> None:
        if self.has_ended:
            return
        self.has_ended = True
        self.error = self.error or error
        self.arrived.set()
        if self.on_end is not None:
            self.on_end()
            # It refers to the attempt, which refers to this stream.
            self.on_end = None
