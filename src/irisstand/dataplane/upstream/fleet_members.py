"""The nodes that reach origins, and where they are, as this node's member list says."""

from irisstand import node_context
from irisstand.balancing import fleet_limits
from irisstand.dataplane.routing import routes

# Edges in a route's own regions that must be up before holders elsewhere take its objects: with fewer,
# clients of those regions may be served here, and then only the edge that they talk to may have the body.
MINIMUM_HOME_EDGES = 8
# The member list is read again after this time.
REFRESH_SECONDS = 0.5
HOLDER_ROLE = "holder"


class FleetMembers:
    """All nodes that reach origins: edges, and holders, which fetch for the edges of their site."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.read_at = -1e9
        self.cached_members: list[fleet_limits.Member] = []
        self.site_regions: dict[str, str] = {}

    def edges(self) -> list[str]:
        """Return the names of all nodes that reach origins, this one among them."""
        return [member.name for member in self.members()]

    def members(self) -> list[fleet_limits.Member]:
        """Return all nodes that reach origins; it is the same list object until they change."""
        now = self.context.clock.now()
        if now - self.read_at > REFRESH_SECONDS:
            self.read_at = now
            found = self.read_members()
            if found != self.cached_members:
                self.cached_members = found
        return self.cached_members

    def read_members(self) -> list[fleet_limits.Member]:
        """Read the member list."""
        settings = self.context.settings
        # A suspected holder fetches nothing for anybody; a suspected edge may still serve its clients.
        holders = [update for update in self.context.members_of(HOLDER_ROLE) if not update.state]
        by_name = {}
        for update in (*self.context.members_of("direct"), *holders):
            name, info = update.identity.name, update.node_info
            by_name[name] = fleet_limits.Member(name, info.role, info.site)
        by_name[settings.name] = fleet_limits.Member(settings.name, self.context.role, settings.site)
        return sorted(by_name.values())

    def region_of(self, site: str) -> str:
        """Return the region of a site; empty if it is not known."""
        if site not in self.site_regions:
            self.site_regions = self.context.region_by_site()
        return self.site_regions.get(site, "")

    def own_region(self) -> str:
        """Return the region of this node."""
        settings = self.context.settings
        return self.region_of(settings.site) or settings.region

    def uses_holders(self) -> bool:
        """Whether the fleet is large enough for holders.

        A few edges that fetch for themselves cost a service little, and need nobody else to be up.
        """
        edges = [member for member in self.members() if member.role != HOLDER_ROLE]
        return len(edges) >= self.context.settings.holder_edges * len({member.site for member in edges})

    def may_hold(self, route: routes.Route) -> bool:
        """Whether holders at this site may have the route's objects at all."""
        if not route.regions or self.own_region() in route.regions:
            return True
        inside = sum(
            member.role != HOLDER_ROLE and self.region_of(member.site) in route.regions
            for member in self.members()
        )
        return inside >= MINIMUM_HOME_EDGES
