"""Errors of changes to the state tables, and of the consensus that decides them."""

import typing

from irisstand.errors import base

JsonObjects = list[dict[str, typing.Any]]


class InsufficientCapacityError(base.IrisError):
    """The machines that would be left cannot carry the load. `figures` has the loads and capacities."""

    code, status = "cannot-carry", 409
    remedy = "wake or mend machines first, or send the order with insist=true"

    def __init__(self, message: str, figures: dict[str, typing.Any]) -> None:
        super().__init__(message)
        self.figures = figures

    def to_json(self) -> dict[str, typing.Any]:
        """Add the figures to the JSON object."""
        return {**super().to_json(), "figures": self.figures}


class InvalidChangeError(base.IrisError):
    """The content of a change is invalid. `faults` has one object for each fault."""

    code, status, remedy = "bad-change", 422, "correct every fault listed and send the change again"

    def __init__(self, faults: JsonObjects) -> None:
        super().__init__(f"{len(faults)} fault(s), nothing was changed")
        self.faults = faults

    def to_json(self) -> dict[str, typing.Any]:
        """Add the faults to the JSON object."""
        return {**super().to_json(), "faults": self.faults}


class StaleVersionError(base.IrisError):
    """The change names a version that is no longer in force. `conflicts` has one object for each item."""

    code, status = "stale-serial", 409
    remedy = "read the row again, and send the change with the serial in force"

    def __init__(self, conflicts: JsonObjects) -> None:
        super().__init__("another change came first, nothing was changed")
        self.conflicts = conflicts

    def to_json(self) -> dict[str, typing.Any]:
        """Add the conflicts to the JSON object."""
        return {**super().to_json(), "conflicts": self.conflicts}


class NoQuorumError(base.IrisError):
    """Raised only before any voter was sent the batch: certainly not accepted."""

    code, status, remedy = "no-majority", 503, "nothing was changed; send it again when the core is whole"
    default_retry_after = 2.0


class ChangeOutcomeUnknownError(base.IrisError):
    """The change was sent to voters, and it is not known whether it was decided."""

    code, status = "outcome-unknown", 503
    default_retry_after = 1.0
    remedy = "send the same change id again: it returns the one true result"


class TableFullError(base.IrisError):
    """The table is full, and no record that must still be kept is removed to make room."""

    code, status = "table-full", 503
    default_retry_after = 60.0
    remedy = "wait for Retry-After seconds; the oldest will be gone by then"


class NotBootstrappedError(base.IrisError):
    """The first voters have not been installed yet."""

    code, status, remedy = "not-founded", 503, "wait until all founding cores have met"
    default_retry_after = 1.0
