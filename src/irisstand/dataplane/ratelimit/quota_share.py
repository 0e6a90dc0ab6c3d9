"""What a node owns of a bound over the whole fleet, by its recorded units: of a service's rate, and of what a
cold origin may get in a second.
"""

import collections.abc
import math

from irisstand import node_context
from irisstand.balancing import fleet_limits, rate_quota

# A name of a bound is a service's, or this and the instance of a cold origin.
COLD = "cold "
# After a start, what the forerunner sent is not known: no cold origin gets anything.
SETTLING = 3.0
# Seconds for which a cold place is taken up: one, and for how long a lent one is good, and the way to go.
COLD_WINDOW = 1.25

Whole = collections.abc.Callable[[str], float | None]


class OwnedParts:
    """`whole` tells the bound over all by its name, None where there is none."""

    def __init__(self, context: node_context.NodeContext, whole: Whole) -> None:
        self.context, self.whole = context, whole
        self.opened_at = context.clock.now()
        self.ceilings: dict[str, fleet_limits.Ceiling] = {}
        self.cold: dict[str, fleet_limits.Window] = {}

    def units(self) -> dict[str, int]:
        row = self.context.ledger.value(rate_quota.KEY)
        return row["units"] if row else {}

    def part(self, name: str) -> float:
        """This node's part, none where its copy of the ledger was not confirmed for too long."""
        age = self.context.ledger.age(self.context.clock.now())
        whole = self.whole(name)
        if whole is None or age is None or age > rate_quota.USED_FOR:
            return 0.0
        return whole * self.units().get(self.context.settings.name, 0) / rate_quota.WHOLE

    def ceiling(self, service: str) -> fleet_limits.Ceiling:
        return self.ceilings.setdefault(service, fleet_limits.Ceiling(self.context.clock, self.opened_at))

    def window(self, name: str) -> fleet_limits.Window:
        return self.cold.setdefault(name, fleet_limits.Window(self.context.clock, COLD_WINDOW))

    def wait(self, name: str) -> float | None:
        """Seconds until the next place; None where that can't be said."""
        if not name.startswith(COLD):
            return self.ceiling(name).wait(self.part(name))
        if self.context.clock.now() - self.opened_at < SETTLING:
            return None
        return 0.0 if self.window(name).count() < math.floor(self.part(name)) else None

    def take(self, name: str, patience: float) -> float | None:
        """Seconds until a request may leave, which then has its place; None if that is over `patience`."""
        if not name.startswith(COLD):
            return self.ceiling(name).take(self.part(name), patience)
        wait = self.wait(name)
        if wait is not None:
            self.window(name).note()
        return wait
