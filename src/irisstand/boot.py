"""Boot: a process's own settings, from a file and flags that win over it, checked before a port opens."""

import collections.abc
import ipaddress
import pathlib
import tomllib
import typing

from irisstand import errors

Address = tuple[str, int]


class Boot(typing.NamedTuple):
    name: str
    machine: str
    site: str
    region: str
    host: str
    port: int
    http_port: int
    seeds: list[Address]
    role: str = "agency"
    data: str = ""
    founding: int = 5
    platform: Address | None = None
    platform_interval: float = 1.0
    freshness_bound: float = 1.5
    freshness_interval: float = 0.25
    drain: float = 6.0
    farewell: float = 0.5
    replace_after: float = 60.0
    cache_bytes: int = 256 * 1024 * 1024
    keys_kept: float = 1200.0


def word(value: typing.Any) -> str:
    if not isinstance(value, str) or not value or len(value) > 100 or not value.isprintable() or "~" in value:
        raise ValueError("give a short printable word without '~'")
    return value


def number_between(low: float, high: float, kind: type = float) -> collections.abc.Callable:
    def check(value: typing.Any) -> typing.Any:
        try:
            number = kind(value)
        except (TypeError, ValueError):
            raise ValueError(f"give a number from {low} to {high}") from None
        if isinstance(value, bool) or not low <= number <= high:
            raise ValueError(f"give a number from {low} to {high}")
        return number

    return check


def host(value: typing.Any) -> str:
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise ValueError("give an IP number; names are not looked up") from None


def address(value: typing.Any) -> Address:
    """
    >>> address("127.0.0.1:7000")
    ('127.0.0.1', 7000)
    """
    number, separator, port = str(value).rpartition(":")
    if not separator:
        raise ValueError("give IP number and port, as in 10.0.0.1:7000")
    return (host(number.strip("[]")), number_between(1, 65535, int)(port))


def addresses(value: typing.Any) -> list[Address]:
    given = value.split(",") if isinstance(value, str) else value
    if not isinstance(given, list) or len(given) > 3:
        raise ValueError("give up to three seeds, as in 10.0.0.1:7000,10.0.0.2:7000")
    return [address(entry) for entry in given if entry]


def role(value: typing.Any) -> str:
    if value not in ("edge", "shield", "store", "agency"):
        raise ValueError("give edge, shield or store")
    return value


# One entry for each setting: its check and what it is, which is also the help of its flag.
REGISTRY: dict[str, tuple[collections.abc.Callable, str]] = {
    "name": (word, "the node's name, unlike any other's"),
    "machine": (word, "the machine it runs on; what shares a machine fails with it"),
    "site": (word, "the site of the machine"),
    "region": (word, "the region of the site"),
    "host": (host, "the IP number to listen on"),
    "port": (number_between(1, 65535, int), "the port for colleagues, TCP and UDP"),
    "http_port": (number_between(1, 65535, int), "the port for HTTP"),
    "seeds": (addresses, "up to three addresses of other processes, with commas between"),
    "role": (role, "edge, shield or store"),
    "data": (str, "the data folder (agency only)"),
    "founding": (number_between(1, 99, int), "how many cores found the network together (agency only)"),
    "platform": (address, "the platform's address (agency only)"),
    "platform_interval": (number_between(0.05, 3600), "seconds between questions to the platform"),
    "freshness_bound": (number_between(0.5, 2), "seconds after which an unconfirmed table is not used"),
    "freshness_interval": (number_between(0.02, 1), "seconds between questions for the newest tables"),
    "drain": (number_between(0, 60), "seconds that work under way gets at shutdown"),
    "farewell": (number_between(0, 60), "seconds at shutdown in which readiness is off but work is taken"),
    "replace_after": (
        number_between(1, 86400), "seconds that a voter must be gone before a spare takes its place (agency)",
    ),
    "keys_kept": (
        number_between(60, 86400), "seconds for which an Idempotency-Key is remembered at the least (agency)",
    ),
    "cache_bytes": (number_between(0, 1 << 40, int), "memory for cached objects, in bytes"),
}
OPTIONAL = set(Boot._field_defaults)


def read_file(path: str) -> dict[str, typing.Any]:
    try:
        return tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.BootFault([f"settings file {path!r}: {error}; name a readable TOML file"]) from None


def check(given: dict[str, typing.Any], program: str) -> Boot:
    """Every fault at once, each naming key, value and remedy.

    >>> check({"port": 0}, "agency")  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ...
    irisstand.errors.BootFault: ...port: 0 does not do; give a number from 1 to 65535...
    """
    faults: list[str] = []
    checked: dict[str, typing.Any] = {}
    if program == "agency":
        given = {**given, "role": "agency"}
    for key, value in given.items():
        if key not in REGISTRY:
            faults.append(f"{key}: {value!r} is set, but no such setting exists; remove or correct the key")
            continue
        try:
            checked[key] = REGISTRY[key][0](value)
        except ValueError as error:
            faults.append(f"{key}: {value!r} does not do; {error}")
    required = [key for key in Boot._fields if key not in OPTIONAL]
    required += ["data"] if program == "agency" else ["role"]
    for key in required:
        if key not in given:
            faults.append(f"{key}: nothing is set; give {REGISTRY[key][1]}")
    if program != "agency" and checked.get("role") == "agency":
        faults.append("role: 'agency' does not do; give edge, shield or store, or start irisstand-agency")
    if "port" in checked and checked["port"] == checked.get("http_port"):
        faults.append(f"http_port: {checked['port']} is also the port for colleagues; give another port")
    if program == "agency" and isinstance(given.get("data"), str) and "data" in checked:
        faults += check_folder(checked["data"])
    if faults:
        raise errors.BootFault(faults)
    return Boot(**checked)


def check_folder(folder: str) -> list[str]:
    path = pathlib.Path(folder)
    if path.is_dir() or (not path.exists() and path.parent.is_dir()):
        return []
    return [f"data: {folder!r} does not do; name a folder, or one to be made in an existing folder"]
