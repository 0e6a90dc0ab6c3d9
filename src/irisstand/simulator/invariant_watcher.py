"""What is watched all through a simulated day: rows in force, duties, copies, second tries."""

import asyncio
import collections
import json
import typing

from irisstand import errors
from irisstand.simulator import standby_invariants
from irisstand.state import items, versions

GRACE = 2.0


class OfferedValue(typing.NamedTuple):
    """A value that may be in force: from when it was sent, and known to be from when it was confirmed."""

    value: typing.Any
    sent_at: float
    confirmed_at: float | None
    version: versions.Version | None


class InvariantWatcher:
    def __init__(self, world: typing.Any) -> None:
        self.cluster, self.actors, self.checker = world, world.actors, world.actors.checker
        self.offers: dict[str, list[OfferedValue]] = collections.defaultdict(list)
        self.applied_versions: dict[tuple[str, str], versions.Version] = {}
        self.number = 0
        self.rests = standby_invariants.StandbyInvariants(world)

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    # -- rows ----------------------------------------------------------------------------------------
    def confirmed_rows(self, values: dict[str, typing.Any], version: str) -> None:
        for name, value in values.items():
            self.offers[name].append(
                OfferedValue(value, self.now(), self.now(), versions.Version.parse(version))
            )

    async def change(self, control_node: str, number: int, row: dict) -> None:
        name = f"path/{row['name']}"
        node = self.cluster.nodes[control_node]
        expected = str(node.program.context.configuration.version(name))
        sent_at = self.now()
        # From here on it may be in force, long before its sender hears of it.
        offer = OfferedValue(row["value"], sent_at, None, None)
        self.offers[name].append(offer)
        self.number += 1
        change = f"switch-{self.number}"
        for attempt in range(3):
            try:
                result = await self.actors.order(
                    control_node, "change", [{**row, "expected": expected}], change
                )
            except errors.StaleVersionError:
                self.checker.results["change: another came first"] += 1
                self.offers[name].remove(offer)
                return
            except errors.NoQuorumError:
                self.checker.results["change: no majority"] += 1
                # A yes or no heard on the first attempt only: later ones may hide an unknown outcome.
                if not attempt:
                    self.offers[name].remove(offer)
                return
            except (errors.IrisError, TimeoutError):
                # Not known: the same id again must bring the one true result, from any node.
                control_node = self.another(control_node)
                continue
            self.checker.results["change confirmed"] += 1
            version = versions.Version.parse(result["serial"])
            taken = any(
                other.version == version and other.value != row["value"] for other in self.offers[name]
            )
            self.checker.check("two racing changes never both win", not taken, f"{name} {version}")
            place = self.offers[name].index(offer)
            self.offers[name][place] = offer._replace(confirmed_at=self.now(), version=version)
            return
        self.checker.results["change: outcome unknown"] += 1

    def another(self, control_node: str) -> str:
        names = [node.placement.name for node in self.cluster.with_role("agency") if node.is_up]
        return next((name for name in names if name != control_node), control_node)

    async def invalid_change(self, control_node: str, row: dict) -> None:
        """A good row and a bad one: neither may ever be seen."""
        good = {"kind": "path", "name": "/never-in-force", "value": row["value"]}
        try:
            await self.actors.order(control_node, "change", [good, row])
            self.checker.check("an invalid change is rejected whole", False, "it was confirmed")
        except errors.InvalidChangeError:
            self.checker.check("an invalid change is rejected whole", True)
        except (errors.IrisError, TimeoutError):
            pass

    def allowed(self, name: str, asked_at: float, answered_at: float) -> set[str]:
        """Services that may answer: the last confirmed two seconds ago, and all that may be newer."""
        offers = self.offers[name]
        sure = [o for o in offers if o.confirmed_at is not None and o.confirmed_at <= asked_at - GRACE]
        newest = max(sure, key=lambda offer: offer.version)
        found = set()
        for offer in offers:
            unsettled = offer.version is None or offer.version >= newest.version
            if unsettled and offer.sent_at <= answered_at:
                found.add(offer.value["grants"][0]["service"])
        return found

    async def read_switch(self, edge: str, number: int) -> None:
        name = f"/switch-{number}"
        asked_at = self.now()
        status, _, result = await self.actors.ask(edge, "GET", name)
        self.checker.results[f"switch {status}"] += 1
        if status == 200:
            service = json.loads(result.body)["service"]
            allowed = self.allowed(f"path/{name}", asked_at, self.now())
            rule = "a change is in force 2 s after the yes, and no node goes back"
            self.checker.check(rule, service in allowed, f"{edge} {name}: {service} at {asked_at:.3f}")

    async def read_ungranted(self, edge: str) -> None:
        status, _, _ = await self.actors.ask(edge, "GET", "/never-in-force")
        rule = "no request reaches a service that no blueprint allowed"
        self.checker.check(rule, status != 200, f"{edge} answered")

    # -- nodes ---------------------------------------------------------------------------------------
    async def run(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(0.05)

    def look(self) -> None:
        holders: dict[str, list[str]] = collections.defaultdict(list)
        used: dict[str, list[tuple]] = collections.defaultdict(list)
        for name, node in self.cluster.nodes.items():
            if not node.is_up or node.program is None:
                continue
            for table, copy in node.program.context.replicas.items():
                if node.program.context.is_current(copy):
                    before = self.applied_versions.get((name, table), versions.NONE)
                    rule = "no node that serves slips back to an older table"
                    self.checker.check(
                        rule, copy.applied >= before, f"{name} {table}: {copy.applied} after {before}"
                    )
                    self.applied_versions[(name, table)] = max(before, copy.applied)
            self.look_at_shares(name, node, used)
            for duty in getattr(node.program, "singleton_tasks", []):
                if duty.holds_lease():
                    holders[duty.name].append(name)
        for duty, names in holders.items():
            self.checker.check("a duty has one holder", len(names) == 1, f"{duty}: {names}")
        for service, entries in used.items():
            rate, ceiling = sum(entry[1] for entry in entries), max(entry[2] for entry in entries)
            rule = "the shares of a ceiling add up to no more than it"
            self.checker.check(rule, rate <= ceiling, f"{service}: {entries} at {self.now():.2f}")
        self.rests.look(self.now())

    def look_at_shares(self, name: str, node: typing.Any, used: dict[str, list[tuple]]) -> None:
        """What each shield would let through, if it were asked at this moment."""
        context = node.program.context
        if node.placement.role != "shield" or not all(map(context.is_current, context.replicas.values())):
            return
        for item in node.program.context.configuration.items_with_prefix("service/"):
            ceiling = item.value["ceiling"]
            service = item.key.removeprefix("service/")
            rate, _ = node.program.view.quota_share(service, (ceiling["rate"], ceiling["inflight"]))
            used[service].append((name, rate, ceiling["rate"]))

    # -- the end -------------------------------------------------------------------------------------
    def close(self) -> None:
        self.close_tables()
        self.checker.results["rows watched"] += len(self.offers)

    def close_tables(self) -> None:
        contexts = {name: node.program.context for name, node in self.cluster.nodes.items() if node.is_up}
        for name, context in contexts.items():
            for key, offers in self.offers.items():
                value, version = context.configuration.value(key), context.configuration.version(key)
                sure = max((o for o in offers if o.version is not None), key=lambda offer: offer.version)
                kept = (value == sure.value and version == sure.version) or (
                    version > sure.version and any(o.version is None and o.value == value for o in offers)
                )
                rule = "the table read back is what was confirmed"
                self.checker.check(rule, kept, f"{name} {key}: {version} where {sure.version} was confirmed")
            rule = "an invalid change is rejected whole"
            self.checker.check(rule, context.configuration.value("path//never-in-force") is None, name)
        for table in items.TABLES:
            # Terms are renewed all the time, so copies are compared with those at the same applied version.
            copies = [context.replicas[table] for context in contexts.values() if table in context.replicas]
            kinds = {(copy.applied, copy.root_digest()) for copy in copies}
            alike = len(kinds) == len({applied for applied, _ in kinds})
            self.checker.check("all copies come out alike", alike, f"{table}: {kinds}")
