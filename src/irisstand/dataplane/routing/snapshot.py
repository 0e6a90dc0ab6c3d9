"""What the data plane reads from the tables: grants, purges, evacuated sites, origins."""

import typing

from irisstand import errors, node_context
from irisstand.balancing import quota_shares, rendezvous, slot_assignment
from irisstand.membership import updates
from irisstand.state import items, versions


class AllowedRequest(typing.NamedTuple):
    """A request that the configuration allows, and on what conditions."""

    path: str
    service: str
    deadline: float
    ttl: float
    vary: tuple[str, ...]
    limit: tuple[int, int]
    probe: str


class Origin(typing.NamedTuple):
    key: str
    service: str
    host: str
    port: int
    site: str
    state: str
    warmup: float
    slots: int = 0


class ConfigurationSnapshot:
    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.lengths: list[int] = []
        self.lengths_applied = versions.NONE

    def check_current(self) -> None:
        for copy in self.context.replicas.values():
            if not self.context.is_current(copy):
                raise errors.StaleConfigurationError(f"the {copy.name} table is not known to be current here")

    def path_item(self, path: str) -> tuple[str, dict] | None:
        """The row with the longest name that the path begins with."""
        copy = self.context.configuration
        if self.lengths_applied != copy.applied:
            names = {len(item.key) for item in copy.items_with_prefix("path/")}
            self.lengths, self.lengths_applied = sorted(names, reverse=True), copy.applied
        whole = "path/" + path
        for length in self.lengths:
            if length <= len(whole) and (value := copy.value(whole[:length])) is not None:
                return whole[len("path/") : length], value
        return None

    def authorize(self, method: str, path: str, query: str) -> AllowedRequest:
        """Which service answers, by the grant entries in force; whatever they do not name goes nowhere."""
        found = self.path_item(path)
        if found is None:
            raise errors.UnknownPathError(f"no path of the blueprint covers {path}")
        name, row = found
        wanted = "GET" if method == "HEAD" else method
        candidates = [
            (entry["service"], entry.get("weight", 1))
            for entry in row["grants"]
            if wanted in entry["methods"] or method in entry["methods"]
        ]
        if not any(weight > 0 for _, weight in candidates):
            raise errors.MethodNotAllowedError(f"{method} is not granted on {name}")
        # By the request alone, so that edge and shield, and all edges, draw the same service.
        service = rendezvous.pick(f"{path}?{query}", candidates)
        value = self.context.configuration.value(f"service/{service}")
        if value is None:
            raise errors.UnknownPathError(f"service {service} has no row")
        ceiling = (value["ceiling"]["rate"], value["ceiling"]["inflight"])
        return AllowedRequest(
            name,
            service,
            value["deadline"],
            row.get("life", 0),
            tuple(row.get("vary", ())),
            ceiling,
            value.get("probe", "/health"),
        )

    def purged_at(self, path: str, tags: tuple[str, ...]) -> versions.Version:
        """The newest purge that strikes the path or one of the tags, or may have struck it."""
        copy = self.context.ledger
        keys = [f"purge/path/{path}", *(f"purge/tag/{tag}" for tag in tags)]
        # Purges as old as this may be forgotten, so what was fetched before them counts as struck by one:
        # a node that comes back from long ago may still hold what they were meant for.
        forgotten = versions.Version.from_wire(copy.value(items.FORGOTTEN_PURGES_KEY) or versions.NONE)
        return max(forgotten, *(copy.version(key) for key in keys))

    def is_evacuated(self, site: str) -> bool:
        return self.context.is_evacuated(site)

    def origins(self) -> list[Origin]:
        return [
            Origin(
                item.key,
                item.value["service"],
                item.value["host"],
                item.value["port"],
                item.value["site"],
                item.value["state"],
                item.value["warmup"],
                item.value.get("slots", 0),
            )
            for item in self.context.ledger.items_with_prefix("origin/")
        ]

    def is_resting(self, machine: str) -> bool:
        return self.context.is_standby(machine)

    def quota_share(self, service: str, ceiling: tuple[int, int]) -> tuple[int, int]:
        """This machine's recorded part of a service's ceiling; nothing recorded is nothing."""
        row = self.context.ledger.value(f"share/{self.context.settings.machine}") or {}
        return quota_shares.effective_limit(row.get(service), ceiling)

    def slot_owner(self, slot: int) -> str:
        row = self.context.ledger.value(slot_assignment.item_key(slot))
        return row["owners"][slot % slot_assignment.SLOTS_PER_ITEM] if row else ""

    def has_quota_share(self, machine: str, service: str) -> bool:
        return service in (self.context.ledger.value(f"share/{machine}") or {})

    def shields(self, service: str, key: str) -> list:
        """Shields in the order in which they should be asked for this key of a service."""
        found = {update.identity.name: update for update in self.context.members_of("shield")}
        candidates = []
        for name, update in found.items():
            row = self.context.configuration.value(f"shield/{update.node_info.machine}") or {}
            site = self.context.configuration.value(f"site/{update.node_info.site}") or {}
            weight = row.get("weight", 1) * site.get("weight", 1)
            if not self.is_evacuated(update.node_info.site) and not self.is_resting(update.node_info.machine):
                candidates.append((name, weight))
        slot = rendezvous.slot_of(key)
        owner = self.slot_owner(slot)
        ordered = [found[name] for name in rendezvous.ranked(str(slot), candidates)]

        # The recorded owner first, but after it whoever may talk to the service's origins at all. A suspected
        # shield last: its reads move at once, before it is declared failed.
        def rank(update: updates.Update) -> tuple:
            machine = update.node_info.machine
            return (update.state, not self.has_quota_share(machine, service), machine != owner)

        return sorted(ordered, key=rank)
