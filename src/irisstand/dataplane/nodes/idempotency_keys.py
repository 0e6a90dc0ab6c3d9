"""Keyed writes: an Idempotency-Key is claimed in the core before the write goes towards an origin.

So the same key runs once, whichever edges and shields it comes by and whatever answers are lost.
"""

import asyncio
import collections.abc
import hashlib

from irisstand import errors, node_context
from irisstand.controlplane.consensus import order_messages
from irisstand.dataplane.routing import snapshot

ORDER_TIMEOUT_SECONDS = 1.5
# A larger result is not kept with the claim: the second asker learns only that the first one ran.
RESULT_LIMIT_BYTES = 4 * 1024

Work = collections.abc.Callable[[], collections.abc.Awaitable[tuple]]


class IdempotencyKeys:
    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    async def run_once(self, granted: snapshot.AllowedRequest, request: tuple, work: Work) -> tuple:
        method, target, headers, body, request_id = request
        given = headers.get("idempotency-key")
        # Without a key there is nothing to tell a repetition by; the write is sent at most once all the same.
        if not given:
            return await work()
        key = hashlib.sha256(f"{granted.service}\0{given}".encode()).hexdigest()[:32]
        # A claim is this very attempt's. Under the request's id alone, a shield that gives the claim back
        # late would take it from the next shield, which was asked in its place and has run the write.
        attempt = f"{request_id}@{self.context.settings.name}.{self.context.randomness.getrandbits(32):08x}"
        fingerprint = hashlib.sha256(f"{method} {target}\0".encode() + body).hexdigest()[:16]
        try:
            await self.claim(key, attempt, fingerprint)
        except errors.KeyClaimedError as error:
            return self.replay(error.claim, fingerprint)
        try:
            result = await work()
        except errors.OutcomeUnknownError:
            # It may have run: the claim stays, and nobody runs it again.
            raise
        except errors.IrisError:
            # Certainly not run, so the key is given back, and before anybody hears of it: the edge may ask
            # the next shield, and the client may come again.
            await self.settle(key, attempt, None, tries=2)
            raise
        self.context.start_task(self.settle(key, attempt, self.kept(result)), "settle a claim")
        return result

    def kept(self, result: tuple) -> list:
        status, headers, body = result
        return [status, list(headers), body if len(body) <= RESULT_LIMIT_BYTES else None]

    def replay(self, claim: dict, fingerprint: str) -> tuple:
        """What the second asker gets: the first one's result, as far as it is known."""
        if claim["print"] != fingerprint:
            raise errors.KeyReusedError("this Idempotency-Key was used for another request")
        if claim["state"] != "done":
            raise errors.OutcomeUnknownError("a request with this key is under way or was lost")
        status, headers, body = claim["result"]
        if body is None:
            raise errors.OutcomeUnknownError(
                "the request with this key has run; its answer was too large to keep"
            )
        self.context.counters.add("keyed_replays")
        return (status, tuple((name, value) for name, value in headers), body)

    async def claim(self, key: str, attempt: str, fingerprint: str) -> None:
        for _ in range(2):
            try:
                await self.order("claim", (key, attempt, fingerprint))
                return
            except errors.ChangeOutcomeUnknownError:
                # Asked again as the same attempt, which brings the one true result.
                continue
        self.context.start_task(self.settle(key, attempt, None), "release a claim")
        raise errors.KeyNotClaimedError("the core did not confirm the claim in time")

    async def settle(self, key: str, attempt: str, result: list | None, tries: int = 5) -> None:
        for number in range(tries):
            try:
                await self.order("settle", (key, attempt, result))
                return
            except errors.IrisError:
                await asyncio.sleep(0.2 + 0.4 * number)
        self.context.counters.add("claims_left_open")

    async def order(self, kind: str, payload: tuple) -> order_messages.OrderResult:
        """Any control plane node takes it; this machine's own first, as its answer has the shortest way."""
        control_nodes = self.context.members_of("agency")
        control_nodes.sort(
            key=lambda update: (update.state, update.node_info.machine != self.context.settings.machine)
        )
        for update in control_nodes[:3]:
            try:
                reply = await self.context.transport.call(
                    update.node_info.address,
                    update.identity.name,
                    "order",
                    (kind, "", payload),
                    ORDER_TIMEOUT_SECONDS,
                )
                return order_messages.OrderReply.from_wire(reply).result()
            except (errors.NotSentError, errors.NotBootstrappedError):
                continue
            except errors.UnansweredError as error:
                raise errors.ChangeOutcomeUnknownError(str(error)) from None
            except errors.NoQuorumError as error:
                raise errors.KeyNotClaimedError(str(error)) from None
        raise errors.KeyNotClaimedError("no agency can be reached")
