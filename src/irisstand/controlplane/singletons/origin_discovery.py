"""The platform watch: the duty of asking the platform for its origins and recording changes."""

import collections
import collections.abc
import functools
import importlib
import json
import typing

from irisstand import errors, event_log, node_context
from irisstand.controlplane.singletons import lease
from irisstand.validation import lazy_jsonschema

ORIGIN_SCHEMA = {
    "type": "object",
    "required": ["id", "service", "host", "port", "site", "state"],
    "properties": {
        "id": {"type": "string", "pattern": r"^[A-Za-z0-9._-]{1,64}$"},
        "service": {"type": "string"},
        "host": {"type": "string"},
        "port": {"type": "integer", "minimum": 1, "maximum": 65535},
        "site": {"type": "string"},
        "state": {"enum": ["cold", "ready", "leaving"]},
        "warmup": {"type": "number", "minimum": 0},
        "slots": {"type": "integer", "minimum": 0},
    },
}
ANSWER_SCHEMA = {
    "type": "object",
    "required": ["origins"],
    "properties": {
        "origins": {"type": "array", "items": ORIGIN_SCHEMA},
        "revision": {"type": "integer", "minimum": 0},
    },
}
# An answer older than this is recorded as lagging; so many failures in a row, as silence.
LAG_LIMIT_SECONDS = 10.0
SILENT_AFTER_FAILURES = 5
# A list that loses most of a service at once is held back for so many answers, in case it is a fault.
SHRINK_HOLD_ANSWERS = 5
SHRINK_MINIMUM_ORIGINS = 3
OLDER_ANSWERS_LIMIT = 30


class PlatformAnswer(typing.NamedTuple):
    """The platform's answer and how old it says to be (the Age header of HTTP caches, RFC 9111)."""

    content: bytes
    age: float


# Raises an IrisError, an OSError, a ValueError or a TimeoutError where the platform gives no list.
FetchOrigins = collections.abc.Callable[[], collections.abc.Awaitable[PlatformAnswer]]


@functools.cache
def answer_validator() -> typing.Any:
    return lazy_jsonschema.compiled(ANSWER_SCHEMA)


async def http_get(url: str, patience: float = 2.0) -> tuple[bytes, typing.Any]:
    """Body and headers of a 200, on a connection of its own; BadRequest for anything else."""
    # Imported by the one node that asks: the others are back sooner without it after a kill.
    aiohttp = importlib.import_module("aiohttp")
    timeout, connector = aiohttp.ClientTimeout(total=patience), aiohttp.TCPConnector(force_close=True)
    try:
        async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
            async with session.get(url) as response:
                if response.status != 200:
                    raise errors.BadRequestError(f"the platform answered {response.status}")
                return await response.read(), response.headers
    except aiohttp.ClientError as error:
        raise errors.BadRequestError(f"the platform cannot be asked: {error!r}") from None


def http_origin_source(address: tuple[str, int]) -> FetchOrigins:
    """Ask the platform over HTTP, each time on a connection of its own."""

    async def ask() -> PlatformAnswer:
        content, headers = await http_get(f"http://{address[0]}:{address[1]}/origins")
        age = headers.get("Age", "0")
        return PlatformAnswer(content, float(age) if age.isdigit() else 0.0)

    return ask


