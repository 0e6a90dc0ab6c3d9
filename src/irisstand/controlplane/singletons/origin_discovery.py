"""Origin discovery: fetches the platform's list of origins and writes the changes to the ledger."""

import collections
import collections.abc
import enum
import typing

from irisstand import errors, event_log, node_context
from irisstand.controlplane.singletons import lease, origin_source

# If the platform's answer is older than this, the platform is recorded as lagging.
LAG_LIMIT_SECONDS = 10.0
# After this many consecutive failures the platform is recorded as silent.
SILENT_AFTER_FAILURES = 5
# If a service would lose most of its origins at once, it keeps them for this many consecutive answers, as the
# platform's list may be wrong.
SHRINK_HOLD_ANSWERS = 5
# A service with fewer origins than this may lose them at once, unless the platform's list is empty.
SHRINK_MINIMUM_ORIGINS = 3
# After this many consecutive answers with older revisions, the platform is assumed to have restarted its
# numbering.
OLDER_ANSWERS_LIMIT = 30
REASON_LIMIT = 200
PLATFORM_KEY = "platform"
ORIGIN_PREFIX = "origin/"
COLD = "cold"
LEAVING = "leaving"


class PlatformState(enum.StrEnum):
    """Whether the platform's answers are applied in full; the values are those of the ledger's row."""

    WELL = "well"
    LAGGING = "lagging"
    SILENT = "silent"
    SHRUNK = "shrunk"


class PlatformRecord(typing.NamedTuple):
    """The ledger's row about the platform, which shows operators why the list of origins does not change.

    Attributes:
        state: A value of `PlatformState`, empty if nothing is recorded.
        reason: The reason for the state, as a text for operators.
        revision: The newest revision that was applied, None if the platform does not number its lists.
    """

    state: str
    reason: str
    revision: int | None

    @classmethod
    def from_value(cls, value: dict[str, typing.Any] | None) -> "PlatformRecord":
        """Parse the stored row about the platform; None gives an empty record."""
        value = value or {}
        return cls(value.get("state", ""), value.get("why", ""), value.get("revision"))

    def to_value(self) -> dict[str, typing.Any]:
        """Return the value to store for the platform."""
        return {"state": str(self.state), "why": self.reason, "revision": self.revision}


class OriginDiscovery:
    """Keeps on one control plane node the ledger's list of origins in line with the platform.

    Attributes:
        context: The state and services of this node.
        fetch_origins: The function that fetches the platform's answer.
        asked_at: When the platform was last asked, by this node's clock.
        failures: The number of consecutive requests without a valid list.
        held_answers: The number of consecutive answers whose removals were held back as services shrank.
        older_answers: The number of consecutive answers with an older revision than the recorded one.
    """

    def __init__(self, context: node_context.NodeContext, fetch_origins: origin_source.FetchOrigins) -> None:
        self.context = context
        self.fetch_origins = fetch_origins
        self.asked_at = -1e9
        self.failures = 0
        self.held_answers = 0
        self.older_answers = 0

    async def work(self, task: lease.SingletonTask) -> None:
        """Ask the platform for its origins once per interval, and write the rows that have changed."""
        now = self.context.clock.now()
        if now - self.asked_at < self.context.settings.platform_interval:
            return
        self.asked_at = now
        try:
            rows = self.rows_of(await self.fetch_origins())
            self.failures = 0
            self.context.counters.add("platform_asked")
        except (errors.IrisError, OSError, ValueError, TimeoutError) as error:
            # The last valid list stays in force: a failure of the platform does not mean that origins failed.
            rows = self.rows_for_failure(error)
        if rows and task.holds_lease():
            await task.write_fenced(rows)

    def rows_for_failure(self, error: Exception) -> list[lease.Row]:
        """Count a failure; after `SILENT_AFTER_FAILURES` of them, return the row for a silent platform."""
        self.failures += 1
        self.context.counters.add("platform_failed")
        event_log.record("platform", error=repr(error))
        if self.failures < SILENT_AFTER_FAILURES:
            return []
        return self.platform_rows(PlatformState.SILENT, repr(error)[:REASON_LIMIT])

    def rows_of(self, answer: origin_source.PlatformAnswer) -> list[lease.Row]:
        """Return the rows to write for the platform's answer.

        An answer with an older revision than the recorded one changes no origins, and services that shrink
        suddenly keep their origins for some answers.

        Raises:
            ValueError: The answer is not JSON.
            BadRequestError: The answer does not match the schema.
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
            # Only removals of the shrunk services' origins are held back; the rest of the answer is applied.
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
        """Return whether an answer is to be ignored because of its older revision, and count such answers.

        The platform consists of several machines, so an older answer may arrive after a newer one.
        """
        is_older = revision is not None and known_revision is not None and revision < known_revision
        self.older_answers = self.older_answers + 1 if is_older else 0
        return is_older and self.older_answers <= OLDER_ANSWERS_LIMIT

    def platform_record(self) -> PlatformRecord:
        """Return the ledger's record about the platform."""
        return PlatformRecord.from_value(self.context.ledger.value(PLATFORM_KEY))

    def platform_rows(
        self, state: PlatformState, reason: str, revision: int | None = None, *, has_changed: bool = False
    ) -> list[lease.Row]:
        """Return the row about the platform if its state has changed or origins change with it, else no rows.

        If only the revision or the age of the answer changes, nothing is written, to save orders.
        """
        known = self.platform_record()
        if known.state == state and not has_changed:
            return []
        kept_revision = known.revision if revision is None else revision
        return [(PLATFORM_KEY, PlatformRecord(state, reason, kept_revision).to_value())]

    def origin_value(self, origin: dict[str, typing.Any]) -> dict[str, typing.Any]:
        """Return the ledger row's value for an origin in the platform's list."""
        value = {name: origin[name] for name in ("service", "host", "port", "site", "state")}
        value["warmup"] = origin.get("warmup", 0)
        if "slots" in origin:
            value["slots"] = origin["slots"]
        known = self.context.ledger.value(f"{ORIGIN_PREFIX}{origin['id']}")
        # The remaining warm-up time decreases with each answer; the row keeps the value of the first answer.
        if known is not None and known["state"] == value["state"] == COLD:
            value["warmup"] = max(value["warmup"], known["warmup"])
        return value

    def shrunk_services(self, origins: dict[str, typing.Any]) -> list[str]:
        """Return the services that would lose most of their origins at once, or all to an empty list."""
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
        """Return the rows of origins that were added, changed or removed; held services lose no origins."""
        ledger = self.context.ledger
        rows: list[lease.Row] = [(key, value) for key, value in origins.items() if ledger.value(key) != value]
        gone = [
            item.key
            for item in ledger.items_with_prefix(ORIGIN_PREFIX)
            if item.key not in origins and item.value["service"] not in held_services
        ]
        return rows + [(key, None) for key in gone]
