"""Attempts of a shield at origins: each under the service's limits, over a connection that is confirmed."""

import asyncio
import typing

from irisstand import errors, node_context
from irisstand.balancing import service_limits
from irisstand.dataplane.cache import objects
from irisstand.dataplane.retry import events, forwarding_policy
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import attempt_tasks, connections, origin_connections, origin_pool

# What a request waits for its turn at one shield; three of them are well inside any client's patience.
QUEUE_TIMEOUT_SECONDS = 0.25
# Of the time that is left, it may wait one part in so many.
QUEUE_REMAINING_DIVISOR = 3
QUEUE_POLL_SECONDS = 0.01
MINIMUM_TIMEOUT_SECONDS = 0.01
# These say nothing of the origin's health: a limit of this node's own, a change of the configuration, or a
# kept connection that the origin closed meanwhile, of which the prober will tell.
NOT_HEALTH_ERRORS = (
    errors.LimitExceededError,
    errors.StaleConfigurationError,
    errors.NoQuotaShareError,
    connections.ConnectionReopenedError,
)

Event = events.ResponseReceived[connections.Answer] | events.AttemptFailed | events.NoEndpoint


class OriginRequest(typing.NamedTuple):
    """A request to an origin; `target` is the path with the query."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    request_id: str


class Slot(typing.NamedTuple):
    """A place under this shield's share of a service's limits, taken at `admitted_at`."""

    share: service_limits.QuotaShareLimiter
    admitted_at: float


class Attempt:
    """One attempt at one origin: what it holds until it ends."""

    def __init__(self, allowed: configuration_view.AllowedRequest) -> None:
        self.allowed = allowed
        self.slot: Slot | None = None
        self.admitted_at = 0.0
        self.connection: connections.UpstreamConnection | None = None
        # Until when the origin may work on a request that nobody waits for any more.
        self.works_until = 0.0

    @property
    def service(self) -> str:
        """The name of the service that is asked."""
        return self.allowed.service

    @property
    def may_have_sent(self) -> bool:
        """Whether a byte of the request may have left for the origin."""
        return self.connection is not None and self.connection.may_have_sent

    def hold(self, slot: Slot) -> None:
        """Take over a place."""
        self.slot = slot
        self.admitted_at = slot.admitted_at

    async def release(self, origin: origin_connections.OriginConnections) -> None:
        """Give the place and the connection back."""
        if self.slot is not None:
            self.slot.share.finish(self.works_until)
        if self.connection is not None:
            await origin.release(self.connection)


class OriginClient:
    """Sends one shield's requests to origins."""

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
        """Make one attempt at an origin that the policy has not tried yet."""
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
        """Make the attempt, and give back what it holds however it ends."""
        allowed = attempt.allowed
        try:
            origin = self.origins.choose(allowed, retry_policy.tried)
            origin.probe = allowed.probe
            attempt.hold(await self.enter(allowed, retry_policy))
        except errors.IrisError as error:
            return events.NoEndpoint(error)
        try:
            return await self.send(attempt, origin, request, retry_policy)
        except (TimeoutError, asyncio.CancelledError) as error:
            # Nobody waits any more, but the origin may work on: its place is kept for as long as it could.
            if attempt.may_have_sent:
                attempt.works_until = attempt.admitted_at + service_limits.origin_work_seconds(
                    allowed.deadline
                )
            if isinstance(error, asyncio.CancelledError):
                raise
            origin.mark(is_healthy=origin.is_healthy and attempt.may_have_sent, why=repr(error))
            return self.failed(attempt, origin, error)
        except origin_connections.FAILURES as error:
            if not isinstance(error, NOT_HEALTH_ERRORS):
                # An unsealed answer is one request's; a broken connection says that the origin is gone.
                is_unsealed = isinstance(error, errors.UnsealedResultError)
                origin.mark(is_healthy=origin.is_healthy and is_unsealed, why=repr(error))
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
        """Send the request over a connection of the attempt's origin, and check the seal of the answer."""
        allowed = attempt.allowed
        connection = await origin.acquire(max(MINIMUM_TIMEOUT_SECONDS, retry_policy.remaining()))
        attempt.connection = connection
        connection.may_have_sent = False
        await self.renew_slot(attempt, retry_policy)
        # Time went by since the origin was chosen: what was allowed then may be withdrawn by now.
        self.view.check_current()
        self.check_grant(allowed, request)
        if not self.origins.is_usable(origin):
            raise errors.StaleConfigurationError(f"{origin.instance} may not be used any more")
        headers = {**request.headers, "X-Request-Id": request.request_id}
        timeout = max(MINIMUM_TIMEOUT_SECONDS, retry_policy.remaining())
        answer = await connection.send(request.method, request.target, headers, request.body, timeout)
        objects.check_integrity(answer.headers, answer.body, request.request_id)
        self.context.counters.add("origin_requests", service=allowed.service, method=request.method)
        return events.ResponseReceived(answer, origin.instance)

    async def renew_slot(self, attempt: Attempt, retry_policy: forwarding_policy.ToOriginPolicy) -> None:
        """Take the place anew if it is old: it counts for the moment of sending."""
        while attempt.slot is not None and not attempt.slot.share.is_admission_valid(
            attempt.slot.admitted_at
        ):
            attempt.slot.share.withdraw(attempt.slot.admitted_at)
            attempt.slot = None
            attempt.hold(await self.enter(attempt.allowed, retry_policy))

    def failed(
        self, attempt: Attempt, origin: origin_connections.OriginConnections, error: BaseException
    ) -> events.AttemptFailed:
        """Count a failed attempt and report it."""
        may_have_run = attempt.may_have_sent
        self.context.counters.add("origin_failures", service=attempt.service, touched=str(may_have_run))
        known = forwarding_policy.as_iris_error(error)
        return events.AttemptFailed(known, origin.instance, may_have_run, may_have_run)

    def check_grant(self, allowed: configuration_view.AllowedRequest, request: OriginRequest) -> None:
        """Raise StaleConfigurationError if the request is now allowed to another service."""
        path, _, query = request.target.partition("?")
        if self.view.authorize(request.method, path, query).service != allowed.service:
            raise errors.StaleConfigurationError("the blueprint changed while the request waited")

    async def enter(
        self, allowed: configuration_view.AllowedRequest, retry_policy: forwarding_policy.ToOriginPolicy
    ) -> Slot:
        """Take a place under this shield's share of the service's limits, after a short wait at most.

        Raises:
            NoQuotaShareError: this shield has no share of the service.
            LimitExceededError: the share was used up for the whole wait.
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
            raise errors.NoQuotaShareError(f"no share of {allowed.service} is held here")
        while not share.admit(rate, in_flight):
            if self.context.clock.now() >= wait_until:
                raise errors.LimitExceededError(f"{allowed.service} is at its ceiling")
            await asyncio.sleep(QUEUE_POLL_SECONDS)
        return Slot(share, self.context.clock.now())
