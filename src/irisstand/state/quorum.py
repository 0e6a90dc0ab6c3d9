"""Which sets of voters decide."""

import typing


class Voter(typing.NamedTuple):
    """A core node as voters know it; `durable store` is its disk's id, so a wiped disk is another voter."""

    name: str
    disk_id: str
    site: str
    host: str
    port: int
    machine: str


def decode(value: typing.Any) -> list[Voter]:
    return [Voter(*parts) for parts in value or []]


def places(voters: list[Voter]) -> list[tuple[str, str, str]]:
    """Names, machines and sites, which is what a loss is judged by."""
    return [(voter.name, voter.machine, voter.site) for voter in voters]


def is_majority(voters: list[Voter], disk_ids: set[str]) -> bool:
    return 2 * sum(voter.disk_id in disk_ids for voter in voters) > len(voters)


def is_durable(voters: list[Voter], disk_ids: set[str]) -> bool:
    """A majority which, where the layout has more than one site, does not lie in one alone.

    >>> a, b, c = (Voter(name, name, site, "", 0, name) for name, site in ("as", "bs", "ct"))
    >>> is_durable([a, b, c], {"a", "b"}), is_durable([a, b, c], {"a", "c"})
    (False, True)
    """
    sites = {voter.site for voter in voters}
    holding = {voter.site for voter in voters if voter.disk_id in disk_ids}
    return is_majority(voters, disk_ids) and (len(sites) == 1 or len(holding) > 1)


def outlives_any_site(voters: list[Voter]) -> bool:
    """Whether a majority is left when any one site is lost.

    >>> made = [Voter(name, name, site, "", 0, name) for name, site in ("as", "bt", "cu", "du")]
    >>> outlives_any_site(made[:3]), outlives_any_site(made)
    (True, False)
    """
    return all(
        2 * sum(voter.site != site for voter in voters) > len(voters) for site in {v.site for v in voters}
    )
