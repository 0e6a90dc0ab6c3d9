"""Parsers of setting values: each returns a checked value, or raises ValueError with the remedy."""

import collections.abc
import ipaddress
import typing

Address = tuple[str, int]
Parser = collections.abc.Callable[[typing.Any], typing.Any]

NAME_LENGTH_LIMIT = 100
SEEDS_LIMIT = 3
PORT_MAXIMUM = 65535
# Names a version in the tables, so names of nodes must be without it.
RESERVED_CHARACTER = "~"
ROLES = ("edge", "shield", "store", "direct", "holder", "agency")
SINGLETON_TASKS = ("platform-watch", "placement", "rate-parts", "staffing", "retention")


def parse_name(value: typing.Any) -> str:
    """Parse a short printable word."""
    is_short = isinstance(value, str) and 0 < len(value) <= NAME_LENGTH_LIMIT
    if not is_short or not value.isprintable() or RESERVED_CHARACTER in value:
        raise ValueError("give a short printable word without '~'")
    return str(value)


def number_between(low: float, high: float, number_type: type[int] | type[float] = float) -> Parser:
    """Return a parser of numbers from `low` to `high`, both included."""

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
    """Parse an IP number."""
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError("give an IP number; names are not looked up") from None


def parse_address(value: typing.Any) -> Address:
    """Parse an IP number and a port.

    >>> parse_address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    number, separator, port = str(value).rpartition(":")
    if not separator:
        raise ValueError("give IP number and port, as in 10.0.0.1:7000")
    return (parse_host(number.strip("[]")), number_between(1, PORT_MAXIMUM, int)(port))


def parse_seeds(value: typing.Any) -> list[Address]:
    """Parse up to three addresses, from a list or from text with commas."""
    given = value.split(",") if isinstance(value, str) else value
    if not isinstance(given, list) or len(given) > SEEDS_LIMIT:
        raise ValueError("give up to three seeds, as in 10.0.0.1:7000,10.0.0.2:7000")
    return [parse_address(entry) for entry in given if entry]


def parse_role(value: typing.Any) -> str:
    """Parse the role of a node."""
    if value not in ROLES:
        raise ValueError("give edge, shield, store, direct or holder")
    return str(value)


def one_of(*words: str) -> Parser:
    """Return a parser of these words."""

    def parse(value: typing.Any) -> str:
        if value not in words:
            raise ValueError(f"give {' or '.join(words)}")
        return str(value)

    return parse


def parse_yes_or_no(value: typing.Any) -> bool:
    """Parse a truth value.

    >>> parse_yes_or_no("no"), parse_yes_or_no(True)
    (False, True)
    """
    if str(value).lower() in ("yes", "true"):
        return True
    if str(value).lower() in ("no", "false"):
        return False
    raise ValueError("give yes or no")


def parse_singleton_tasks(value: typing.Any) -> str:
    """Parse names of singleton tasks with commas between; the text itself is the value."""
    if not isinstance(value, str) or any(name not in SINGLETON_TASKS for name in value.split(",") if name):
        raise ValueError(f"give names out of {', '.join(SINGLETON_TASKS)}, with commas between")
    return value


def parse_region_pairs(value: typing.Any) -> str:
    """Parse site=region pairs with commas between; the text itself is the value.

    >>> region_by_site(parse_region_pairs("north=one,south=two"))
    {'north': 'one', 'south': 'two'}
    """
    if not isinstance(value, str) or any(entry.count("=") != 1 for entry in value.split(",") if entry):
        raise ValueError("give site=region pairs, with commas between")
    return value


def region_by_site(value: str) -> dict[str, str]:
    """Return the regions by site of a checked text of pairs."""
    pairs = [entry.split("=") for entry in value.split(",") if entry]
    return {site: region for site, region in pairs}
