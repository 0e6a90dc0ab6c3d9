"""Errors of changes to the replicated tables, and of the consensus protocol that decides the changes."""

import typing

from irisstand.errors import base

JsonObjects = list[dict[str, typing.Any]]


class InsufficientCapacityError(base.IrisError):
    """The machines that would stay in use cannot carry the load.

    Attributes:
        figures: The loads and capacities by role, as the JSON object that the response carries.
    """

    code, status = "cannot-carry", 409
    remedy = "wake or mend machines first, or send the order with insist=true"

    def __init__(self, message: str, figures: dict[str, typing.Any]) -> None:
        super().__init__(message)
        self.figures = figures

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON object of the error, with the loads and capacities under `figures`."""
        return {**super().to_json(), "figures": self.figures}


class InvalidChangeError(base.IrisError):
    """The content of a change is invalid, so none of it was applied.

    Attributes:
        faults: One JSON object for each invalid field, with the field and a message.
    """

    code, status, remedy = "bad-change", 422, "correct every fault listed and send the change again"

    def __init__(self, faults: JsonObjects) -> None:
        super().__init__(f"the change has {len(faults)} fault(s); nothing was changed")
        self.faults = faults

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON object of the error, with the list of invalid fields under `faults`."""
        return {**super().to_json(), "faults": self.faults}


class StaleVersionError(base.IrisError):
    """A change expects a version of an item that is no longer in force, so none of the change was applied.

    Attributes:
        conflicts: One JSON object for each item whose version is not the expected one.
    """

    code, status = "stale-serial", 409
    remedy = "read the row again, and send the change with the serial in force"

    def __init__(self, conflicts: JsonObjects) -> None:
        super().__init__("another change was decided first; nothing was changed")
        self.conflicts = conflicts

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON object of the error, with the items of unexpected versions under `conflicts`."""
        return {**super().to_json(), "conflicts": self.conflicts}


class NoQuorumError(base.IrisError):
    """No majority of the voters is reachable.

    Raised only before a batch of changes is sent to any voter, so the change was certainly not accepted.
    """

    code, status, remedy = "no-majority", 503, "nothing was changed; send it again when the core is whole"
    default_retry_after = 2.0


class ChangeOutcomeUnknownError(base.IrisError):
    """The change was sent to voters, and it is not known whether a majority of them accepted it."""

    code, status = "outcome-unknown", 503
    default_retry_after = 1.0
    remedy = "send the same change id again: it returns the one true result"


class TableFullError(base.IrisError):
    """A table has no room for another record, and all records in it must still be kept."""

    code, status = "table-full", 503
    default_retry_after = 60.0
    remedy = "wait for Retry-After seconds; the oldest will be gone by then"


class NotBootstrappedError(base.IrisError):
    """The control plane has no voters yet: the initial set of voters has not been installed."""

    code, status, remedy = "not-founded", 503, "wait until all founding cores have met"
    default_retry_after = 1.0
