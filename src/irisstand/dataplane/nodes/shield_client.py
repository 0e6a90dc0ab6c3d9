"""The edge's client for shields: sends a request to one shield after another, as its policy decides."""

import asyncio
import functools
import typing

from irisstand import errors, node_context
from irisstand.balancing import popularity
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane import messages
from irisstand.dataplane.nodes import suspicion_watcher
from irisstand.dataplane.retry import actions, events, policy, read_policy, write_policy
from irisstand.dataplane.routing import configuration_view
from irisstand.membership import updates
from irisstand.state import versions

# Retries of edges as a fraction of first attempts; shields have a budget of their own.
RETRY_SHARE = 0.07
RETRY_ALLOWANCE = 1
# The probability that a popular object is read from the second shield instead of the first.
SECOND_SHIELD_PROBABILITY = 0.5

ResultT = typing.TypeVar("ResultT")
Event = events.ResponseReceived[ResultT] | events.AttemptFailed


class Read(typing.NamedTuple):
    """A read at an edge: what the configuration allows for it, and the fields that are sent to a shield."""

    allowed: configuration_view.AllowedRequest
    path: str
    query: str
    headers: dict[str, str]
    is_shared: bool


class Write(typing.NamedTuple):
    """A write at an edge: what the configuration allows for it, and the fields that are sent to a shield."""

    allowed: configuration_view.AllowedRequest
    method: str
    path: str
    query: str
    headers: dict[str, str]
    content: bytes


class ShieldClient:
    """Sends the reads and writes of one edge to shields."""

    def __init__(self, context: node_context.NodeContext, view: configuration_view.ConfigurationView) -> None:
        self.context = context
        self.view = view
        self.popularity = popularity.PopularityCounter(context.clock)
        self.budget = budgets.RetryBudget(context.clock, RETRY_SHARE, RETRY_ALLOWANCE)
        self.suspicion_watcher = suspicion_watcher.SuspicionWatcher(context.detector)

    async def read(
        self, read: Read, minimum_version: versions.Version, deadline: float
    ) -> messages.ReadResult:
        """Return an object that was fetched at the ledger version `minimum_version` or later.

        Raises:
            IrisError: No shield returned the object before `deadline`.
        """
        self.budget.record_first_attempt()
        shields = self.shields_for_read(read.allowed.service, f"{read.path}?{read.query}")
        retry_policy: read_policy.EdgeReadPolicy[messages.ReadResult] = read_policy.EdgeReadPolicy(
            self.context.clock, read.allowed, shields, self.budget, deadline
        )
        # All attempts have the same id, so that the request log of an origin shows which ones are retries.
        request = messages.ReadRequest(
            request_id=self.new_request_id(),
            method="GET",
            path=read.path,
            query=read.query,
            headers=read.headers,
            minimum_version=minimum_version,
            remaining_seconds=0.0,
            is_shared=read.is_shared,
            applied_version=versions.NONE,
        )
        send = functools.partial(self.send_read, request, retry_policy)
        return policy.response_of(await policy.execute(retry_policy, send))

    async def send_read(
        self,
        request: messages.ReadRequest,
        retry_policy: read_policy.EdgeReadPolicy[messages.ReadResult],
        action: actions.SendToShield,
    ) -> Event[messages.ReadResult]:
        """Send one attempt of a read to one shield, and return its outcome as an event."""
        current = request._replace(
            remaining_seconds=action.timeout_seconds, applied_version=self.context.configuration.applied
        )
        sent_at = self.context.clock.now()
        event = await self.call_unless_suspected(action, current, retry_policy)
        if isinstance(event, events.AttemptFailed):
            return event
        result = messages.ReadResult.from_wire(event.response, sent_at)
        return events.ResponseReceived(result, event.endpoint)

    async def call_unless_suspected(
        self,
        action: actions.SendToShield,
        request: messages.ReadRequest,
        retry_policy: read_policy.EdgeReadPolicy[messages.ReadResult],
    ) -> Event[typing.Any]:
        """Call a shield, but give up when it is suspected: one that lost power closes no connection."""
        suspicion = self.suspicion_watcher.watch(action.shield.identity)
        call = asyncio.get_running_loop().create_task(
            self.call(action, messages.RequestKind.READ, request.to_wire())
        )
        try:
            await asyncio.wait([call, suspicion], return_when=asyncio.FIRST_COMPLETED)
            if not call.done() and retry_policy.may_retry_at_next_shield():
                error = errors.NotSentError("the failure detector suspects the shield that was asked")
                return events.AttemptFailed(error, action.shield.identity.name)
            return await call
        finally:
            suspicion.cancel()
            call.cancel()

    def shields_for_read(self, service: str, key: str) -> list[updates.Update]:
        """Return the shields in order; a popular object's first two swap at random if both can serve it."""
        shields = self.view.shields(service, key)
        if not self.popularity.record(key) or len(shields) <= 1:
            return shields
        second = shields[1]
        if second.state or not self.view.has_quota_share(second.node_info.machine, service):
            return shields
        self.context.counters.add("hot_fetches")
        if self.context.randomness.random() < SECOND_SHIELD_PROBABILITY:
            shields[0], shields[1] = shields[1], shields[0]
        return shields

    async def write(self, write: Write) -> messages.WriteResult:
        """Send a write to shields, so that it runs at most once, and return its result.

        Raises:
            OutcomeUnknownError: The write may have run.
            IrisError: The write has not run.
        """
        request_id = self.new_request_id()
        key = write.headers.get("idempotency-key", request_id)
        shields = self.view.shields(write.allowed.service, key)
        retry_policy: write_policy.EdgeWritePolicy[messages.WriteResult] = write_policy.EdgeWritePolicy(
            self.context.clock, write.allowed, shields
        )
        request = messages.WriteRequest(
            request_id=request_id,
            method=write.method,
            path=write.path,
            query=write.query,
            headers=tuple(write.headers.items()),
            content=write.content,
            remaining_seconds=0.0,
            applied_version=versions.NONE,
        )
        send = functools.partial(self.send_write, request)
        return policy.response_of(await policy.execute(retry_policy, send))

    async def send_write(
        self, request: messages.WriteRequest, action: actions.SendToShield
    ) -> Event[messages.WriteResult]:
        """Send one attempt of a write to one shield, and return its outcome as an event."""
        current = request._replace(
            remaining_seconds=action.timeout_seconds, applied_version=self.context.configuration.applied
        )
        # Only the chosen incarnation of the process may accept the write: a restarted process rejects it.
        incarnation_id = action.shield.identity.incarnation_id
        event = await self.call(action, messages.RequestKind.WRITE, current.to_wire(), incarnation_id)
        if isinstance(event, events.AttemptFailed):
            return event
        result = messages.WriteResult.from_wire(event.response)
        return events.ResponseReceived(result, event.endpoint)

    async def call(
        self,
        action: actions.SendToShield,
        kind: messages.RequestKind,
        body: tuple[typing.Any, ...],
        incarnation_id: str = "",
    ) -> Event[typing.Any]:
        """Call one shield; with `incarnation_id`, any other incarnation of its process rejects the call."""
        shield = action.shield
        name = shield.identity.name
        try:
            reply = await self.context.transport.call(
                shield.node_info.address, name, kind, body, action.timeout_seconds, incarnation_id
            )
        except errors.IrisError as error:
            self.context.counters.add("shield_failures", code=error.code)
            return events.AttemptFailed(error, name)
        return events.ResponseReceived(reply, name)

    def new_request_id(self) -> str:
        """Return a new unique request id."""
        return f"{self.context.settings.name}-{self.context.randomness.getrandbits(64):016x}"
