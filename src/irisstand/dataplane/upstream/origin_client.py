"""Sends a shield's attempts to origins, within the service's limits and over confirmed connections."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.balancing import service_limits
from irisstand.dataplane.cache import objects
from irisstand.dataplane.retry import events, forwarding_policy
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import attempt_tasks, connections, origin_connections, origin_pool

# How long a request waits at one shield for the service's limits. Even three such waits are well below the
# timeout of any client.
QUEUE_TIMEOUT_SECONDS = 0.25
# A request waits for at most its remaining time divided by this number.
QUEUE_REMAINING_DIVISOR = 3
QUEUE_POLL_SECONDS = 0.01
MINIMUM_TIMEOUT_SECONDS = 0.01
# Errors that don't show that an origin is unhealthy: a limit of this node, a change of the configuration, or
# an idle connection that the origin has closed, about which the next probe will tell more.
HEALTH_NEUTRAL_ERRORS = (
    errors.LimitExceededError,
    errors.StaleConfigurationError,
    errors.NoQuotaShareError,
    connections.ConnectionReopenedError,
)

Event = events.ResponseReceived[connections.Answer] | events.AttemptFailed | events.NoEndpoint


class OriginRequest(typing.NamedTuple):
    """A request to an origin.

    Attributes:
        method: The HTTP method.
        target: The path with the query.
        headers: The headers to send, without the request id.
        body: The request body.
        request_id: The id that the response must bear.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    request_id: str


class Slot(typing.NamedTuple):
    """The admission of one request by this shield's quota share of a service's limits.

    Attributes:
        share: The limiter of the quota share that admitted the request.
        entered_at: The time of the admission.
    """

    share: service_limits.QuotaShareLimiter
    admitted_at: float


class Attempt:
    """An attempt at an origin, with the slot and the connection that it holds until it ends."""

    def __init__(self, allowed: configuration_view.AllowedRequest) -> None:
        self.allowed = allowed
        self.slot: Slot | None = None
        self.admitted_at = 0.0
        self.connection: connections.UpstreamConnection | None = None
        # The time until which the origin may process a request that was abandoned; 0 if it was not.
        self.works_until = 0.0

    @property
    def service(self) -> str:
        """The name of the service that the request is sent to."""
        return self.allowed.service

    @property
    def may_have_sent(self) -> bool:
        """Whether a byte of the request may have been sent to the origin."""
        return self.connection is not None and self.connection.may_have_sent

    @property
    def has_whole_request(self) -> bool:
        """Whether nothing more of the request has to come from its client; shields get whole requests."""
        return True

    def hold(self, slot: Slot) -> None:
        """Store the slot that the attempt holds."""
        self.slot = slot
        self.admitted_at = slot.admitted_at

    async def release(self, origin: origin_connections.OriginConnections) -> None:
        """Release the slot and return the connection to the origin's connections."""
        if self.slot is not None:
            self.slot.share.finish(self.works_until)
        if self.connection is not None:
            await origin.release(self.connection)


