"""Requests on their way to origins and back: a decision is asked, this obeys, and every answer is judged."""

import asyncio
import collections.abc
import typing

from irisstand import errors, node_context
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane.retry import attempt_policy, forwarding_policies
from irisstand.dataplane.routing import routes, snapshot
from irisstand.dataplane.upstream import endpoint as targeting
from irisstand.dataplane.upstream import endpoint_pool, exchange

# Of a route's target, what a request may wait for a place under a ceiling before it is refused.
WAITS = 0.4
# Of the fleet's second tries, what the edges use together.
USED = 0.8
# A word about a single connection; the rest of a request goes on as it came.
HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    )
)
# These say that the request has not run; from an origin that did not say so they would be a false promise.
PROMISES = (408, 421, 429, 503)


class Request(typing.NamedTuple):
    """Header names in lower case; `target` is the path and query as they came."""

    method: str
    target: bytes
    host: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition(b"?")[0].decode("latin-1")


Headers = collections.abc.Sequence[tuple[str, str]]


class UpstreamClient:
    def __init__(
        self,
        context: node_context.NodeContext,
        view: snapshot.ConfigurationSnapshot,
        table: routes.RouteTable,
        origins: endpoint_pool.EndpointPool,
    ) -> None:
        self.context, self.view, self.table, self.endpoints = context, view, table, origins
        self.header_names = origins.header_names
        self.budgets: dict[str, budgets.RetryBudget] = {}
        self.attempts: set[asyncio.Task] = set()

    def budget(self, service: str) -> budgets.RetryBudget:
        """This edge's part of the second tries that the service may get from all."""
        settings = self.context.settings
        if service not in self.budgets:
            self.budgets[service] = budgets.RetryBudget(self.context.clock, USED * settings.second_share, 0)
        found = self.budgets[service]
        found.allowance = USED * settings.second_allowance / len(self.endpoints.edges())
        return found

    async def fetch(
        self,
        route: routes.Route,
        service: str,
        request: Request,
        headers: Headers,
        remaining: float,
    ) -> exchange.Answer:
        decision = attempt_policy.for_route(self.context.clock, route, remaining, self.budget(service))
        running: set[asyncio.Task] = set()
        tried: set[str] = set()
        action = decision.ask(("started",))
        while True:
            if action[0] == "answer":
                return action[1]
            if action[0] == "reject":
                self.context.counters.add("rejected", code=action[1].code)
                raise action[1]
            if action[0] == "send":
                if not running:
                    await self.endpoints.ready(service, min(WAITS * route.target, decision.remaining() / 4))
                happened = self.send(route, service, request, headers, decision, tried, running)
                if not running and isinstance(happened[1], errors.SlowStartError):
                    await self.endpoints.ready_cold(route, service, tried)
                    happened = self.send(route, service, request, headers, decision, tried, running)
            else:
                happened = await self.next_of(running, action[1])
            action = decision.ask(happened)

    async def next_of(self, running: set[asyncio.Task], seconds: float) -> tuple:
        done, _ = await asyncio.wait(running, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        if not done:
            return ("silent",)
        task = done.pop()
        running.discard(task)
        return task.result()

    def send(
        self,
        route: routes.Route,
        service: str,
        request: Request,
        headers: Headers,
        decision: attempt_policy.AttemptPolicy,
        tried: set[str],
        running: set[asyncio.Task],
    ) -> tuple:
        upstream = self.table.upstreams.get(service)
        try:
            # Time may have gone by since the route was read: what it allowed then may be withdrawn by now.
            self.view.check_current()
            if upstream is None or not self.table.still_allows(route, service):
                raise errors.StaleConfigurationError(
                    "the route changed while the request waited", retry_after=0.05
                )
            target = self.endpoints.draw(route, upstream, tried)
            patience = min(WAITS * route.target, decision.remaining() / 4)
            wait = self.endpoints.enter(upstream, patience)
        except errors.IrisError as error:
            return ("none", error)
        tried.add(target.instance)
        if target.is_cold():
            self.endpoints.enter_cold(target)
        # An object is asked for a second time as this node's own reading of it, under no client's id: an
        # origin that failed under an id would fail under it again.
        anonymous = decision.sent > 0 and route.is_cacheable and request.method == "GET"
        task = asyncio.get_running_loop().create_task(
            self.attempt(target, request, headers, decision, anonymous, wait)
        )
        # An attempt that nobody waits for any more goes on: its origin is at work on it.
        self.attempts.add(task)
        task.add_done_callback(self.attempts.discard)
        running.add(task)
        return ("sent", target.instance, target.usual)

    async def attempt(
        self,
        target: targeting.Endpoint,
        request: Request,
        headers: Headers,
        decision: attempt_policy.AttemptPolicy,
        anonymous: bool,
        wait: float,
    ) -> tuple:
        """One try at one origin: ("answer", ...) or ("failed", error, instance, touched, arrived)."""
        number, answered = target.begin(), False
        line: exchange.Exchange | None = None
        try:
            if wait:
                await asyncio.sleep(wait)
            request_id = "" if anonymous else request.headers.get(self.header_names.request_id, "")
            # Without an id nothing would tell a surplus answer to an earlier request from this one's.
            line = await target.take(max(0.01, decision.remaining()), is_fresh=not request_id)
            left = max(1, int(decision.remaining() * 1000))
            left_out = (self.header_names.remaining, self.header_names.request_id if anonymous else "")
            sent = [("host", request.host), *((n, v) for n, v in headers if n not in left_out)]
            sent += [(self.header_names.remaining, str(left)), (self.header_names.expected, target.instance)]
            # The decision has its own deadline; this one is for what goes on after it.
            async with asyncio.timeout(decision.remaining() + 1.0):
                answer = await line.send(request.method, request.target, sent, request.body, request_id)
            answered = True
            return self.judge(target, answer, request_id)
        except (OSError, TimeoutError, ValueError, errors.IrisError) as error:
            touched = line is not None and line.touched
            known = error if isinstance(error, errors.IrisError) else forwarding_policies.kind_of(error)
            self.context.counters.add("origin_failures", service=target.origin.service, touched=str(touched))
            return ("failed", known, target.instance, touched, touched)
        finally:
            target.finish(number, answered)
            if line is not None:
                target.give_back(line)

    def judge(self, target: targeting.Endpoint, answer: exchange.Answer, request_id: str) -> tuple:
        """What an origin's whole answer means for the request."""
        words, instance = self.header_names, target.instance
        if answer.status == 421:
            # Another instance has the address: nothing more goes there until the list says so.
            target.fail("another instance answers")
            error = errors.NoOriginError(f"{instance} is not at its address any more", retry_after=0.2)
            return ("failed", error, instance, False, True)
        if words.not_run in answer.headers and answer.status in (*PROMISES, 400):
            target.full_until = self.context.clock.now() + 0.05
            error = errors.LimitExceededError(f"{instance} did not run the request", retry_after=0.15)
            return ("failed", error, instance, False, True)
        if answer.status in PROMISES:
            error = errors.OriginFailedError(
                f"{instance} answered {answer.status}, and may have run the request"
            )
            return ("failed", error, instance, True, True)
        if request_id and answer.headers.get(words.request_id) != request_id:
            error = errors.UnsealedResultError("the answer does not name the request")
            return ("failed", error, instance, True, True)
        if answer.status < 300 and words.seal not in answer.headers:
            return ("failed", errors.UnsealedResultError("the answer bears no seal"), instance, True, True)
        return ("answer", answer, instance)
