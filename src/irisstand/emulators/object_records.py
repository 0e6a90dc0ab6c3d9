"""What emulated origins themselves record: the versions of objects, and each response that they gave.

A response that a client got is compared with these records, not with what any node has kept.
"""

import collections
import typing

STATUS_OK = 200
OBJECT_STATUSES = (STATUS_OK, 206)
STATUS_NOT_MODIFIED = 304
FILLING = b"."


class OriginResponse(typing.NamedTuple):
    """The response that an origin gave to one request; surplus responses are not recorded.

    Attributes:
        request_id: The id of the request; empty if it had none.
        target: The path and query of the request.
        status: The HTTP status.
        body: The body.
        version: The version of the object that the response is about; 0 if it is about none.
    """

    request_id: str
    target: str
    status: int
    body: bytes
    version: int = 0


class ObjectRecords:
    """Versions of objects and responses of all origins of a run.

    Args:
        body_bytes: The length of the bodies of objects; they are longer if their text is.

    Attributes:
        responses: The responses by request id.
        repeated_ids: A message for each request whose id had come on the same connection before.
        replaced_at: By target, the time at which each version was replaced, from the first version on.
    """

    def __init__(self, body_bytes: int = 0) -> None:
        self.body_bytes = body_bytes
        self.responses: collections.defaultdict[str, list[OriginResponse]] = collections.defaultdict(list)
        self.repeated_ids: list[str] = []
        self.replaced_at: collections.defaultdict[str, list[float]] = collections.defaultdict(list)

    def version(self, target: str) -> int:
        """Return the current version of an object; the first version is 1."""
        return len(self.replaced_at[target]) + 1

    def replace(self, target: str, now: float) -> None:
        """Replace an object by its next version."""
        self.replaced_at[target].append(now)

    def add(self, response: OriginResponse) -> None:
        """Record a response that an origin is about to give."""
        self.responses[response.request_id].append(response)

    def runs(self, request_id: str) -> int:
        """Return how often requests with an id were executed."""
        return len(self.responses[request_id])

    def mixed(self, request_id: str, target: str, status: int, body: bytes, *, is_object: bool) -> str:
        """Return what shows that a sealed response does not belong to a request; empty if it does.

        Args:
            request_id: The id of the client's request.
            target: The target of the client's request.
            status: The status that the client got.
            body: The body that the client got.
            is_object: Whether the response may be a copy of the object that another request fetched.
        """
        if is_object and status in OBJECT_STATUSES:
            found = self.version_of(target, body)
            return "" if found is not None else f"the body {body[:80]!r} is no version of {target}"
        if status == STATUS_NOT_MODIFIED:
            return "the request was not conditional, so no response says that a copy is current"
        own = [(response.status, response.body) for response in self.responses[request_id]]
        is_own = (status, body) in own
        return (
            "" if is_own else f"the response {status} {body[:80]!r} is none of those to {request_id}: {own}"
        )

    def version_of(self, target: str, body: bytes) -> int | None:
        """Return the version of an object that has this body; None if there was never such a version."""
        text = body.rstrip(FILLING).rpartition(b" ")[2]
        found = int(text) if text.isdigit() else 0
        is_version = 1 <= found <= self.version(target) and body == self.object_body(target, found)
        return found if is_version else None

    def object_body(self, target: str, version: int) -> bytes:
        """Return the body of a version of an object."""
        return self.pad(f"{target} version {version}")

    def pad(self, text: str) -> bytes:
        """Return a text as a body of the length of this run."""
        return text.encode().ljust(self.body_bytes, FILLING)

    def stale(self, target: str, body: bytes, current_at: float) -> str:
        """Return what shows that a body is a version that was replaced too early; empty if it is not.

        Args:
            target: The target of the object.
            body: The body that the client got, which is a version of the object.
            current_at: The version must have been the current one at this time or later.
        """
        found = self.version_of(target, body)
        replaced = self.replaced_at[target]
        if found is None or found > len(replaced) or replaced[found - 1] >= current_at:
            return ""
        ended_at = replaced[found - 1]
        return f"version {found} of {target}, replaced at {ended_at:.3f}, is older than {current_at:.3f}"
