"""Origin discovery: asks the platform for its origins and records what has changed in the ledger."""

import collections
import collections.abc
import enum
import typing

from irisstand import errors, event_log, node_context
from irisstand.controlplane.singletons import lease, origin_source

# An older answer is recorded as lagging.
LAG_LIMIT_SECONDS = 10.0
# So many failures in a row are recorded as silence.
SILENT_AFTER_FAILURES = 5
# Where a service would lose most of its origins at once, for so many answers it loses none: the platform's
# list may be at fault.
SHRINK_HOLD_ANSWERS = 5
# Services with fewer origins may lose them at once, unless the list is empty.
SHRINK_MINIMUM_ORIGINS = 3
# After so many answers of older revisions in a row the platform is taken to count anew.
OLDER_ANSWERS_LIMIT = 30
REASON_LIMIT = 200
PLATFORM_KEY = "platform"
ORIGIN_PREFIX = "origin/"
COLD = "cold"
LEAVING = "leaving"


class PlatformState(enum.StrEnum):
    """How far the platform's answers can be followed, with the words that the ledger's row uses."""

    WELL = "well"
    LAGGING = "lagging"
    SILENT = "silent"
    SHRUNK = "shrunk"


class PlatformRecord(typing.NamedTuple):
    """The ledger's row on the platform, from which operators see why the list of origins does not change.

    Attributes:
        state: How far its answers can be followed; empty if nothing is recorded.
        reason: Why, in words.
        revision: The newest revision that was followed, None if the platform does not number its lists.
    """

    state: str
    reason: str
    revision: int | None

    @classmethod
    def from_value(cls, value: dict[str, typing.Any] | None) -> "PlatformRecord":
        """Read the stored row; None if there is none."""
        value = value or {}
        return cls(value.get("state", ""), value.get("why", ""), value.get("revision"))

    def to_value(self) -> dict[str, typing.Any]:
        """Return the row to store."""
        return {"state": str(self.state), "why": self.reason, "revision": self.revision}


