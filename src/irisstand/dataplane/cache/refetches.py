"""The fetches that follow the first one of a read of an object."""

import enum

from irisstand import event_log, node_context
from irisstand.dataplane.cache import object_lookup
from irisstand.dataplane.http import header_names


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

    Args:
        context: The node's context.
        names: The names of the product's headers.
        lookup: The read.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        names: header_names.HeaderNames,
        lookup: object_lookup.ObjectLookup,
    ) -> None:
        self.context = context
        self.names = names
        self.lookup = lookup
        self.count = 0

    def add(self, reason: RefetchReason) -> None:
        """Count and record one more fetch."""
        self.count += 1
        self.context.counters.add("refetches", reason=reason.value)
        event_log.record(
            "refetch",
            key=self.lookup.key,
            request_id=self.lookup.request.headers.get(self.names.request_id, ""),
            reason=reason.value,
            count=self.count,
        )