class OriginDiscovery:
    def __init__(self, context: node_context.NodeContext, ask: FetchOrigins) -> None:
        self.context, self.ask = context, ask
        self.asked_at = -1e9
        self.failures = 0
        self.held, self.older = 0, 0

    async def work(self, duty: lease.SingletonTask) -> None:
        now = self.context.clock.now()
        if now - self.asked_at < self.context.settings.platform_interval:
            return
        self.asked_at = now
        try:
            rows = self.judge(await self.ask())
            self.failures = 0
            self.context.counters.add("platform_asked")
        except (errors.IrisError, OSError, ValueError, TimeoutError) as error:
            # The last good roster stays in force: a dead platform says nothing about its origins.
            self.failures += 1
            self.context.counters.add("platform_failed")
            event_log.record("platform", error=repr(error))
            rows = (
                self.state_rows("silent", repr(error)[:200]) if self.failures >= SILENT_AFTER_FAILURES else []
            )
        if rows and duty.holds_lease():
            await duty.write_fenced(rows)

    def judge(self, heard: PlatformAnswer) -> list[tuple[str, typing.Any]]:
        """The rows that the answer calls for. Old after new changes nothing; a sudden shrinking waits."""
        answer = json.loads(heard.content)
        fault = next(answer_validator().iter_errors(answer), None)
        if fault is not None:
            raise errors.BadRequestError(f"the platform's answer is malformed: {fault.message}")
        revision, known = answer.get("revision"), self.state().get("revision")
        # An older answer may come by another way, after a newer one: the platform is more than one machine.
        is_older = revision is not None and known is not None and revision < known
        self.older = self.older + 1 if is_older else 0
        # Nothing but older ones for long: it counts anew, as after a loss of its own.
        if is_older and self.older <= OLDER_ANSWERS_LIMIT:
            self.context.counters.add("platform_old_answers")
            return self.state_rows("lagging", f"revision {revision} after {known}")
        origins = self.origins(answer)
        shrunk = self.shrunk(origins)
        if shrunk and self.held < SHRINK_HOLD_ANSWERS:
            self.held += 1
            # What it says of the others counts, and of this service, too, but for those that it leaves out.
            rows = self.changes(origins, set(shrunk))
            names = ", ".join(shrunk)
            why = f"most origins of {names} are gone at once: kept for {SHRINK_HOLD_ANSWERS} answers"
            return rows + self.state_rows("shrunk", why, revision, bool(rows))
        self.held = 0
        rows = self.changes(origins, set())
        if heard.age > LAG_LIMIT_SECONDS:
            return rows + self.state_rows("lagging", f"its answer is {heard.age:.0f} s old", revision)
        return rows + self.state_rows("well", "", revision, bool(rows))

    def state(self) -> dict[str, typing.Any]:
        return self.context.ledger.value("platform") or {}

    def state_rows(
        self, state: str, why: str, revision: int | None = None, changed: bool = False
    ) -> list[tuple[str, typing.Any]]:
        """The platform's state is a row, so that all can see why a roster does not move."""
        known = self.state()
        # Written when it says something new; figures that only tick on are no news.
        if known.get("state") == state and not changed:
            return []
        kept = known.get("revision") if revision is None else revision
        return [("platform", {"state": state, "why": why, "revision": kept})]

    def origins(self, answer: dict) -> dict[str, typing.Any]:
        return {f"origin/{origin['id']}": self.row(origin) for origin in answer["origins"]}

    def row(self, origin: dict) -> dict[str, typing.Any]:
        found = {
            "service": origin["service"],
            "host": origin["host"],
            "port": origin["port"],
            "site": origin["site"],
            "state": origin["state"],
            "warmup": origin.get("warmup", 0),
        }
        if "slots" in origin:
            found["slots"] = origin["slots"]
        known = self.context.ledger.value(f"origin/{origin['id']}")
        # What is left of a warm-up ticks down with each answer: the row keeps what was left at first.
        if known is not None and known["state"] == found["state"] == "cold":
            found["warmup"] = max(found["warmup"], known["warmup"])
        return found

    def shrunk(self, origins: dict[str, typing.Any]) -> list[str]:
        """Services that would lose most of their origins at once, or all of them to an empty list."""
        before = collections.Counter(
            item.value["service"]
            for item in self.context.ledger.items_with_prefix("origin/")
            if item.value["state"] != "leaving"
        )
        after = collections.Counter(value["service"] for value in origins.values())
        return sorted(
            service
            for service, count in before.items()
            if 2 * after[service] < count and (count >= SHRINK_MINIMUM_ORIGINS or not origins)
        )

    def changes(self, origins: dict[str, typing.Any], held: set[str]) -> list[tuple[str, typing.Any]]:
        copy = self.context.ledger
        rows = [(key, value) for key, value in origins.items() if copy.value(key) != value]
        gone = [
            item.key
            for item in copy.items_with_prefix("origin/")
            if item.key not in origins and item.value["service"] not in held
        ]
        return rows + [(key, None) for key in gone]
