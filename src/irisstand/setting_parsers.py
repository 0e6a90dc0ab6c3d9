"""Parsers of setting values: each returns a valid value, or raises ValueError that says what to give."""

import collections.abc
import ipaddress
import typing

Address = tuple[str, int]
Parser = collections.abc.Callable[[typing.Any], typing.Any]

NAME_LENGTH_LIMIT = 100
SEEDS_LIMIT = 3
PORT_MAXIMUM = 65535
# Separates a node's name from a suffix in versions, and starts internal keys, so names must not contain it.
RESERVED_CHARACTER = "~"
ROLES = ("edge", "shield", "store", "direct", "holder", "agency")
SINGLETON_TASKS = ("platform-watch", "placement", "rate-parts", "staffing", "retention")


def parse_name(value: typing.Any) -> str:
    """Parse a name: 1 to 100 printable characters without the reserved '~'."""
    is_short = isinstance(value, str) and 0 < len(value) <= NAME_LENGTH_LIMIT
    if not is_short or not value.isprintable() or RESERVED_CHARACTER in value:
        raise ValueError("give a name of 1 to 100 printable characters without '~'")
    return str(value)


def number_between(low: float, high: float, number_type: type[int] | type[float] = float) -> Parser:
    """Return a parser of numbers of a type, from `low` to `high` inclusive."""

    def parse(value: typing.Any) -> float:
        try:
            number = number_type(value)
        except (TypeError, ValueError):
            raise ValueError(f"give a number from {low} to {high}") from None
        if isinstance(value, bool) or not low <= number <= high:
            raise ValueError(f"give a number from {low} to {high}")
        return number

    return parse


def parse_host(value: typing.Any) -> str:
    """Parse an IP address."""
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError("give an IP address; host names are not resolved") from None


def parse_address(value: typing.Any) -> Address:
    """Parse an IP address and a port, separated by a colon.

    >>> parse_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    host, separator, port = str(value).rpartition(":")
    if not separator:
        raise ValueError("give an IP address and a port, as in 10.0.0.1:7000")
    return (parse_host(host.strip("[]")), number_between(1, PORT_MAXIMUM, int)(port))


def parse_seeds(value: typing.Any) -> list[Address]:
    """Parse up to three addresses, from a list or from comma-separated text."""
    given = value.split(",") if isinstance(value, str) else value
    if not isinstance(given, list) or len(given) > SEEDS_LIMIT:
        raise ValueError("give up to three addresses, as in 10.0.0.1:7000,10.0.0.2:7000")
    return [parse_address(entry) for entry in given if entry]


def parse_role(value: typing.Any) -> str:
    """Parse the role of a node, one of `ROLES`."""
    if value not in ROLES:
        raise ValueError("give edge, shield, store, direct or holder")
    return str(value)


def one_of(*words: str) -> Parser:
    """Return a parser that accepts exactly these words."""

    def parse(value: typing.Any) -> str:
        if value not in words:
            raise ValueError(f"give {' or '.join(words)}")
        return str(value)

    return parse


def parse_yes_or_no(value: typing.Any) -> bool:
    """Parse a truth value: yes, true, no or false, in any letter case.

    >>> parse_yes_or_no("no"), parse_yes_or_no(True)
    (False, True)
    """
    if str(value).lower() in ("yes", "true"):
        return True
    if str(value).lower() in ("no", "false"):
        return False
    raise ValueError("give yes or no")


def parse_singleton_tasks(value: typing.Any) -> str:
    """Parse comma-separated names of singleton tasks; the value is the text itself."""
    if not isinstance(value, str) or any(name not in SINGLETON_TASKS for name in value.split(",") if name):
        raise ValueError(f"give comma-separated names of singleton tasks out of {', '.join(SINGLETON_TASKS)}")
    return value


def parse_region_pairs(value: typing.Any) -> str:
    """Parse comma-separated site=region pairs; the value is the text itself.

    >>> region_by_site(parse_region_pairs("north=one,south=two"))
    {'north': 'one', 'south': 'two'}
    """
    if not isinstance(value, str) or any(entry.count("=") != 1 for entry in value.split(",") if entry):
        raise ValueError("give comma-separated site=region pairs, as in north=one,south=two")
    return value


def region_by_site(value: str) -> dict[str, str]:
    """Return the region of each site in a text that `parse_region_pairs` accepted."""
    pairs = [entry.split("=") for entry in value.split(",") if entry]
    return {site: region for site, region in pairs}


def parse_names(value: typing.Any) -> tuple[str, ...]:
    """Parse names from a list or from comma-separated text.

    >>> parse_names("copy-fetched, swim")
    ('copy-fetched', 'swim')
    """
    given = value.split(",") if isinstance(value, str) else list(value)
    return tuple(parse_name(entry.strip()) for entry in given if entry)
