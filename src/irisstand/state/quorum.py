"""The voters of a table, and which sets of voters form a majority that survives the loss of a site."""

import typing


class Voter(typing.NamedTuple):
    """A control plane node that votes on the batches of a table.

    `disk_id` identifies the node's durable store: a node whose disk was replaced is a different voter.
    """

    name: str
    disk_id: str
    site: str
    host: str
    port: int
    machine: str

    @classmethod
    def from_wire(cls, fields: typing.Any) -> "Voter":
        """Decode a voter from the sequence of its fields.

        Raises:
            TypeError: The number of fields is wrong, or `fields` is not a sequence.
        """
        return cls(*fields)


def voters_from_wire(value: typing.Any) -> list[Voter]:
    """Decode the value of `items.VOTERS_KEY`; None, the value before bootstrap, gives an empty list."""
    return [Voter.from_wire(fields) for fields in value or []]


def placements(voters: list[Voter]) -> list[tuple[str, str, str]]:
    """Return the name, machine and site of each voter, to assess the loss of a machine or a site."""
    return [(voter.name, voter.machine, voter.site) for voter in voters]


def is_majority(voters: list[Voter], disk_ids: set[str]) -> bool:
    """Return whether the voters with these disk ids are more than half of all voters."""
    return 2 * sum(voter.disk_id in disk_ids for voter in voters) > len(voters)


def is_durable(voters: list[Voter], disk_ids: set[str]) -> bool:
    """Return whether these disk ids are a majority that spans several sites, if the voters do.

    >>> a, b, c = (Voter(name, name, site, "", 0, name) for name, site in ("as", "bs", "ct"))
    >>> is_durable([a, b, c], {"a", "b"}), is_durable([a, b, c], {"a", "c"})
    (False, True)
    """
    sites = {voter.site for voter in voters}
    holding = {voter.site for voter in voters if voter.disk_id in disk_ids}
    return is_majority(voters, disk_ids) and (len(sites) == 1 or len(holding) > 1)


def survives_any_site_loss(voters: list[Voter]) -> bool:
    """Return whether a majority of the voters is left after the loss of any single site.

    >>> made = [Voter(name, name, site, "", 0, name) for name, site in ("as", "bt", "cu", "du")]
    >>> survives_any_site_loss(made[:3]), survives_any_site_loss(made)
    (True, False)
    """
    sites = {voter.site for voter in voters}
    return all(2 * sum(voter.site != site for voter in voters) > len(voters) for site in sites)
