"""The fetches that follow the first one of a read of an object."""

import asyncio
import enum

from irisstand import event_log, node_context
from irisstand.dataplane.cache import object_lookup
from irisstand.dataplane.http import header_names
from irisstand.dataplane.retry import actions, refetch_policy


class RefetchReason(enum.Enum):
    """Why a read fetches its object again."""

    # The object was purged or expired on its way.
    OUTDATED = "outdated"
    # The shared fetch ended at the deadline of the request that started it.
    SHARED_DEADLINE = "shared-deadline"
    # The response belongs to the request that started the shared fetch.
    NOT_SHAREABLE = "not-shareable"
    # The body can't be read any more: another request passes it on, or its memory was freed.
    BODY_LOST = "body-lost"


class Refetches:
    """The further fetches of one read.

    A read that has only waited for the fetch of another request may begin its first own one at once. Each
    fetch after its first own one is a retry.

    Args:
        context: The node's context.
        names: The names of the product's headers.
        lookup: The read.
        retry_policy: Decides about retries.

    Attributes:
        has_fetched: Whether this read has begun a fetch of its own.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        names: header_names.HeaderNames,
        lookup: object_lookup.ObjectLookup,
        retry_policy: refetch_policy.RefetchPolicy,
    ) -> None:
        self.context = context
        self.names = names
        self.lookup = lookup
        self.retry_policy = retry_policy
        self.has_fetched = False
        self.count = 0

    def remaining(self) -> float:
        """Return the seconds until the deadline of the read."""
        return self.retry_policy.remaining()

    def next_lookup(self) -> object_lookup.ObjectLookup:
        """Return the lookup for the next fetch: a retry makes a single attempt."""
        if not self.has_fetched:
            return self.lookup
        route = self.lookup.route._replace(attempts=1)
        request = self.lookup.request._replace(is_repeat=True)
        return self.lookup._replace(route=route, request=request)

    async def prepare(self, reason: RefetchReason) -> None:
        """Return once the read may fetch again.

        Raises:
            errors.LimitExceededError: The route's attempts or the retry budget allow no further fetch.
            errors.DeadlineExceededError: The deadline is too close for one.
        """
        if self.has_fetched:
            action = self.retry_policy.decide_again()
            if isinstance(action, actions.Reject):
                raise action.error
            await asyncio.sleep(action.seconds)
        self._record(reason)

    def _record(self, reason: RefetchReason) -> None:
        self.count += 1
        self.context.counters.add("refetches", reason=reason.value)
        event_log.record(
            "refetch",
            key=self.lookup.key,
            request_id=self.lookup.request.headers.get(self.names.request_id, ""),
            reason=reason.value,
            count=self.count,
        )
