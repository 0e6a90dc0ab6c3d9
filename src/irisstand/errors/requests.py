"""Errors that the data plane (edges and shields) reports to HTTP clients."""

import typing

from irisstand.errors import base


class OutcomeUnknownError(base.IrisError, is_registered=False):
    """A write was sent to an origin, and it is not known whether the origin executed it.

    This class is not in the registry: between nodes, its code stands for ChangeOutcomeUnknownError.
    """

    code, status = "outcome-unknown", 504
    default_retry_after = 5.0
    remedy = "it may or may not have run: look at the origin before sending it again"


class StaleConfigurationError(base.IrisError):
    """The configuration of a node may be outdated.

    The control plane has not confirmed it within the freshness bound, or a peer has a newer one.
    """

    code, status, remedy = "stale-blueprint", 503, "try another node; this one has lost the core"
    default_retry_after = 2.0


class UnknownPathError(base.IrisError):
    """No route of the configuration matches the path of a request."""

    code, status, remedy = "unknown-path", 404, "ask for a path that the blueprint grants"


class MethodNotAllowedError(base.IrisError):
    """The route that matches a request does not allow its method."""

    code, status, remedy = "method-rejected", 405, "use a method that the path's grant entries name"


class DeadlineExceededError(base.IrisError):
    """The deadline of a request passed before a response arrived."""

    code, status, remedy = "deadline-passed", 504, "ask again; a read is safe to repeat"
    default_retry_after = 1.0


class LimitExceededError(base.IrisError):
    """A request would exceed a rate limit or a concurrency limit."""

    code, status, remedy = "over-ceiling", 503, "wait for Retry-After seconds"
    default_retry_after = 1.0


class SlowStartError(base.IrisError):
    """All usable origins are in slow start, and a request would exceed their reduced rate limit."""

    code, status, remedy = "warming-up", 503, "wait for Retry-After seconds; the origins take more by and by"
    default_retry_after = 1.0


class NoQuotaShareError(base.IrisError):
    """This shield has no quota share of a service's rate or concurrency limit now; other shields have one."""

    code, status, remedy = "no-share", 503, "wait for Retry-After seconds; shares are being handed over"
    default_retry_after = 2.0


class NoOriginError(base.IrisError):
    """A service has no origin that may be sent requests now."""

    code, status = "no-origin", 503
    default_retry_after = 2.0
    remedy = "wait for Retry-After seconds; no origin of the service is usable"


class OriginFailedError(base.IrisError):
    """A request was sent to an origin that returned no usable response; the origin may have executed it.

    With a NoOriginError, in contrast, the request was not executed.
    """

    code, status, remedy = "origin-failed", 502, "ask again; a read is safe to repeat"
    default_retry_after = 1.0


class BodyClosedError(OriginFailedError, is_registered=False):
    """The rest of a response's body can't be read, as this node has given it up."""


class NoShieldError(base.IrisError):
    """An edge cannot forward a request, because no shield is reachable from it."""

    code, status, remedy = "no-shield", 503, "wait for Retry-After seconds; no shield is reachable"
    default_retry_after = 2.0


class SiteEvacuatedError(base.IrisError):
    """An edge refuses a request, because its site is evacuated."""

    code, status, remedy = "site-evacuated", 503, "ask an edge of another site"
    default_retry_after = 5.0


class ResponseIntegrityError(base.IrisError):
    """The response of an origin is incomplete, or its digest or request id is missing or wrong."""

    code, status, remedy = "unsealed-result", 502, "mend the origin: its answer was not whole or not sealed"
    default_retry_after = 1.0


class WrongServiceError(base.IrisError):
    """The origin at an address reports that it belongs to another service."""

    code, status, remedy = "wrong-service", 502, "the address belongs to another service; mend the roster"
    default_retry_after = 2.0


class KeyClaimedError(base.IrisError):
    """An earlier request has claimed the same idempotency key.

    Attributes:
        claim: The recorded key claim as a JSON object: who holds the key, and what became of its request.
    """

    code, status, remedy = "claimed", 409, "wait for the first request's outcome"

    def __init__(self, claim: dict[str, typing.Any]) -> None:
        super().__init__("an earlier request has claimed the same idempotency key")
        self.claim = claim


class KeyReusedError(base.IrisError):
    """A request has an idempotency key that was used before for a different request."""

    code, status, remedy = "key-reused", 422, "use a new Idempotency-Key for another request"


class KeyNotClaimedError(base.IrisError):
    """The idempotency key of a write could not be recorded, so the write was not forwarded to an origin."""

    code, status, remedy = "no-claim", 503, "wait for Retry-After seconds; the core could not record the key"
    default_retry_after = 1.0
