"""Errors as typed kinds: each has a code, an HTTP status and a message that names the remedy."""

# Kinds that may travel between processes, by code: all whose constructor takes a message alone.
REGISTRY: dict[str, type["IrisError"]] = {}


class IrisError(Exception):
    """Root of all kinds. `code` is stable and meant for programs, `remedy` for people."""

    code = "irisstand"
    status = 500
    remedy = "look at the log ring of the node that answered"
    # Seconds to Retry-After, where the raiser knows no better.
    default_retry_after = 0.0

    def __init__(self, message: str = "", remedy: str = "", retry_after: float = 0.0) -> None:
        super().__init__(message or self.code)
        self.remedy = remedy or type(self).remedy
        self.retry_after = retry_after or type(self).default_retry_after

    def __init_subclass__(cls) -> None:
        if "__init__" not in vars(cls):
            REGISTRY[cls.code] = cls

    def as_tuple(self) -> tuple:
        return (self.code, str(self), self.remedy, self.retry_after)

    def as_object(self) -> dict:
        return {"code": self.code, "message": str(self), "remedy": self.remedy}


class SettingsError(IrisError):
    code, status = "boot-fault", 500
    remedy = "correct the named settings and start again"

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class MalformedFrameError(IrisError):
    code, status, remedy = "bad-frame", 400, "speak this protocol's version, within the size limit"
    drop_reason = "BadFrame"


class NotSentError(IrisError):
    """Certain: not one byte of the request has left. Another peer may be asked."""

    code, status, remedy = "unreached", 503, "ask another colleague"
    default_retry_after = 1.0


class UnansweredError(IrisError):
    """The request left and no result came: nobody here knows whether it ran."""

    code, status, remedy = "unanswered", 504, "ask again later; do not assume that it did not run"
    default_retry_after = 1.0


class OutcomeUnknownError(IrisError):
    code, status = "outcome-unknown", 504
    default_retry_after = 5.0
    remedy = "it may or may not have run: look at the origin before sending it again"


class StaleConfigurationError(IrisError):
    code, status, remedy = "stale-blueprint", 503, "try another node; this one has lost the core"
    default_retry_after = 2.0


class UnknownPathError(IrisError):
    code, status, remedy = "unknown-path", 404, "ask for a path that the blueprint grants"


class MethodNotAllowedError(IrisError):
    code, status, remedy = "method-rejected", 405, "use a method that the path's grant entries name"


class DeadlineExceededError(IrisError):
    code, status, remedy = "deadline-passed", 504, "ask again; a read is safe to repeat"
    default_retry_after = 1.0


class LimitExceededError(IrisError):
    code, status, remedy = "over-ceiling", 503, "wait for Retry-After seconds"
    default_retry_after = 1.0


class SlowStartError(IrisError):
    """All origins that are left are in slow start, and what they may get is taken up."""

    code, status, remedy = "warming-up", 503, "wait for Retry-After seconds; the origins take more by and by"
    default_retry_after = 1.0


class NoQuotaShareError(IrisError):
    """This shield holds no part of the service's ceiling just now; another one does."""

    code, status, remedy = "no-share", 503, "wait for Retry-After seconds; shares are being handed over"
    default_retry_after = 2.0


class NoOriginError(IrisError):
    code, status = "no-origin", 503
    default_retry_after = 2.0
    remedy = "wait for Retry-After seconds; no origin of the service is usable"


class OriginFailedError(IrisError):
    """The request went to an origin, which gave no answer: unlike no-origin, it may have run there."""

    code, status, remedy = "origin-failed", 502, "ask again; a read is safe to repeat"
    default_retry_after = 1.0


class NoShieldError(IrisError):
    code, status, remedy = "no-shield", 503, "wait for Retry-After seconds; no shield is reachable"
    default_retry_after = 2.0


class DrainingError(IrisError):
    code, status, remedy = "draining", 503, "ask another node; this one is shutting down"
    default_retry_after = 1.0


