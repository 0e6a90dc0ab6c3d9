"""The judge: checks from outside, each rule counted as checked and as broken."""

import collections
import json

from irisstand.dataplane.cache import objects
from irisstand.emulators import origin_emulator

# What a client may read as "it did not run and never will".
NOT_REFUSALS = ("outcome-unknown", "unanswered", "irisstand")


class InvariantChecker:
    def __init__(self, records: origin_emulator.OriginRecords) -> None:
        self.records = records
        self.checked: collections.Counter[str] = collections.Counter()
        self.broken: collections.Counter[str] = collections.Counter()
        self.examples: dict[str, str] = {}
        self.results: collections.Counter[str] = collections.Counter()
        self.told: dict[str, str] = {}
        self.floors: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
        # Cache lives by the first part of a path, as the configuration has them all day.
        self.lives: dict[str, float] = {}

    def check(self, rule: str, kept: bool, example: str = "") -> None:
        self.checked[rule] += 1
        if not kept:
            self.broken[rule] += 1
            self.examples.setdefault(rule, example)

    def read(self, service: str, target: str, status: int, headers: dict, body: bytes, now: float) -> None:
        """One answer at the moment that it was given out."""
        self.results[f"read {status}"] += 1
        if status != 200:
            return
        try:
            content = json.loads(body)
            meant = (content["service"], content["target"]) == (service, target)
        except (ValueError, KeyError, TypeError):
            content, meant = {"version": -1, "made": now}, False
        sealed = headers.get("content-digest") == objects.digest_header(body)
        rule = "a success is the origin's whole, sealed answer, meant for the asker"
        self.check(rule, meant and sealed, f"{target}: {body[:80]!r}")
        # Purged and confirmed at a time with a version: two seconds later nothing older may be served.
        path = target.partition("?")[0]
        due = [version for confirmed_at, version in self.floors[path] if now > confirmed_at + 2.0]
        if due:
            rule = "purged content is not served 2 s after the purge is confirmed"
            kept = content["version"] >= max(due)
            self.check(rule, kept, f"{target}: {content['version']} < {max(due)} at {now:.3f}")
        life = self.lives.get(path.split("/")[1])
        if life is not None:
            rule = "no content outlives its cache life by more than 2 s"
            age = now - content["made"]
            self.check(rule, age <= life + 2.0, f"{target}: {age:.3f} s old, life {life}, at {now:.3f}")

    def write(self, number: str, status: int, code: str) -> None:
        self.results[f"write {status}"] += 1
        if status == 200:
            self.told[number] = "done"
        elif not code or code in NOT_REFUSALS:
            # Without a code of ours it is the origin's own answer, which says nothing about its record.
            self.told[number] = "unknown"
        elif self.told.get(number) != "unknown":
            # Sent again under its key: a refused repetition says nothing of the first that went unheard.
            self.told[number] = "rejected"

    def purged(self, path: str, confirmed_at: float, version: int) -> None:
        # Far older floors are covered by the newer ones.
        self.floors[path] = [*self.floors[path][-20:], (confirmed_at, version)]

    def close(self) -> None:
        """At the end of the day: every write against the origins' own record."""
        for number, word in self.told.items():
            runs = self.records.executions[number]
            self.check("no write runs twice", runs <= 1, f"{number} ran {runs} times")
            if word == "rejected":
                self.check("no write runs after it was rejected", runs == 0, f"{number} was rejected and ran")
            if word == "done":
                self.check("a write that succeeded did run", runs == 1, f"{number} ran {runs} times")

    def lines(self) -> list[str]:
        found = [f"{count:7d}  {what}" for what, count in sorted(self.results.items())]
        for rule in sorted(self.checked):
            found.append(f"{self.checked[rule]:7d} checked {self.broken[rule]:4d} broken  {rule}")
        found += [f"        broken: {example}" for example in self.examples.values()]
        return found
