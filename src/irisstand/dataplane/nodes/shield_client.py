"""What an edge sends to shields: reads and writes, each to one shield after another as its policy decides."""

import asyncio
import functools
import typing

from irisstand import errors, node_context
from irisstand.balancing import popularity
from irisstand.balancing import retry_budget as budgets
from irisstand.dataplane import messages
from irisstand.dataplane.nodes import suspicion_watcher
from irisstand.dataplane.retry import actions, events, policy, read_policy, write_policy
from irisstand.dataplane.routing import snapshot
from irisstand.membership import updates
from irisstand.state import versions

# Of the traffic, what edges may add to it by retries; shields have a part of their own.
RETRY_SHARE = 0.07
RETRY_ALLOWANCE = 1
# How often a popular object is read from the second shield in place of the first.
SECOND_SHIELD_PROBABILITY = 0.5

ResultT = typing.TypeVar("ResultT")
Event = events.ResponseReceived[ResultT] | events.AttemptFailed


class Read(typing.NamedTuple):
    """One read at an edge: what the configuration allows it, and what is sent on of it."""

    allowed: snapshot.AllowedRequest
    path: str
    query: str
    headers: dict[str, str]
    is_shared: bool


class Write(typing.NamedTuple):
    """One write at an edge: what the configuration allows it, and what is sent on of it."""

    allowed: snapshot.AllowedRequest
    method: str
    path: str
    query: str
    headers: dict[str, str]
    content: bytes


class ShieldClient:
    """Sends the requests of one edge to shields."""

    def __init__(self, context: node_context.NodeContext, view: snapshot.ConfigurationSnapshot) -> None:
        self.context = context
        self.view = view
        self.popularity = popularity.PopularityCounter(context.clock)
        self.budget = budgets.RetryBudget(context.clock, RETRY_SHARE, RETRY_ALLOWANCE)
        self.suspicion_watcher = suspicion_watcher.SuspicionWatcher(context.detector)

    async def read(
        self, read: Read, minimum_version: versions.Version, deadline: float
    ) -> messages.ReadResult:
        """Read an object that was fetched at `minimum_version` or later.

        Raises:
            IrisError: no shield gave the object before `deadline`.
        """
        self.budget.record_first_attempt()
        shields = self.shields_for_read(read.allowed.service, f"{read.path}?{read.query}")
        retry_policy: read_policy.EdgeReadPolicy[messages.ReadResult] = read_policy.EdgeReadPolicy(
            self.context.clock, read.allowed, shields, self.budget, deadline
        )
        # One id for all attempts, so that an origin's record shows retries for what they are.
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
        """Make one attempt of a read at one shield."""
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
        """Call a shield, but leave it when it is suspected: one that lost its power closes no connection."""
        suspicion = self.suspicion_watcher.watch(action.shield.identity)
        call = asyncio.get_running_loop().create_task(
            self.call(action, messages.RequestKind.READ, request.to_wire())
        )
        try:
            await asyncio.wait([call, suspicion], return_when=asyncio.FIRST_COMPLETED)
            if not call.done() and retry_policy.may_leave_shield():
                error = errors.NotSentError("the shield is suspected to have failed")
                return events.AttemptFailed(error, action.shield.identity.name)
            return await call
        finally:
            suspicion.cancel()
            call.cancel()

    def shields_for_read(self, service: str, key: str) -> list[updates.Update]:
        """Return the shields in order; for a popular object the first two take turns, if both can."""
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
        """Send a write on, at most once.

        Raises:
            OutcomeUnknownError: the write may have run.
            IrisError: the write has not run.
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
        """Make one attempt of a write at one shield."""
        current = request._replace(
            remaining_seconds=action.timeout_seconds, applied_version=self.context.configuration.applied
        )
        # A write is meant for the process that was chosen: one started anew in its place rejects it.
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
        """Call one shield; with `incarnation_id`, only that incarnation of the process may answer."""
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
        """Return an id that no other request has."""
        return f"{self.context.settings.name}-{self.context.randomness.getrandbits(64):016x}"
