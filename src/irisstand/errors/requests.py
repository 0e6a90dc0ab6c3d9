"""Errors that the data plane reports to clients."""

import typing

from irisstand.errors import base


class OutcomeUnknownError(base.IrisError, is_registered=False):
    """A write was sent to an origin, and it is not known whether the origin carried it out.

    It is not registered: between nodes, its code stands for ChangeOutcomeUnknownError.
    """

    code, status = "outcome-unknown", 504
    default_retry_after = 5.0
    remedy = "it may or may not have run: look at the origin before sending it again"


class StaleConfigurationError(base.IrisError):
    """The node has not confirmed its configuration within the freshness bound."""

    code, status, remedy = "stale-blueprint", 503, "try another node; this one has lost the core"
    default_retry_after = 2.0


class UnknownPathError(base.IrisError):
    """No route of the configuration matches the path."""

    code, status, remedy = "unknown-path", 404, "ask for a path that the blueprint grants"


class MethodNotAllowedError(base.IrisError):
    """The route allows other methods only."""

    code, status, remedy = "method-rejected", 405, "use a method that the path's grant entries name"


class DeadlineExceededError(base.IrisError):
    """The deadline of the request passed before an answer came."""

    code, status, remedy = "deadline-passed", 504, "ask again; a read is safe to repeat"
    default_retry_after = 1.0


class LimitExceededError(base.IrisError):
    """A rate limit or a concurrency limit is used up."""

    code, status, remedy = "over-ceiling", 503, "wait for Retry-After seconds"
    default_retry_after = 1.0


class SlowStartError(base.IrisError):
    """All origins that are left are in slow start, and the rate that they may get is used up."""

    code, status, remedy = "warming-up", 503, "wait for Retry-After seconds; the origins take more by and by"
    default_retry_after = 1.0


class NoQuotaShareError(base.IrisError):
    """This shield has no quota share of the service's limit at the moment; another shield has one."""

    code, status, remedy = "no-share", 503, "wait for Retry-After seconds; shares are being handed over"
    default_retry_after = 2.0


class NoOriginError(base.IrisError):
    """No origin of the service is usable."""

    code, status = "no-origin", 503
    default_retry_after = 2.0
    remedy = "wait for Retry-After seconds; no origin of the service is usable"


class OriginFailedError(base.IrisError):
    """The request was sent to an origin that gave no answer; unlike no-origin, it may have run there."""

    code, status, remedy = "origin-failed", 502, "ask again; a read is safe to repeat"
    default_retry_after = 1.0


class NoShieldError(base.IrisError):
    """No shield is reachable."""

    code, status, remedy = "no-shield", 503, "wait for Retry-After seconds; no shield is reachable"
    default_retry_after = 2.0


class SiteEvacuatedError(base.IrisError):
    """The site of this edge is evacuated."""

    code, status, remedy = "site-evacuated", 503, "ask an edge of another site"
    default_retry_after = 5.0


class ResponseIntegrityError(base.IrisError):
    """The answer of an origin is incomplete, or its checksum is missing or wrong."""

    code, status, remedy = "unsealed-result", 502, "mend the origin: its answer was not whole or not sealed"
    default_retry_after = 1.0


class WrongServiceError(base.IrisError):
    """The origin at an address says that it belongs to another service."""

    code, status, remedy = "wrong-service", 502, "the address belongs to another service; mend the roster"
    default_retry_after = 2.0


class KeyClaimedError(base.IrisError):
    """Another request came first with this idempotency key. `claim` says what became of that request."""

    code, status, remedy = "claimed", 409, "wait for the first request's outcome"

    def __init__(self, claim: dict[str, typing.Any]) -> None:
        super().__init__("another request with this key came first")
        self.claim = claim


class KeyReusedError(base.IrisError):
    """The idempotency key was used before for a different request."""

    code, status, remedy = "key-reused", 422, "use a new Idempotency-Key for another request"


class KeyNotClaimedError(base.IrisError):
    """The idempotency key could not be recorded, so the write was not forwarded."""

    code, status, remedy = "no-claim", 503, "wait for Retry-After seconds; the core could not record the key"
    default_retry_after = 1.0
