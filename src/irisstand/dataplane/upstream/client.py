"""Requests of a node that reaches origins by itself: it obeys a retry policy.

The way of a request: `fetch` asks the policy, `send` waits for tokens, `begin` chooses an endpoint, and the
attempt sender exchanges one request and one answer there.
"""

import asyncio
import functools
import typing

from irisstand import drain_guard, errors, node_context
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
    endpoint_pool,
    exchange,
    origin_endpoint,
    upstream_request,
)

# The part of a route's target that a request may wait for tokens of a rate limit.
RATE_WAIT_TARGET_FACTOR = 0.4
# The part of the time that is left that it may wait for them.
RATE_WAIT_REMAINING_FACTOR = 0.25
# The part of the fleet's retries that edges use together.
EDGES_RETRY_SHARE = 0.8


AttemptTask = asyncio.Task[attempts.Result]
Event = attempt_policy.AttemptEvent[exchange.Answer]


class Call:
    """One request on its way: its policy, and its attempts in flight."""

    def __init__(
        self,
        route: routes.Route,
        service: str,
        request: upstream_request.Request,
        headers: upstream_request.Headers,
        retry_policy: attempt_policy.AttemptPolicy[exchange.Answer],
    ) -> None:
        self.route = route
        self.service = service
        self.request = request
        self.headers = headers
        self.retry_policy = retry_policy
        self.running: dict[AttemptTask, attempts.Attempt] = {}

    def rate_wait_seconds(self) -> float:
        """Return how long the request may wait for a token of a rate limit now."""
        by_target = RATE_WAIT_TARGET_FACTOR * self.route.target
        return min(by_target, RATE_WAIT_REMAINING_FACTOR * self.retry_policy.remaining())

    def work_state(self) -> drain_guard.WorkState:
        """Return how far the request is; an attempt that has just ended has a result to be taken."""
        if any(task.done() for task in self.running):
            return drain_guard.WorkState.FINISHED
        sent = [attempt.may_have_sent for attempt in self.running.values()]
        if not any(sent):
            return drain_guard.WorkState.UNSENT
        if all(map(self.retry_policy.may_withdraw, sent)):
            return drain_guard.WorkState.WITHDRAWABLE
        return drain_guard.WorkState.BEGUN


class Choice(typing.NamedTuple):
    """An endpoint that may be used now, and after how many seconds under the service's rate limit."""

    endpoint: origin_endpoint.Endpoint
    delay_seconds: float


class UpstreamClient:
    """Sends requests to endpoints and returns their answers."""

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
        """Return this edge's part of the retries that the service may get from all."""
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
        """Return an origin's answer to a request that has `remaining` seconds.

        Raises:
            IrisError: the request is rejected.
        """
        call = Call(route, service, request, headers, self.policy_for(route, service, remaining))
        with self.context.drain_guard.answer_at_end(call.work_state):
            decision = await self.decide(call)
        if isinstance(decision, actions.Reject):
            self.context.counters.add("rejected", code=decision.error.code)
            raise decision.error
        return decision.response

    async def decide(self, call: Call) -> actions.Respond[exchange.Answer] | actions.Reject:
        """Carry out what the request's policy decides until it responds or rejects."""
        try:
            return await policy.execute(call.retry_policy, functools.partial(self.perform, call))
        except asyncio.CancelledError:
            # Nobody waits for the request any more: its client left, or the node that asked for it.
            for task, attempt in call.running.items():
                self.attempts.give_up(task, attempt, call.retry_policy)
            raise

    def policy_for(
        self, route: routes.Route, service: str, remaining: float
    ) -> attempt_policy.AttemptPolicy[exchange.Answer]:
        """Return the policy of a request on `route`."""
        clock, budget = self.context.clock, self.budget(service)
        if route.is_idempotent:
            return idempotent_attempt_policy.IdempotentAttemptPolicy(clock, route, remaining, budget)
        return single_attempt_policy.SingleAttemptPolicy(clock, route, remaining, budget)

    async def perform(self, call: Call, action: attempt_policy.AttemptAction) -> Event:
        """Carry out one action of a policy."""
        match action:
            case actions.SendAttempt():
                return await self.send(call)
            case actions.Wait():
                return await self.wait(call.running, action.seconds)

    async def send(self, call: Call) -> Event:
        """Begin an attempt; the first of a request may wait for tokens of a rate limit."""
        if not call.running:
            await self.endpoints.ready(call.service, call.rate_wait_seconds())
        event = self.begin(call)
        is_cold = isinstance(event, events.NoEndpoint) and isinstance(event.error, errors.SlowStartError)
        if is_cold and not call.running:
            await self.endpoints.ready_cold(call.route, call.service, call.retry_policy.tried)
            event = self.begin(call)
        return event

    async def wait(self, running: dict[AttemptTask, attempts.Attempt], seconds: float) -> Event:
        """Wait for the end of an attempt, for `seconds` at most."""
        done, _ = await asyncio.wait(running, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        if not done:
            return events.TIMER_EXPIRED
        task = done.pop()
        running.pop(task)
        return task.result()

    def begin(self, call: Call) -> Event:
        """Choose an endpoint and begin an attempt there, as a task of its own."""
        try:
            endpoint, delay = self.choose(call)
        except errors.IrisError as error:
            return events.NoEndpoint(error)
        is_cold = endpoint.is_cold()
        if is_cold:
            self.endpoints.enter_cold(endpoint)
        # An object is asked for a second time as this node's own reading of it, under no client's id: an
        # origin that failed under an id would fail under it again.
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
        )
        call.running[self.attempts.start(self.sender.run(attempt))] = attempt
        return events.AttemptSent(endpoint.instance, endpoint.usual_seconds)

    def choose(self, call: Call) -> Choice:
        """Return an endpoint for one more attempt.

        Raises:
            IrisError: no endpoint may be used now.
        """
        upstream = self.allowed_upstream(call)
        endpoint = self.endpoints.choose(call.route, upstream, call.retry_policy.tried)
        return Choice(endpoint, self.endpoints.enter(upstream, call.rate_wait_seconds()))

    def allowed_upstream(self, call: Call) -> routes.Upstream:
        """Return the service that a request goes to, if its route still allows it.

        Time may have gone by since the route was read: what it allowed then may be withdrawn by now.

        Raises:
            StaleConfigurationError: it does not, or this node may no longer act by its tables.
        """
        upstream = self.table.upstreams.get(call.service)
        self.view.check_current()
        if upstream is None or not self.table.is_service_allowed(call.route, call.service):
            raise errors.StaleConfigurationError(
                "the route changed while the request waited", retry_after=0.05
            )
        return upstream

    def check_again(self, call: Call, endpoint: origin_endpoint.Endpoint, *, was_cold: bool) -> None:
        """Decide again, after the wait for a token, what was decided before it.

        Raises:
            NoOriginError: the endpoint leaves, is down or evacuated, or has become cold.
            StaleConfigurationError: as `allowed_upstream` raises it.
        """
        upstream = self.allowed_upstream(call)
        if not self.endpoints.is_usable(endpoint, call.route, upstream, was_cold=was_cold):
            raise errors.NoOriginError(f"{endpoint.instance} may not be used any more", retry_after=0.1)
