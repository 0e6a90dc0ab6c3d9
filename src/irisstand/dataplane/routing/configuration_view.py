"""What the data plane reads from the tables: allowed requests, purges, origins, quota shares, shields."""

import typing

from irisstand import errors, node_context
from irisstand.balancing import quota_shares, rendezvous, slot_assignment
from irisstand.membership import updates
from irisstand.state import items, versions

PATH_KEY_PREFIX = "path/"
DEFAULT_PROBE_PATH = "/health"


class AllowedRequest(typing.NamedTuple):
    """A request that the configuration allows.

    Attributes:
        path: The name of the configuration's path that covers the request.
        service: The service that answers.
        deadline: Seconds until the request is given up.
        ttl: The time to live of the object, in seconds.
        vary: The headers that the answer depends on.
        limit: The service's (rate, concurrency) over the whole fleet.
        probe: The path of the service's health probes.
    """

    path: str
    service: str
    deadline: float
    ttl: float
    vary: tuple[str, ...]
    limit: tuple[int, int]
    probe: str


class Origin(typing.NamedTuple):
    """An origin as the ledger lists it; `warmup` in seconds, `slots` in requests at the same time."""

    key: str
    service: str
    host: str
    port: int
    site: str
    state: str
    warmup: float
    slots: int = 0

    @classmethod
    def from_item(cls, item: items.Item) -> typing.Self:
        """Read an item `origin/...`."""
        value = item.value
        return cls(
            item.key,
            value["service"],
            value["host"],
            value["port"],
            value["site"],
            value["state"],
            value["warmup"],
            value.get("slots", 0),
        )


class PathItem(typing.NamedTuple):
    """A path of the configuration, and what operators set for it."""

    name: str
    value: dict[str, typing.Any]


