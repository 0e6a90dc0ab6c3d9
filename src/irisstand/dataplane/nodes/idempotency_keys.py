"""Idempotency keys: a shield claims a write's Idempotency-Key in the control plane before it sends the write.

So writes with the same key run once at the origins, whichever edges and shields they pass, and whichever
responses are lost (IETF draft "The Idempotency-Key HTTP Header Field").
"""

import asyncio
import collections.abc
import hashlib
import typing

from irisstand import errors, node_context
from irisstand.controlplane.consensus import order_messages
from irisstand.dataplane import messages
from irisstand.dataplane.routing import configuration_view
from irisstand.dataplane.upstream import origin_client

ORDER_TIMEOUT_SECONDS = 1.5
ORDER_NODES_LIMIT = 3
CLAIM_ATTEMPTS_LIMIT = 2
SETTLE_ATTEMPTS_LIMIT = 5
# A client waits while a key is released, so a release has fewer attempts than the recording of a result.
RELEASE_ATTEMPTS_LIMIT = 2
SETTLE_PAUSE_SECONDS = 0.2
SETTLE_PAUSE_STEP_SECONDS = 0.4
# The body of a larger result is not recorded: a repeated write then learns only that the first one ran.
RESULT_LIMIT_BYTES = 4 * 1024
KEY_DIGITS = 32
FINGERPRINT_DIGITS = 16
# The kinds of the orders to claim and to settle a key, and the state of a claim whose write has run.
CLAIM_ORDER = "claim"
SETTLE_ORDER = "settle"
DONE = "done"

SendWrite = collections.abc.Callable[[], collections.abc.Awaitable[messages.WriteResult]]


