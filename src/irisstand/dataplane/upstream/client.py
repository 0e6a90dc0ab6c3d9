"""Sends requests to origins, with retries and hedged requests as a retry policy decides.

The steps of a request: `fetch` runs the retry policy, `send` waits for tokens of the rate limit, `begin`
chooses an endpoint and starts an attempt, and the attempt sender sends the request and reads the response.
"""

import asyncio
import functools

from irisstand import errors, node_context
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.retry import (
    actions,
    attempt_policy,
    events,
    idempotent_attempt_policy,
    policy,
    single_attempt_policy,
)
from irisstand.dataplane.routing import configuration_view, route_table, routes
from irisstand.dataplane.upstream import (
    attempt_tasks,
    attempts,
    call_state,
    endpoint_pool,
    exchange,
    origin_endpoint,
    upstream_request,
)

# The fraction of a service's retries that all edges together may use.
EDGES_RETRY_SHARE = 0.8


Event = attempt_policy.AttemptEvent[exchange.Answer]


class UpstreamClient:
    """Sends requests to origin endpoints and returns the origins' responses."""

    def __init__(
        self,
        context: node_context.NodeContext,
        view: configuration_view.ConfigurationView,
        table: route_table.RouteTable,
        endpoints: endpoint_pool.EndpointPool,
    ) -> None:
        self.context = context
        self.view = view
        self.table = table
        self.endpoints = endpoints
        self.header_names = endpoints.header_names
        self.budgets: dict[str, budgets.RetryBudget] = {}
        self.sender = attempts.AttemptSender(context, endpoints.header_names)
        self.attempts = attempt_tasks.AttemptTasks(context)

    def budget(self, service: str) -> budgets.RetryBudget:
        """Return this node's retry budget for a service: its part of the retries that all nodes may send."""
        settings = self.context.settings
        if service not in self.budgets:
            share = EDGES_RETRY_SHARE * settings.second_share
            self.budgets[service] = budgets.RetryBudget(self.context.clock, share, 0)
        budget = self.budgets[service]
        budget.allowance = EDGES_RETRY_SHARE * settings.second_allowance / len(self.endpoints.fleet.edges())
        return budget

    async def fetch(
        self,
        route: routes.Route,
        service: str,
        request: upstream_request.Request,
        headers: upstream_request.Headers,
        remaining: float,
    ) -> exchange.Answer:
        """Return an origin's response to a request that has `remaining` seconds until its deadline.

        Raises:
            IrisError: The retry policy rejected the request.
        """
        if not isinstance(request.body, bytes):
            # Its body can be read only once.
            route = route._replace(attempts=1)
        retry_policy = self.policy_for(route, service, remaining)
        retry_policy.is_repeat = request.is_repeat
        call = call_state.Call(route, service, request, headers, retry_policy)
        with self.context.drain_guard.fail_at_end(call.work_state):
            decision = await self.decide(call)
        if isinstance(decision, actions.Reject):
            self.context.counters.add("rejected", code=decision.error.code)
            raise decision.error.copy()
        return decision.response

    async def decide(self, call: call_state.Call) -> actions.Respond[exchange.Answer] | actions.Reject:
        """Perform the actions of the request's retry policy until it responds or rejects."""
        chosen: exchange.Answer | None = None
        decision: actions.Respond[exchange.Answer] | actions.Reject
        try:
            decision = await policy.execute(call.retry_policy, functools.partial(self.perform, call))
        except asyncio.CancelledError:
            # The client disconnected, or the node that forwarded the request withdrew it.
            for task, attempt in call.running.items():
                self.attempts.give_up(task, attempt, call.retry_policy)
            raise
        else:
            if isinstance(decision, actions.Respond):
                chosen = decision.response
            return decision
        finally:
            call.offer_chosen(chosen)
            call.drop_attempts()

    def policy_for(
        self, route: routes.Route, service: str, remaining: float
    ) -> attempt_policy.AttemptPolicy[exchange.Answer]:
        """Return a new retry policy for a request on `route` with `remaining` seconds to its deadline."""
        clock, budget = self.context.clock, self.budget(service)
        if route.is_idempotent:
            return idempotent_attempt_policy.IdempotentAttemptPolicy(clock, route, remaining, budget)
        return single_attempt_policy.SingleAttemptPolicy(clock, route, remaining, budget)

    async def perform(self, call: call_state.Call, action: attempt_policy.AttemptAction) -> Event:
        """Perform one action of a retry policy and return the resulting event."""
        match action:
            case actions.SendAttempt():
                return await self.send(call)
            case actions.Wait():
                return await self.wait(call, action.seconds)

    async def send(self, call: call_state.Call) -> Event:
        """Start an attempt; the first attempt of a request may wait for tokens of a rate limit."""
        if not call.running:
            await self.endpoints.borrow_token(call.service, call.rate_wait_seconds())
        event = self.begin(call)
        is_cold = isinstance(event, events.NoEndpoint) and isinstance(event.error, errors.SlowStartError)
        if is_cold and not call.running:
            await self.endpoints.borrow_cold_token(call.route, call.service, call.retry_policy.tried)
            event = self.begin(call)
        return event

    async def wait(self, call: call_state.Call, seconds: float) -> Event:
        """Wait at most `seconds` for one of the attempts to end, and return its result."""
        done, _ = await asyncio.wait(call.running, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        if not done:
            return events.TIMER_EXPIRED
        task = done.pop()
        call.running.pop(task)
        result = task.result()
        call.take(result)
        return result

    def begin(self, call: call_state.Call) -> Event:
        """Choose an endpoint and start an attempt there in a new task."""
        try:
            endpoint, upstream, delay = self.choose(call)
        except errors.IrisError as error:
            return events.NoEndpoint(error.without_frames())
        is_cold = endpoint.is_cold()
        if is_cold:
            self.endpoints.take_cold_token(endpoint)
        # A retry for a cacheable object leaves out the client's request id, because an origin that failed a
        # request repeats the failure for the same id.
        is_read = call.route.is_cacheable and call.request.method == "GET"
        is_anonymous = call.retry_policy.attempts_sent > 0 and is_read
        check_again = functools.partial(self.check_again, call, endpoint, was_cold=is_cold)
        attempt = attempts.Attempt(
            endpoint,
            call.request,
            call.headers,
            call.retry_policy,
            delay,
            check_again,
            is_anonymous=is_anonymous,
            is_copied=is_read,
            connection_limit=self.endpoints.selector.connection_limit(endpoint, upstream),
            transfer_limit=self.endpoints.selector.transfer_limit(endpoint, upstream),
        )
        call.running[self.attempts.start(self.sender.run(attempt))] = attempt
        return events.AttemptSent(endpoint.instance, endpoint.usual_seconds)

    def choose(self, call: call_state.Call) -> call_state.Choice:
        """Return an endpoint for a further attempt of the request.

        Raises:
            IrisError: No endpoint may be used now.
        """
        upstream = self.allowed_upstream(call)
        endpoint = self.endpoints.choose(call.route, upstream, call.retry_policy.tried)
        return call_state.Choice(
            endpoint, upstream, self.endpoints.take_token(upstream, call.rate_wait_seconds())
        )

    def allowed_upstream(self, call: call_state.Call) -> routes.Upstream:
        """Return the upstream service of a request if its route still allows it.

        The configuration may have changed since the request's route was looked up.

        Raises:
            StaleConfigurationError: The route no longer allows it, or this node's tables are out of date.
        """
        upstream = self.table.upstreams.get(call.service)
        self.view.check_current()
        if upstream is None or not self.table.is_service_allowed(call.route, call.service):
            raise errors.StaleConfigurationError(
                "the configuration of the route changed while the request waited", retry_after=0.05
            )
        return upstream

    def check_again(
        self, call: call_state.Call, endpoint: origin_endpoint.Endpoint, *, was_cold: bool
    ) -> None:
        """Check after a wait for a token that the endpoint chosen before it may still be used.

        Raises:
            NoOriginError: The endpoint is leaving, down, evacuated or newly cold.
            StaleConfigurationError: The route no longer allows the service, as in `allowed_upstream`.
        """
        upstream = self.allowed_upstream(call)
        if not self.endpoints.is_usable(endpoint, call.route, upstream, was_cold=was_cold):
            raise errors.NoOriginError(f"origin {endpoint.instance} may not be used now", retry_after=0.1)