class ConfigurationView:
    """Answers questions by the replicas of the tables as they are at the moment of the call.

    Args:
        context: The node's context, with its replicas.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        # Of the keys of paths, the longest first, as of the configuration's version that was read.
        self.key_lengths: list[int] = []
        self.key_lengths_version = versions.NONE

    def check_current(self) -> None:
        """Check that this node may answer by its tables.

        Raises:
            errors.StaleConfigurationError: A table is not known to be current here.
        """
        self.context.check_current()

    def path_item(self, path: str) -> PathItem | None:
        """Return the path of the configuration that is the longest prefix of a request's path."""
        configuration = self.context.configuration
        if self.key_lengths_version != configuration.applied:
            key_lengths = {len(item.key) for item in configuration.items_with_prefix(PATH_KEY_PREFIX)}
            self.key_lengths = sorted(key_lengths, reverse=True)
            self.key_lengths_version = configuration.applied
        key = PATH_KEY_PREFIX + path
        for length in self.key_lengths:
            if length <= len(key) and (value := configuration.value(key[:length])) is not None:
                return PathItem(key[len(PATH_KEY_PREFIX) : length], value)
        return None

    def authorize(self, method: str, path: str, query: str) -> AllowedRequest:
        """Return which service answers a request, and its limits; what no path allows goes nowhere.

        Raises:
            errors.UnknownPathError: No path of the configuration covers the request, or its service is gone.
            errors.MethodNotAllowedError: The path does not allow the method.
        """
        found = self.path_item(path)
        if found is None:
            raise errors.UnknownPathError(f"no path of the blueprint covers {path}")
        candidates = allowed_services(found.value, method)
        if not any(weight > 0 for _, weight in candidates):
            raise errors.MethodNotAllowedError(f"{method} is not granted on {found.name}")
        # By the request alone, so that edge and shield, and all edges, choose the same service.
        service = rendezvous.pick(f"{path}?{query}", candidates)
        value = self.context.configuration.value(f"service/{service}")
        if value is None:
            raise errors.UnknownPathError(f"service {service} has no row")
        return AllowedRequest(
            found.name,
            service,
            value["deadline"],
            found.value.get("life", 0),
            tuple(found.value.get("vary", ())),
            quota_shares.ServiceLimit(value["ceiling"]["rate"], value["ceiling"]["inflight"]),
            value.get("probe", DEFAULT_PROBE_PATH),
        )

    def newest_purge(self, path: str, tags: tuple[str, ...]) -> versions.Version:
        """Return the version of the newest purge that strikes the path or a tag, or may have struck one."""
        ledger = self.context.ledger
        keys = [f"purge/path/{path}", *(f"purge/tag/{tag}" for tag in tags)]
        # Purges of this version and older may be forgotten, so what was fetched before them counts as
        # purged: a node that comes back after a long time may still have what they were meant for.
        forgotten = versions.Version.from_wire(ledger.value(items.FORGOTTEN_PURGES_KEY) or versions.NONE)
        return max(forgotten, *(ledger.version(key) for key in keys))

    def is_evacuated(self, site: str) -> bool:
        """Tell whether operators moved all work away from the site."""
        return self.context.is_evacuated(site)

    def origins(self) -> list[Origin]:
        """Return all origins that the ledger lists."""
        return [Origin.from_item(item) for item in self.context.ledger.items_with_prefix("origin/")]

    def quota_share(self, service: str, limit: tuple[int, int]) -> quota_shares.ServiceLimit:
        """Return this machine's share of a service's (rate, concurrency); zero where none is recorded."""
        recorded = self.context.ledger.value(f"share/{self.context.settings.machine}") or {}
        return quota_shares.effective_limit(recorded.get(service), limit)

    def has_quota_share(self, machine: str, service: str) -> bool:
        """Tell whether a share of the service is recorded for the machine."""
        return service in (self.context.ledger.value(f"share/{machine}") or {})

    def slot_owner(self, slot: int) -> str:
        """Return the machine that owns the slot; empty where none is recorded."""
        recorded = self.context.ledger.value(slot_assignment.item_key(slot))
        if not recorded:
            return ""
        owner: str = recorded["owners"][slot % slot_assignment.SLOTS_PER_ITEM]
        return owner

    def shields(self, service: str, key: str) -> list[updates.Update]:
        """Return the shields in the order in which they should be asked for a key of a service."""
        members = {update.identity.name: update for update in self.context.members_of("shield")}
        candidates = [
            (name, self.shield_weight(update)) for name, update in members.items() if self.is_active(update)
        ]
        slot = rendezvous.slot_of(key)
        owner = self.slot_owner(slot)
        ranked = [members[name] for name in rendezvous.ranked(str(slot), candidates)]

        # The recorded owner first, and after it those with a share of the service. A suspected shield comes
        # last: its reads move at once, before it is declared failed.
        def rank(update: updates.Update) -> tuple[updates.MemberState, bool, bool]:
            machine = update.node_info.machine
            return (update.state, not self.has_quota_share(machine, service), machine != owner)

        return sorted(ranked, key=rank)

    def is_active(self, update: updates.Update) -> bool:
        """Tell whether a member is neither at an evacuated site nor in standby."""
        node_info = update.node_info
        return not self.is_evacuated(node_info.site) and not self.context.is_standby(node_info.machine)

    def shield_weight(self, update: updates.Update) -> float:
        """Return a shield's weight by the configuration of its machine and site."""
        machine = self.context.configuration.value(f"shield/{update.node_info.machine}") or {}
        site = self.context.configuration.value(f"site/{update.node_info.site}") or {}
        weight: float = machine.get("weight", 1) * site.get("weight", 1)
        return weight


def allowed_services(path_value: dict[str, typing.Any], method: str) -> list[tuple[str, float]]:
    """Return the services that a path allows for a method, with their weights; HEAD is allowed as GET is."""
    wanted = "GET" if method == "HEAD" else method
    return [
        (entry["service"], entry.get("weight", 1))
        for entry in path_value["grants"]
        if wanted in entry["methods"] or method in entry["methods"]
    ]