class OriginClient:
    """Sends a shield's requests to origins."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        origins: origin_pool.OriginPool,
    ) -> None:
        self.context = context
        self.view = view
        self.origins = origins
        self.shares: dict[str, service_limits.QuotaShareLimiter] = {}
        self.opened_at = context.clock.now()
        self.attempts = attempt_tasks.AttemptTasks(context)

    async def attempt(
        self,
        allowed: configuration_view.AllowedRequest,
        request: OriginRequest,
        retry_policy: forwarding_policy.ToOriginPolicy,
    ) -> Event:
        """Send one attempt to an origin that the request's policy has not tried yet."""
        attempt = Attempt(allowed)
        task = self.attempts.start(self.run(attempt, request, retry_policy))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self.attempts.give_up(task, attempt, retry_policy)
            raise

    async def run(
        self, attempt: Attempt, request: OriginRequest, retry_policy: forwarding_policy.ToOriginPolicy
    ) -> Event:
        """Run the attempt, and release its slot and connection however it ends."""
        allowed = attempt.allowed
        try:
            origin = self.origins.choose(allowed, retry_policy.tried)
            origin.probe = allowed.probe
            attempt.hold(await self.acquire_slot(allowed, retry_policy))
        except errors.IrisError as error:
            return events.NoEndpoint(error)
        try:
            return await self.send(attempt, origin, request, retry_policy)
        except (TimeoutError, asyncio.CancelledError) as error:
            # The request is abandoned but the origin may still process it, so it counts as in flight for as
            # long as that may take.
            if attempt.may_have_sent:
                attempt.works_until = attempt.admitted_at + service_limits.origin_work_seconds(
                    allowed.deadline
                )
            if isinstance(error, asyncio.CancelledError):
                raise
            origin.set_health(is_healthy=origin.is_healthy and attempt.may_have_sent, why=repr(error))
            return self.failed(attempt, origin, error)
        except origin_connections.FAILURES as error:
            if not isinstance(error, HEALTH_NEUTRAL_ERRORS):
                # A response without a valid digest concerns one request only, while a broken connection shows
                # that the origin is down.
                is_unsealed = isinstance(error, errors.ResponseIntegrityError)
                origin.set_health(is_healthy=origin.is_healthy and is_unsealed, why=repr(error))
            return self.failed(attempt, origin, error)
        finally:
            await attempt.release(origin)

    async def send(
        self,
        attempt: Attempt,
        origin: origin_connections.OriginConnections,
        request: OriginRequest,
        retry_policy: forwarding_policy.ToOriginPolicy,
    ) -> Event:
        """Send the request over a connection to the attempt's origin, and check the response's digest."""
        allowed = attempt.allowed
        connection = await origin.acquire(max(MINIMUM_TIMEOUT_SECONDS, retry_policy.remaining()))
        attempt.connection = connection
        connection.may_have_sent = False
        await self.renew_slot(attempt, retry_policy)
        # The configuration may have changed since the origin was chosen.
        self.view.check_current()
        self.check_authorization(allowed, request)
        if not self.origins.is_usable(origin):
            raise errors.StaleConfigurationError(f"origin {origin.instance} may not be used any more")
        headers = {**request.headers, "X-Request-Id": request.request_id}
        timeout = max(MINIMUM_TIMEOUT_SECONDS, retry_policy.remaining())
        answer = await connection.send(request.method, request.target, headers, request.body, timeout)
        try:
            objects.check_integrity(answer.headers, answer.body, request.request_id)
        except errors.ResponseIntegrityError:
            # If this was a late response to an earlier request, the next request would get this one's.
            await connection.close()
            raise
        self.context.counters.add("origin_requests", service=allowed.service, method=request.method)
        return events.ResponseReceived(answer, origin.instance)

    async def renew_slot(self, attempt: Attempt, retry_policy: forwarding_policy.ToOriginPolicy) -> None:
        """Replace the attempt's slot if it is old, since the rate limit counts the time of sending."""
        while attempt.slot is not None and not attempt.slot.share.is_admission_valid(
            attempt.slot.admitted_at
        ):
            attempt.slot.share.withdraw(attempt.slot.admitted_at)
            attempt.slot = None
            attempt.hold(await self.acquire_slot(attempt.allowed, retry_policy))

    def failed(
        self, attempt: Attempt, origin: origin_connections.OriginConnections, error: BaseException
    ) -> events.AttemptFailed:
        """Count a failed attempt and return it as an event of the retry policy."""
        may_have_run = attempt.may_have_sent
        self.context.counters.add("origin_failures", service=attempt.service, touched=str(may_have_run))
        iris_error = forwarding_policy.as_iris_error(error)
        return events.AttemptFailed(iris_error, origin.instance, may_have_run, may_have_run)

    def check_authorization(self, allowed: configuration_view.AllowedRequest, request: OriginRequest) -> None:
        """Check that the configuration still sends the request to the same service.

        Raises:
            StaleConfigurationError: The request now belongs to another service.
        """
        path, _, query = request.target.partition("?")
        if self.view.authorize(request.method, path, query).service != allowed.service:
            raise errors.StaleConfigurationError("the configuration changed while the request waited")

    async def acquire_slot(
        self, allowed: configuration_view.AllowedRequest, retry_policy: forwarding_policy.ToOriginPolicy
    ) -> Slot:
        """Admit a request by this shield's quota share of the service's limits, after a short wait at most.

        Raises:
            NoQuotaShareError: This shield has no quota share of the service.
            LimitExceededError: The quota share was used up during the whole wait.
        """
        rate, in_flight = self.view.quota_share(allowed.service, allowed.limit)
        if allowed.service not in self.shares:
            self.shares[allowed.service] = service_limits.QuotaShareLimiter(
                self.context.clock, self.opened_at
            )
        share = self.shares[allowed.service]
        wait_until = self.context.clock.now() + min(
            QUEUE_TIMEOUT_SECONDS, retry_policy.remaining() / QUEUE_REMAINING_DIVISOR
        )
        if not rate or not in_flight or share.may_have_earlier_requests(allowed.deadline):
            raise errors.NoQuotaShareError(f"this shield has no quota share of service {allowed.service}")
        while not share.admit(rate, in_flight):
            if self.context.clock.now() >= wait_until:
                raise errors.LimitExceededError(
                    f"service {allowed.service} is at its rate or concurrency limit"
                )
            await asyncio.sleep(QUEUE_POLL_SECONDS)
        return Slot(share, self.context.clock.now())