class SiteEvacuatedError(IrisError):
    code, status, remedy = "site-evacuated", 503, "ask an edge of another site"
    default_retry_after = 5.0


class InsufficientCapacityError(IrisError):
    code, status = "cannot-carry", 409
    remedy = "wake or mend machines first, or send the order with insist=true"

    def __init__(self, message: str, figures: dict) -> None:
        super().__init__(message)
        self.figures = figures

    def as_object(self) -> dict:
        return {**super().as_object(), "figures": self.figures}


class UnsealedResultError(IrisError):
    code, status, remedy = "unsealed-result", 502, "mend the origin: its answer was not whole or not sealed"
    default_retry_after = 1.0


class WrongServiceError(IrisError):
    code, status, remedy = "wrong-service", 502, "the address belongs to another service; mend the roster"
    default_retry_after = 2.0


class InvalidChangeError(IrisError):
    code, status, remedy = "bad-change", 422, "correct every fault listed and send the change again"

    def __init__(self, faults: list[dict]) -> None:
        super().__init__(f"{len(faults)} fault(s), nothing was changed")
        self.faults = faults

    def as_object(self) -> dict:
        return {**super().as_object(), "faults": self.faults}


class StaleVersionError(IrisError):
    code, status = "stale-serial", 409
    remedy = "read the row again, and send the change with the serial in force"

    def __init__(self, conflicts: list[dict]) -> None:
        super().__init__("another change came first, nothing was changed")
        self.conflicts = conflicts

    def as_object(self) -> dict:
        return {**super().as_object(), "conflicts": self.conflicts}


class NoQuorumError(IrisError):
    """Raised only before any voter was sent the batch: certainly not accepted."""

    code, status, remedy = "no-majority", 503, "nothing was changed; send it again when the core is whole"
    default_retry_after = 2.0


class ChangeOutcomeUnknownError(IrisError):
    code, status = "outcome-unknown", 503
    default_retry_after = 1.0
    remedy = "send the same change id again: it returns the one true result"


class KeyClaimedError(IrisError):
    """A keyed write that another request has claimed; `claim` says what became of it."""

    code, status, remedy = "claimed", 409, "wait for the first request's outcome"

    def __init__(self, claim: dict) -> None:
        super().__init__("another request with this key came first")
        self.claim = claim


class KeyReusedError(IrisError):
    code, status, remedy = "key-reused", 422, "use a new Idempotency-Key for another request"


class KeyNotClaimedError(IrisError):
    """The key could not be claimed, so the write was not sent on."""

    code, status, remedy = "no-claim", 503, "wait for Retry-After seconds; the core could not record the key"
    default_retry_after = 1.0


class TableFullError(IrisError):
    """Nothing that is still to be remembered is forgotten to make room."""

    code, status = "table-full", 503
    default_retry_after = 60.0
    remedy = "wait for Retry-After seconds; the oldest will be gone by then"


class PortTakenError(IrisError):
    code, status, remedy = "port-taken", 500, "free the port or name another"


class NotBootstrappedError(IrisError):
    code, status, remedy = "not-founded", 503, "wait until all founding cores have met"
    default_retry_after = 1.0


class DiskFullError(IrisError):
    code, status, remedy = "disk-full", 503, "free space in the data folder; the node votes again by itself"
    default_retry_after = 10.0


class TornFileError(IrisError):
    code, status, remedy = "torn-file", 500, "none needed: it was put aside and is mended from peers"


class UnknownNameError(IrisError):
    code, status, remedy = "unknown-name", 404, "use one of the names listed"


class BadRequestError(IrisError):
    code, status, remedy = "bad-request", 400, "send what the operators' page describes"


def from_tuple(parts: tuple) -> IrisError:
    """Rebuild an error that a peer sent.

    >>> from_tuple(("no-origin", "none", "wait", 1.0)).status
    503
    """
    code, message, remedy, retry_after = parts
    return REGISTRY.get(code, IrisError)(message, remedy, retry_after)
