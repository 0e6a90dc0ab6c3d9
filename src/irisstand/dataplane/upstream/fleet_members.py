"""The nodes that send requests to origins, and their sites, according to this node's member list."""

from irisstand import node_context
from irisstand.balancing import fleet_limits
from irisstand.dataplane.routing import routes

# An object of a route that is limited to regions is only cached by a holder outside of them while at least
# this many edges inside are up. With fewer, clients of those regions may be served at this site, and then
# only the edge that a client is connected to may have the body.
MINIMUM_HOME_EDGES = 8
# How long the member list is cached before it is read again.
REFRESH_SECONDS = 0.5
HOLDER_ROLE = "holder"


class FleetMembers:
    """The nodes that send requests to origins: edges, and holders, which fetch for the edges of a site."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.read_at = -1e9
        self.cached_members: list[fleet_limits.Member] = []
        self.site_regions: dict[str, str] = {}

    def edges(self) -> list[str]:
        """Return the names of all nodes that send requests to origins, including this one."""
        return [member.name for member in self.members()]

    def members(self) -> list[fleet_limits.Member]:
        """Return all nodes that send requests to origins; the same list object until the nodes change."""
        now = self.context.clock.now()
        if now - self.read_at > REFRESH_SECONDS:
            self.read_at = now
            found = self.read_members()
            if found != self.cached_members:
                self.cached_members = found
        return self.cached_members

    def read_members(self) -> list[fleet_limits.Member]:
        """Read the edges, the holders that are alive and this node from the member list, sorted."""
        settings = self.context.settings
        # No node asks a suspected holder to fetch anything, but a suspected edge may still serve its clients.
        holders = [update for update in self.context.members_of(HOLDER_ROLE) if not update.state]
        by_name = {}
        for update in (*self.context.members_of("direct"), *holders):
            name, info = update.identity.name, update.node_info
            by_name[name] = fleet_limits.Member(name, info.role, info.site)
        by_name[settings.name] = fleet_limits.Member(settings.name, self.context.role, settings.site)
        return sorted(by_name.values())

    def region_of(self, site: str) -> str:
        """Return the region of a site; an empty string if the site is unknown."""
        if site not in self.site_regions:
            self.site_regions = self.context.region_by_site()
        return self.site_regions.get(site, "")

    def own_region(self) -> str:
        """Return the region of this node."""
        settings = self.context.settings
        return self.region_of(settings.site) or settings.region

    def uses_holders(self) -> bool:
        """Return whether the sites have enough edges for holders to fetch for them.

        A few edges that fetch objects themselves add little load to a service, and depend on no other node.
        """
        edges = [member for member in self.members() if member.role != HOLDER_ROLE]
        return len(edges) >= self.context.settings.holder_edges * len({member.site for member in edges})

    def may_hold(self, route: routes.Route) -> bool:
        """Return whether holders at this site may cache the objects of a route."""
        if not route.regions or self.own_region() in route.regions:
            return True
        inside = sum(
            member.role != HOLDER_ROLE and self.region_of(member.site) in route.regions
            for member in self.members()
        )
        return inside >= MINIMUM_HOME_EDGES
