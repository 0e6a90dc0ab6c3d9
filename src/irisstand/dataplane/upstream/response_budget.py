"""What a response of an origin holds of the budget of the process while it is being received."""

from irisstand import resource_budget
from irisstand.dataplane.upstream import response_stream

# The allocator gives a body that grows an eighth more than its length.
GROWTH_RESERVE_DIVISOR = 8


class ResponseBudget:
    """Reads a response no faster than there is room for its body.

    Args:
        budget: The budget of the process; None if the response does not count.
        connection: The connection to the origin.
    """

    def __init__(
        self, budget: resource_budget.ResourceBudget | None, connection: response_stream.OriginConnection
    ) -> None:
        self.budget = budget
        self.connection = connection
        self.holding = None if budget is None else budget.open()
        self.is_waiting = False

    def hold(self, size: int, received: int) -> None:
        """Hold a number of bytes for the body; read on only once there is room for them.

        Args:
            size: The bytes of the body as far as it is known.
            received: The bytes of the body that have arrived.

        Raises:
            ValueError: The body is larger than the whole budget.
        """
        size += size // GROWTH_RESERVE_DIVISOR
        if self.budget is None or self.holding is None or size <= self.holding.size:
            return
        if size > self.budget.limit:
            raise ValueError("the response body is larger than the memory for responses")
        if not self.is_waiting and self.budget.set_when_possible(self.holding, size, self.resume_reading):
            return
        # What has arrived before reading stops is there all the same.
        self.holding.set(max(self.holding.size, received))
        if not self.is_waiting:
            self.is_waiting = True
            self.connection.pause_reading()

    def resume_reading(self) -> None:
        """Read on, now that there is room for the body."""
        self.is_waiting = False
        self.connection.resume_reading()

    def hand_over(self, body: bytes) -> None:
        """Count the complete body until the connection that it is sent on counts it."""
        if self.budget is not None:
            self.budget.bodies.hand_over(body)
        self.release()

    def release(self) -> None:
        """Hold nothing, until the next response."""
        if self.holding is not None:
            self.holding.try_set(0)

    def close(self) -> None:
        """Hold nothing any more, as the connection has ended."""
        if self.holding is not None:
            self.holding.close()
