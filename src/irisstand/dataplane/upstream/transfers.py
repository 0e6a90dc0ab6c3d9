"""The large bodies that a node passes on to and from one origin, and how they leave connections to others."""

import typing

from irisstand import transfer_speed


class Transfer(typing.Protocol):
    """A large body that is being passed on, and keeps a connection to the origin until its end.

    Attributes:
        speed: How fast its client moves bytes.
    """

    speed: transfer_speed.TransferSpeed

    def evict(self) -> None:
        """Give up the transfer and its connection."""
        ...


class Transfers:
    """The transfers of one endpoint, by the numbers of their attempts.

    Clients decide how long a transfer takes. So that slow ones don't use up the connections to an origin, the
    slowest transfer makes room when there are too many.
    """

    def __init__(self) -> None:
        self.by_number: dict[int, Transfer] = {}

    def __len__(self) -> int:
        """Return the number of transfers."""
        return len(self.by_number)

    def add(self, number: int, transfer: Transfer, limit: int) -> None:
        """Add a transfer; if there are more than `limit` then, the slowest of the others is evicted."""
        if len(self.by_number) >= limit:
            slowest = min(self.by_number, key=lambda other: self.by_number[other].speed.recent_bytes())
            self.by_number.pop(slowest).evict()
        self.by_number[number] = transfer

    def remove(self, number: int) -> None:
        """Remove a transfer that has ended; it may be removed already."""
        self.by_number.pop(number, None)
