"""Orders on idempotency keys: a keyed write is claimed before it runs, and its result recorded after it."""

import dataclasses
import enum
import typing

from irisstand import errors
from irisstand.controlplane.changes import table_overlay, table_time

# Keys that are remembered; at the limit new keys are refused until the oldest expire.
CLAIMS_LIMIT = 50_000
CLAIM_PREFIX = "claim"


class ClaimState(enum.StrEnum):
    """What became of a keyed write, with the names that the stored rows use."""

    CLAIMED = "claimed"
    DONE = "done"


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """The stored row of an idempotency key.

    Attributes:
        attempt: The attempt that claimed the key.
        fingerprint: What identifies the request's content, so that a key is not used for two requests.
        state: Whether the write is still under way.
        result: The write's result, None until there is one.
    """

    attempt: str
    fingerprint: typing.Any
    state: str = ClaimState.CLAIMED
    result: typing.Any = None

    @classmethod
    def from_value(cls, value: dict[str, typing.Any] | None) -> "ClaimRecord | None":
        """Read a stored row, None if there is none."""
        if value is None:
            return None
        return cls(value["by"], value["print"], value["state"], value.get("result"))

    def to_value(self) -> dict[str, typing.Any]:
        """Return the row to store."""
        value = {"by": self.attempt, "print": self.fingerprint, "state": str(self.state)}
        return value if self.result is None else {**value, "result": self.result}


class KeyClaim(typing.NamedTuple):
    """A claim of an idempotency key by one attempt at a write."""

    key: str
    attempt: str
    fingerprint: typing.Any

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "KeyClaim":
        """Read an order's payload; raise TypeError if it has another length."""
        return cls(*payload)


class KeyResult(typing.NamedTuple):
    """The result of a claimed write; `result` None gives the claim back, as the write did not run."""

    key: str
    attempt: str
    result: typing.Any

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "KeyResult":
        """Read an order's payload; raise TypeError if it has another length."""
        return cls(*payload)


def plan_claim(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the claim of a key for one attempt.

    Raises:
        KeyClaimedError: Another attempt claimed the key; the error carries what became of it.
        TableFullError: So many keys are remembered that a new one has to wait.
    """
    claim = KeyClaim.from_wire(payload)
    key = f"{CLAIM_PREFIX}/{claim.key}"
    stored = overlay.value(key)
    record = ClaimRecord.from_value(stored)
    if record is not None and record.attempt != claim.attempt:
        raise errors.KeyClaimedError(stored)
    if record is None:
        table_time.check_capacity(overlay, CLAIM_PREFIX, CLAIMS_LIMIT)
    return {key: ClaimRecord(claim.attempt, claim.fingerprint).to_value()}


def plan_result(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the result of a claimed write, or the return of its claim.

    Nothing is written if the key is not claimed by this attempt, or has its result already.
    """
    outcome = KeyResult.from_wire(payload)
    key = f"{CLAIM_PREFIX}/{outcome.key}"
    record = ClaimRecord.from_value(overlay.value(key))
    if record is None or record.attempt != outcome.attempt or record.state != ClaimState.CLAIMED:
        return {}
    if outcome.result is None:
        return {key: None}
    settled = dataclasses.replace(record, state=ClaimState.DONE, result=outcome.result)
    return {key: settled.to_value()}
