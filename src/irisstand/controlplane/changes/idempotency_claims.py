"""Orders on idempotency keys: claiming a key before its request runs, and recording the result."""

import dataclasses
import enum
import typing

from irisstand import errors
from irisstand.controlplane.changes import table_overlay, table_time

# How many idempotency keys are stored at most; at the limit new keys are refused until the oldest expire.
CLAIMS_LIMIT = 50_000
CLAIM_PREFIX = "claim"


class ClaimState(enum.StrEnum):
    """The state of a request with an idempotency key; the values are those of the stored rows."""

    CLAIMED = "claimed"
    DONE = "done"


@dataclasses.dataclass(frozen=True)
class ClaimRecord:
    """The stored row of an idempotency key.

    Attributes:
        attempt: The id of the attempt that claimed the key.
        fingerprint: Identifies the content of the request, to detect a key that is used for two requests.
        state: `CLAIMED` while the request runs, `DONE` once its result is recorded.
        result: The result of the request, None until it is recorded.
    """

    attempt: str
    fingerprint: typing.Any
    state: str = ClaimState.CLAIMED
    result: typing.Any = None

    @classmethod
    def from_value(cls, value: dict[str, typing.Any] | None) -> "ClaimRecord | None":
        """Parse the stored value of an idempotency key; return None if there is no value."""
        if value is None:
            return None
        return cls(value["by"], value["print"], value["state"], value.get("result"))

    def to_value(self) -> dict[str, typing.Any]:
        """Return the value to store for this idempotency key."""
        value = {"by": self.attempt, "print": self.fingerprint, "state": str(self.state)}
        return value if self.result is None else {**value, "result": self.result}


class KeyClaim(typing.NamedTuple):
    """A claim of an idempotency key by one attempt to run its request.

    Attributes:
        key: The idempotency key.
        attempt: The id of the attempt.
        fingerprint: Identifies the content of the request.
    """

    key: str
    attempt: str
    fingerprint: typing.Any

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "KeyClaim":
        """Parse the payload of a key claim; raise TypeError if it has the wrong length."""
        return cls(*payload)


class KeyResult(typing.NamedTuple):
    """The result of the request whose attempt claimed an idempotency key.

    Attributes:
        key: The idempotency key.
        attempt: The id of the attempt that claimed the key.
        result: The result of the request; None releases the claim, as the request did not run.
    """

    key: str
    attempt: str
    result: typing.Any

    @classmethod
    def from_wire(cls, payload: typing.Any) -> "KeyResult":
        """Parse the payload of a key result; raise TypeError if it has the wrong length."""
        return cls(*payload)


def plan_claim(overlay: table_overlay.Overlay, payload: typing.Any) -> table_overlay.PlannedRows:
    """Plan the claim of an idempotency key for one attempt.

    Raises:
        KeyClaimedError: Another attempt claimed the key; the error carries the stored row of that claim.
        TableFullError: `CLAIMS_LIMIT` keys are stored, so no new key can be claimed until the oldest expires.
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
    """Plan the recording of a claimed request's result, or the release of its claim.

    Nothing is written if this attempt does not hold the claim, or if the key already has its result.
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