class OriginDiscovery:
    """The work of the origin discovery task on one node.

    Attributes:
        context: The node.
        fetch_origins: How the platform is asked.
        asked_at: When it was asked last.
        failures: How many times in a row it gave no list.
        held_answers: How many answers in a row were held back because services shrank.
        older_answers: How many answers in a row were of an older revision than recorded.
    """

    def __init__(self, context: node_context.NodeContext, fetch_origins: origin_source.FetchOrigins) -> None:
        self.context = context
        self.fetch_origins = fetch_origins
        self.asked_at = -1e9
        self.failures = 0
        self.held_answers = 0
        self.older_answers = 0

    async def work(self, task: lease.SingletonTask) -> None:
        """Ask the platform once an interval, and write what has changed."""
        now = self.context.clock.now()
        if now - self.asked_at < self.context.settings.platform_interval:
            return
        self.asked_at = now
        try:
            rows = self.rows_of(await self.fetch_origins())
            self.failures = 0
            self.context.counters.add("platform_asked")
        except (errors.IrisError, OSError, ValueError, TimeoutError) as error:
            # The last good list stays in force: a dead platform says nothing about its origins.
            rows = self.rows_for_failure(error)
        if rows and task.holds_lease():
            await task.write_fenced(rows)

    def rows_for_failure(self, error: Exception) -> list[lease.Row]:
        """Count a failure, and return the row that records silence after some in a row."""
        self.failures += 1
        self.context.counters.add("platform_failed")
        event_log.record("platform", error=repr(error))
        if self.failures < SILENT_AFTER_FAILURES:
            return []
        return self.platform_rows(PlatformState.SILENT, repr(error)[:REASON_LIMIT])

    def rows_of(self, answer: origin_source.PlatformAnswer) -> list[lease.Row]:
        """Return the rows that an answer calls for.

        An older revision after a newer one changes nothing; services that shrink suddenly are held back.

        Raises:
            ValueError: The answer is no JSON.
            BadRequestError: The answer does not fit the schema.
        """
        listed = origin_source.parse(answer.content)
        revision = listed.revision
        known_revision = self.platform_record().revision
        if self.is_outdated(revision, known_revision):
            self.context.counters.add("platform_old_answers")
            return self.platform_rows(PlatformState.LAGGING, f"revision {revision} after {known_revision}")
        origins = {f"{ORIGIN_PREFIX}{origin['id']}": self.origin_value(origin) for origin in listed.origins}
        shrunk = self.shrunk_services(origins)
        if shrunk and self.held_answers < SHRINK_HOLD_ANSWERS:
            self.held_answers += 1
            # The rest of the answer counts, and so do this service's origins that it lists.
            rows = self.changed_rows(origins, set(shrunk))
            names = ", ".join(shrunk)
            reason = f"most origins of {names} are gone at once: kept for {SHRINK_HOLD_ANSWERS} answers"
            return rows + self.platform_rows(PlatformState.SHRUNK, reason, revision, has_changed=bool(rows))
        self.held_answers = 0
        rows = self.changed_rows(origins, set())
        if answer.age > LAG_LIMIT_SECONDS:
            reason = f"its answer is {answer.age:.0f} s old"
            return rows + self.platform_rows(PlatformState.LAGGING, reason, revision)
        return rows + self.platform_rows(PlatformState.WELL, "", revision, has_changed=bool(rows))

    def is_outdated(self, revision: int | None, known_revision: int | None) -> bool:
        """Return whether an answer is to be ignored for its revision, and count such answers.

        The platform is more than one machine: an older answer may come after a newer one.
        """
        is_older = revision is not None and known_revision is not None and revision < known_revision
        self.older_answers = self.older_answers + 1 if is_older else 0
        return is_older and self.older_answers <= OLDER_ANSWERS_LIMIT

    def platform_record(self) -> PlatformRecord:
        """Return what the ledger has on the platform."""
        return PlatformRecord.from_value(self.context.ledger.value(PLATFORM_KEY))

    def platform_rows(
        self, state: PlatformState, reason: str, revision: int | None = None, *, has_changed: bool = False
    ) -> list[lease.Row]:
        """Return the row on the platform if its state changes, or its revision together with origins.

        A revision or an age that changes alone is not worth a write.
        """
        known = self.platform_record()
        if known.state == state and not has_changed:
            return []
        kept_revision = known.revision if revision is None else revision
        return [(PLATFORM_KEY, PlatformRecord(state, reason, kept_revision).to_value())]

    def origin_value(self, origin: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Return an origin's row as the platform lists it."""
        value = {name: origin[name] for name in ("service", "host", "port", "site", "state")}
        value["warmup"] = origin.get("warmup", 0)
        if "slots" in origin:
            value["slots"] = origin["slots"]
        known = self.context.ledger.value(f"{ORIGIN_PREFIX}{origin['id']}")
        # What is left of a warm-up becomes less with each answer: the row keeps what was left at first.
        if known is not None and known["state"] == value["state"] == COLD:
            value["warmup"] = max(value["warmup"], known["warmup"])
        return value

    def shrunk_services(self, origins: dict[str, typing.Any]) -> list[str]:
        """Return the services that would lose most origins at once, or all of them to an empty list."""
        before = collections.Counter(
            item.value["service"]
            for item in self.context.ledger.items_with_prefix(ORIGIN_PREFIX)
            if item.value["state"] != LEAVING
        )
        after = collections.Counter(value["service"] for value in origins.values())
        return sorted(
            service
            for service, count in before.items()
            if 2 * after[service] < count and (count >= SHRINK_MINIMUM_ORIGINS or not origins)
        )

    def changed_rows(
        self, origins: dict[str, typing.Any], held_services: collections.abc.Container[str]
    ) -> list[lease.Row]:
        """Return the rows of origins that changed, came or went; origins of held services do not go."""
        ledger = self.context.ledger
        rows: list[lease.Row] = [(key, value) for key, value in origins.items() if ledger.value(key) != value]
        gone = [
            item.key
            for item in ledger.items_with_prefix(ORIGIN_PREFIX)
            if item.key not in origins and item.value["service"] not in held_services
        ]
        return rows + [(key, None) for key in gone]
