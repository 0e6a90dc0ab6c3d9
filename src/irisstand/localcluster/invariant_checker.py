"""Invariant checker: what clients and operators see, each rule counted as checked and as broken."""

import collections
import enum
import json
import typing

from irisstand.dataplane.cache import objects
from irisstand.emulators import origin_emulator

HTTP_OK = 200
# Codes that say nothing about whether a write ran.
UNKNOWN_OUTCOME_CODES = ("outcome-unknown", "unanswered", "irisstand")
GRACE_SECONDS = 2.0
# Older purges of a path are covered by the newer ones.
KEPT_PURGES_LIMIT = 20


class WriteResult(enum.StrEnum):
    """What a client knows of a write."""

    DONE = "done"
    UNKNOWN = "unknown"
    REJECTED = "rejected"


class ConfirmedPurge(typing.NamedTuple):
    """A purge, and the version of the content that it makes the oldest allowed one."""

    confirmed_at: float
    minimum_version: int


class InvariantChecker:
    """Checks from outside, on what clients are told and on the origins' records.

    Attributes:
        checked: Number of checks by rule.
        broken: Number of violations by rule.
        examples: The first violation of each rule.
        results: Counts of answers by kind.
        write_results: What the client knows of each write, by its number.
        ttl_seconds: Seconds that content may be cached, by the first part of its path.
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

    def check(self, invariant: str, holds: bool, example: str = "") -> None:  # noqa: FBT001 - what is checked
        """Count a check of a rule, and keep the first example of a violation."""
        self.checked[invariant] += 1
        if not holds:
            self.broken[invariant] += 1
            self.examples.setdefault(invariant, example)

    def read(  # noqa: PLR0913, PLR0917 - the parts of one answer
        self,
        service: str,
        target: str,
        status: int,
        headers: typing.Mapping[str, str],
        body: bytes,
        now: float,
    ) -> None:
        """Check an answer to a read at the moment when it was given.

        Args:
            service: The service that should answer.
            target: Path and query.
            status: The answer's status.
            headers: The answer's headers, names in lower case.
            body: The answer's body.
            now: When it was given, in seconds.
        """
        self.results[f"read {status}"] += 1
        if status != HTTP_OK:
            return
        content = decode_content(body)
        answers_request = content is not None and (content["service"], content["target"]) == (service, target)
        digest_matches = headers.get("content-digest") == objects.digest_header(body)
        invariant = "a successful read is the origin's complete response to it, with a valid digest"
        self.check(invariant, answers_request and digest_matches, f"{target}: {body[:80]!r}")
        version, made_at = (-1, now) if content is None else (content["version"], content["made"])
        self.check_purged(target, version, now)
        self.check_age(target, now - made_at, now)

    def check_purged(self, target: str, version: int, now: float) -> None:
        """Check that content from before a confirmed purge is not served."""
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
                f"{target}: {version} < {max(minimum_versions)} at {now:.3f}",
            )

    def check_age(self, target: str, age: float, now: float) -> None:
        """Check that content is not served long after its time to live."""
        ttl = self.ttl_seconds.get(path_of(target).split("/")[1])
        if ttl is not None:
            invariant = "no content is served more than 2 s after its TTL ended"
            example = f"{target}: {age:.3f} s old, life {ttl}, at {now:.3f}"
            self.check(invariant, age <= ttl + GRACE_SECONDS, example)

    def write(self, number: str, status: int, code: str) -> None:
        """Note what a client was told of a write."""
        self.results[f"write {status}"] += 1
        if status == HTTP_OK:
            self.write_results[number] = WriteResult.DONE
        elif not code or code in UNKNOWN_OUTCOME_CODES:
            # An answer without a code is the origin's own, and says nothing about its record.
            self.write_results[number] = WriteResult.UNKNOWN
        elif self.write_results.get(number) is not WriteResult.UNKNOWN:
            # A rejected repetition under the same key says nothing of the first, whose outcome is unknown.
            self.write_results[number] = WriteResult.REJECTED

    def record_confirmed_purge(self, path: str, confirmed_at: float, version: int) -> None:
        """Note a confirmed purge of a path, after which `version` is the oldest that may be served."""
        kept = self.purges[path][-KEPT_PURGES_LIMIT:]
        self.purges[path] = [*kept, ConfirmedPurge(confirmed_at, version)]

    def close(self) -> None:
        """Compare what clients know of each write with the origins' records."""
        for number, result in self.write_results.items():
            runs = self.records.executions[number]
            self.check("no write runs twice", runs <= 1, f"{number} ran {runs} times")
            if result is WriteResult.REJECTED:
                self.check("no write runs after it was rejected", runs == 0, f"{number} was rejected and ran")
            if result is WriteResult.DONE:
                self.check("a write that succeeded did run", runs == 1, f"{number} ran {runs} times")

    def lines(self) -> list[str]:
        """Return the counts and the examples of violations, for printing."""
        results = [f"{count:7d}  {result}" for result, count in sorted(self.results.items())]
        counts = [
            f"{self.checked[invariant]:7d} checked {self.broken[invariant]:4d} broken  {invariant}"
            for invariant in sorted(self.checked)
        ]
        return [*results, *counts, *(f"        broken: {example}" for example in self.examples.values())]


def decode_content(body: bytes) -> dict[str, typing.Any] | None:
    """Return an origin's content with all its fields, or None if the body is not one."""
    try:
        content: dict[str, typing.Any] = json.loads(body)
        return content if {"service", "target"} <= content.keys() else None
    except (ValueError, AttributeError):
        return None


def path_of(target: str) -> str:
    """Return a request target without its query."""
    return target.partition("?")[0]