class IdempotencyKeys:
    """Claims idempotency keys in the control plane, and records the results of their writes there.

    Args:
        context: The node's context.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context

    async def run_once(
        self,
        allowed: configuration_view.AllowedRequest,
        request: origin_client.OriginRequest,
        send_write: SendWrite,
    ) -> messages.WriteResult:
        """Send a write to an origin, or return the recorded result of an earlier write with the same key.

        Args:
            allowed: What the configuration allows for the request.
            request: The write.
            send_write: Sends the write to an origin.

        Raises:
            errors.KeyReusedError: The key was used for another request.
            errors.KeyNotClaimedError: The control plane did not confirm the claim; the write was not sent.
            errors.OutcomeUnknownError: A write with this key may have run, and its result is not known.
            errors.IrisError: `send_write` raised it.
        """
        method, target, headers, body, request_id = request
        client_key = headers.get("idempotency-key")
        # Without a key a repeated write cannot be recognised; this write is sent at most once all the same.
        if not client_key:
            return await send_write()
        key = hashlib.sha256(f"{allowed.service}\0{client_key}".encode()).hexdigest()[:KEY_DIGITS]
        fingerprint = hashlib.sha256(f"{method} {target}\0".encode() + body).hexdigest()[:FINGERPRINT_DIGITS]
        attempt = self.attempt_id(request_id)
        # The write goes on if its client disconnects: if it were cancelled, its result could never be
        # recorded, and the client may repeat it with the same key at any time (docs/departures.md).
        return await self.context.run_to_completion(self.run_claimed(key, attempt, fingerprint, send_write))

    async def run_claimed(
        self, key: str, attempt: str, fingerprint: str, send_write: SendWrite
    ) -> messages.WriteResult:
        """Claim a key for an attempt and send its write; see `run_once` for what it returns and raises."""
        try:
            await self.claim(key, attempt, fingerprint)
        except errors.KeyClaimedError as error:
            return self.replay(error.claim, fingerprint)
        try:
            result = await send_write()
        except errors.OutcomeUnknownError:
            # The write may have run: the claim stays, so that no other attempt runs it again.
            raise
        except errors.IrisError:
            # The write has certainly not run. The key is released before the error is reported, as the edge
            # may then try the next shield, and the client may retry.
            await self.settle(key, attempt, None, attempts_limit=RELEASE_ATTEMPTS_LIMIT)
            raise
        self.context.start_task(self.settle(key, attempt, recorded_fields(result)), "settle a claim")
        return result

    def attempt_id(self, request_id: str) -> str:
        """Return a new id for this attempt of a request, which the claim names as its owner.

        The request's id alone does not do: a shield that releases the key late would release the claim of the
        next shield, which the edge tried in its place and which has run the write.
        """
        return f"{request_id}@{self.context.settings.name}.{self.context.randomness.getrandbits(32):08x}"

    def replay(self, claim: dict[str, typing.Any], fingerprint: str) -> messages.WriteResult:
        """Return the recorded result of the first write with the key.

        Raises:
            errors.KeyReusedError: The key was used for another request.
            errors.OutcomeUnknownError: The result is not known, or was too large to be recorded.
        """
        if claim["print"] != fingerprint:
            raise errors.KeyReusedError("this Idempotency-Key was already used for a different request")
        if claim["state"] != DONE:
            raise errors.OutcomeUnknownError(
                "a request with this Idempotency-Key is in progress, or its result was lost"
            )
        status, headers, body = claim["result"]
        if body is None:
            raise errors.OutcomeUnknownError(
                "the request with this Idempotency-Key has run; its response was too large to be recorded"
            )
        self.context.counters.add("keyed_replays")
        return messages.WriteResult(status, messages.header_pairs(headers), body)

    async def claim(self, key: str, attempt: str, fingerprint: str) -> None:
        """Claim a key for an attempt.

        Raises:
            errors.KeyClaimedError: Another attempt has claimed the key.
            errors.KeyNotClaimedError: The control plane did not confirm the claim.
        """
        for _ in range(CLAIM_ATTEMPTS_LIMIT):
            try:
                await self.submit_order(CLAIM_ORDER, (key, attempt, fingerprint))
            except errors.ChangeOutcomeUnknownError:
                # Claiming a key twice for the same attempt has the effect of one claim, so the order is
                # retried.
                continue
            return
        self.context.start_task(self.settle(key, attempt, None), "release a claim")
        raise errors.KeyNotClaimedError(
            "the control plane did not confirm the claim of the idempotency key in time"
        )

    async def settle(
        self,
        key: str,
        attempt: str,
        result: list[typing.Any] | None,
        *,
        attempts_limit: int = SETTLE_ATTEMPTS_LIMIT,
    ) -> None:
        """Record the result of an attempt's write; None releases the key. A failure to do so is counted."""
        for number in range(attempts_limit):
            try:
                await self.submit_order(SETTLE_ORDER, (key, attempt, result))
            except errors.IrisError:
                await asyncio.sleep(SETTLE_PAUSE_SECONDS + SETTLE_PAUSE_STEP_SECONDS * number)
                continue
            return
        self.context.counters.add("claims_left_open")

    async def submit_order(self, kind: str, payload: tuple[typing.Any, ...]) -> order_messages.OrderResult:
        """Submit an order to a control plane node; one on this machine is tried first, as it is nearest.

        Raises:
            errors.ChangeOutcomeUnknownError: A node did not reply; the order may have been carried out.
            errors.KeyNotClaimedError: No node accepted the order, or the control plane has no quorum.
        """
        control_nodes = self.context.members_of("agency")
        machine = self.context.settings.machine
        control_nodes.sort(key=lambda update: (update.state, update.node_info.machine != machine))
        for update in control_nodes[:ORDER_NODES_LIMIT]:
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
        raise errors.KeyNotClaimedError("no control plane node is reachable")


def recorded_fields(result: messages.WriteResult) -> list[typing.Any]:
    """Return the fields of a result to record: status, headers, and the body unless it is too large."""
    status, headers, body = result
    return [status, list(headers), body if len(body) <= RESULT_LIMIT_BYTES else None]
