"""Invariant checker: counts how often each invariant was checked, on responses to clients, and violated."""

import collections
import enum
import json
import typing

from irisstand.dataplane.cache import objects
from irisstand.emulators import origin_emulator

HTTP_OK = 200
# Error codes of a write after which it is unknown whether an origin executed it.
UNKNOWN_OUTCOME_CODES = ("outcome-unknown", "unanswered", "irisstand")
# Content may be served this long after its TTL ended or its purge was confirmed.
GRACE_SECONDS = 2.0
# Purges kept for each path; older ones can go, since newer ones require newer versions.
KEPT_PURGES_LIMIT = 20


class WriteResult(enum.StrEnum):
    """Whether a client knows that its write was executed (`DONE`), was not (`REJECTED`), or neither."""

    DONE = "done"
    UNKNOWN = "unknown"
    REJECTED = "rejected"


class ConfirmedPurge(typing.NamedTuple):
    """A purge of a path that the control plane confirmed.

    Attributes:
        confirmed_at: When the purge was confirmed, in seconds.
        minimum_version: The oldest version of the content that may be served after the purge.
    """

    confirmed_at: float
    minimum_version: int


class InvariantChecker:
    """Checks invariants on the responses that clients get and on the origins' records.

    Attributes:
        checked: Number of checks by invariant.
        broken: Number of violations by invariant.
        examples: Description of the first violation of each invariant.
        results: Number of responses by kind of request and status.
        write_results: What the client knows of each write, by the write's number.
        purges: The last confirmed purges of each path.
        ttl_seconds: TTL of content in seconds, by the first segment of its path. Content without an entry
            is not checked.
    """

    def __init__(self, records: origin_emulator.OriginRecords) -> None:
        self.records = records
        self.checked: collections.Counter[str] = collections.Counter()
        self.broken: collections.Counter[str] = collections.Counter()
        self.examples: dict[str, str] = {}
        self.results: collections.Counter[str] = collections.Counter()
        self.write_results: dict[str, WriteResult] = {}
        self.purges: dict[str, list[ConfirmedPurge]] = collections.defaultdict(list)
        self.ttl_seconds: dict[str, float] = {}

    def check(self, invariant: str, holds: bool, example: str = "") -> None:  # noqa: FBT001 - the result of the check
        """Count a check of an invariant, and a violation if it does not hold.

        Args:
            invariant: The statement that must hold, by which checks are counted and printed.
            holds: Whether the statement held at this check.
            example: What was observed; kept for printing if this is the first violation.
        """
        self.checked[invariant] += 1
        if not holds:
            self.broken[invariant] += 1
            self.examples.setdefault(invariant, example)

    def read(  # noqa: PLR0913, PLR0917 - the parts of one response
        self,
        service: str,
        target: str,
        status: int,
        headers: typing.Mapping[str, str],
        body: bytes,
        now: float,
    ) -> None:
        """Check the response to a read, and count it by its status.

        Args:
            service: The service that the target is routed to.
            target: Path and query of the request.
            status: HTTP status of the response.
            headers: Headers of the response, with names in lower case.
            body: Body of the response.
            now: Time at which the client got the head of the response, in seconds.
        """
        self.results[f"read {status}"] += 1
        if status != HTTP_OK:
            return
        content = decode_content(body)
        answers_request = content is not None and (content["service"], content["target"]) == (service, target)
        digest_matches = headers.get("content-digest") == objects.digest_header(body)
        invariant = "a successful read is the origin's complete response to it, with a valid digest"
        self.check(invariant, answers_request and digest_matches, f"read of {target} returned {body[:80]!r}")
        version, made_at = (-1, now) if content is None else (content["version"], content["made"])
        self.check_purged(target, version, now)
        self.check_age(target, now - made_at, now)

    def check_purged(self, target: str, version: int, now: float) -> None:
        """Check that content older than a purge is not served two seconds or more after its confirmation."""
        minimum_versions = [
            purge.minimum_version
            for purge in self.purges[path_of(target)]
            if now > purge.confirmed_at + GRACE_SECONDS
        ]
        if minimum_versions:
            invariant = "purged content is not served 2 s after the purge is confirmed"
            self.check(
                invariant,
                version >= max(minimum_versions),
                f"{target}: version {version} < {max(minimum_versions)} served at {now:.3f} s",
            )

    def check_age(self, target: str, age: float, now: float) -> None:
        """Check that content is not served more than two seconds after its TTL ended."""
        ttl = self.ttl_seconds.get(path_of(target).split("/")[1])
        if ttl is not None:
            invariant = "no content is served more than 2 s after its TTL ended"
            example = f"{target}: content is {age:.3f} s old at {now:.3f} s, TTL {ttl} s"
            self.check(invariant, age <= ttl + GRACE_SECONDS, example)

    def write(self, number: str, status: int, code: str) -> None:
        """Record what the response to a write tells the client.

        Args:
            number: The number that identifies the write.
            status: HTTP status of the response.
            code: Error code in the body of the response; empty if it has none.
        """
        self.results[f"write {status}"] += 1
        if status == HTTP_OK:
            self.write_results[number] = WriteResult.DONE
        elif not code or code in UNKNOWN_OUTCOME_CODES:
            # An error without a code comes from the origin and does not say whether the write was executed.
            self.write_results[number] = WriteResult.UNKNOWN
        elif self.write_results.get(number) is not WriteResult.UNKNOWN:
            # A rejected retry under the same idempotency key leaves open whether the first attempt ran.
            self.write_results[number] = WriteResult.REJECTED

    def record_confirmed_purge(self, path: str, confirmed_at: float, version: int) -> None:
        """Record a confirmed purge of a path, after which `version` is the oldest that may be served."""
        kept = self.purges[path][-KEPT_PURGES_LIMIT:]
        self.purges[path] = [*kept, ConfirmedPurge(confirmed_at, version)]

    def close(self) -> None:
        """Check what clients know of each write against the origins' records, at the end of the run."""
        for number, result in self.write_results.items():
            runs = self.records.executions[number]
            self.check("no write runs twice", runs <= 1, f"write {number} was executed {runs} times")
            if result is WriteResult.REJECTED:
                self.check(
                    "no write runs after it was rejected",
                    runs == 0,
                    f"write {number} was rejected and executed",
                )
            if result is WriteResult.DONE:
                self.check(
                    "a write that succeeded did run", runs == 1, f"write {number} was executed {runs} times"
                )

    def lines(self) -> list[str]:
        """Return lines to print: counts of responses, checks and violations, and examples of violations."""
        results = [f"{count:7d}  {result}" for result, count in sorted(self.results.items())]
        counts = [
            f"{self.checked[invariant]:7d} checked {self.broken[invariant]:4d} broken  {invariant}"
            for invariant in sorted(self.checked)
        ]
        return [*results, *counts, *(f"        broken: {example}" for example in self.examples.values())]


def decode_content(body: bytes) -> dict[str, typing.Any] | None:
    """Return the JSON object in the body of an origin's response, or None if the body is something else."""
    try:
        content: dict[str, typing.Any] = json.loads(body)
        return content if {"service", "target"} <= content.keys() else None
    except (ValueError, AttributeError):
        return None


def path_of(target: str) -> str:
    """Return the path of a request target, without the query."""
    return target.partition("?")[0]
