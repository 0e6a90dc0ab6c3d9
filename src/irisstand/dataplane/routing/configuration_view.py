"""Reads allowed requests, purges, origins, quota shares and shields from the replicated tables."""

import typing

from irisstand import errors, node_context
from irisstand.balancing import quota_shares, rendezvous, slot_assignment
from irisstand.membership import updates
from irisstand.state import items, versions

PATH_KEY_PREFIX = "path/"
DEFAULT_PROBE_PATH = "/health"


class AllowedRequest(typing.NamedTuple):
    """A request that the configuration allows, with the settings that apply to it.

    Attributes:
        path: The path prefix in the configuration that covers the request.
        service: The name of the service that answers the request.
        deadline: Seconds after which the request is given up.
        ttl: The TTL of the object, in seconds; 0 if it is not cached.
        vary: The names of request headers on which the response depends.
        limit: The service's rate limit, in requests per second, and its concurrency limit; all nodes share
            them.
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
    """An origin as the ledger lists it; `warmup` is in seconds, `slots` in concurrent requests."""

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
        """Read an origin from an item `origin/...` of the ledger."""
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
    """A path of the configuration, and the value that operators set for it."""

    name: str
    value: dict[str, typing.Any]


class ConfigurationView:
    """Reads a node's replicas of the tables; each call returns what they hold at the time of the call.

    Args:
        context: The node's context, with its replicas.
    """

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        # The lengths of the keys of configured paths, the longest first.
        self.key_lengths: list[int] = []
        # The version of the configuration from which `key_lengths` was read.
        self.key_lengths_version = versions.NONE

    def check_current(self) -> None:
        """Check that this node's replicas are current enough to serve requests.

        Raises:
            errors.StaleConfigurationError: A replica is not known to be current.
        """
        self.context.check_current()

    def path_item(self, path: str) -> PathItem | None:
        """Return the configuration's path that is the longest prefix of a request's path, or None."""
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
        """Return the service that answers a request, and the settings that apply to the request.

        Raises:
            errors.UnknownPathError: No configured path covers the request, or its service is missing.
            errors.MethodNotAllowedError: The configured path does not allow the method.
        """
        path_item = self.path_item(path)
        if path_item is None:
            raise errors.UnknownPathError(f"no path of the configuration covers {path}")
        candidates = allowed_services(path_item.value, method)
        if not any(weight > 0 for _, weight in candidates):
            raise errors.MethodNotAllowedError(f"method {method} is not allowed on path {path_item.name}")
        # The choice depends on the request alone, so that all edges and shields choose the same service.
        service = rendezvous.pick(f"{path}?{query}", candidates)
        value = self.context.configuration.value(f"service/{service}")
        if value is None:
            raise errors.UnknownPathError(f"service {service} is not in the configuration")
        return AllowedRequest(
            path_item.name,
            service,
            value["deadline"],
            path_item.value.get("life", 0),
            tuple(path_item.value.get("vary", ())),
            quota_shares.ServiceLimit(value["ceiling"]["rate"], value["ceiling"]["inflight"]),
            value.get("probe", DEFAULT_PROBE_PATH),
        )

    def newest_purge(self, path: str, tags: tuple[str, ...]) -> versions.Version:
        """Return the version of the newest purge that applies, or may have applied, to the path or a tag."""
        ledger = self.context.ledger
        keys = [f"purge/path/{path}", *(f"purge/tag/{tag}" for tag in tags)]
        # Purges up to this version may have been deleted from the ledger. An object that was fetched before
        # counts as purged, because a node that was away for long may still cache what they removed.
        forgotten = versions.Version.from_wire(ledger.value(items.FORGOTTEN_PURGES_KEY) or versions.NONE)
        return max(forgotten, *(ledger.version(key) for key in keys))

    def is_evacuated(self, site: str) -> bool:
        """Return whether operators have evacuated the site, so that it gets no new work."""
        return self.context.is_evacuated(site)

    def origins(self) -> list[Origin]:
        """Return all origins that the ledger lists."""
        return [Origin.from_item(item) for item in self.context.ledger.items_with_prefix("origin/")]

    def quota_share(self, service: str, limit: tuple[int, int]) -> quota_shares.ServiceLimit:
        """Return this machine's quota share of a service's (rate, concurrency); zeros if none is recorded."""
        recorded = self.context.ledger.value(f"share/{self.context.settings.machine}") or {}
        return quota_shares.effective_limit(recorded.get(service), limit)

    def has_quota_share(self, machine: str, service: str) -> bool:
        """Return whether the ledger records a quota share of the service for the machine."""
        return service in (self.context.ledger.value(f"share/{machine}") or {})

    def slot_owner(self, slot: int) -> str:
        """Return the machine that owns the slot; an empty string if the ledger records none."""
        recorded = self.context.ledger.value(slot_assignment.item_key(slot))
        if not recorded:
            return ""
        owner: str = recorded["owners"][slot % slot_assignment.SLOTS_PER_ITEM]
        return owner

    def shields(self, service: str, key: str) -> list[updates.Update]:
        """Return the shields in the order in which a request for a key of a service tries them."""
        members = {update.identity.name: update for update in self.context.members_of("shield")}
        candidates = [
            (name, self.shield_weight(update)) for name, update in members.items() if self.is_active(update)
        ]
        slot = rendezvous.slot_of(key)
        owner = self.slot_owner(slot)
        ranked = [members[name] for name in rendezvous.ranked(str(slot), candidates)]

        # The recorded owner of the slot comes first, then shields with a quota share of the service.
        # Suspected shields come last, so that reads leave a failed shield before it is declared failed.
        def rank(update: updates.Update) -> tuple[updates.MemberState, bool, bool]:
            machine = update.node_info.machine
            return (update.state, not self.has_quota_share(machine, service), machine != owner)

        return sorted(ranked, key=rank)

    def is_active(self, update: updates.Update) -> bool:
        """Return whether a member is neither at an evacuated site nor in standby."""
        node_info = update.node_info
        return not self.is_evacuated(node_info.site) and not self.context.is_standby(node_info.machine)

    def shield_weight(self, update: updates.Update) -> float:
        """Return a shield's weight: the configured weights of its machine and of its site, multiplied."""
        machine = self.context.configuration.value(f"shield/{update.node_info.machine}") or {}
        site = self.context.configuration.value(f"site/{update.node_info.site}") or {}
        weight: float = machine.get("weight", 1) * site.get("weight", 1)
        return weight


def allowed_services(path_value: dict[str, typing.Any], method: str) -> list[tuple[str, float]]:
    """Return the services that a path allows for a method, with weights; allowing GET allows HEAD, too."""
    wanted = "GET" if method == "HEAD" else method
    return [
        (entry["service"], entry.get("weight", 1))
        for entry in path_value["grants"]
        if wanted in entry["methods"] or method in entry["methods"]
    ]
