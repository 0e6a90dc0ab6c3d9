"""Settings: a process's own settings, from a file and flags that win over it, checked before a port opens."""

import collections.abc
import ipaddress
import pathlib
import tomllib
import typing

from irisstand import errors

Address = tuple[str, int]


class Settings(typing.NamedTuple):
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
    front: Address | None = None
    found_by_seeds: bool = False
    may_found: bool = True
    voters: int = 5
    duties: str = "platform-watch,placement,rate-parts,staffing,retention"
    vocabulary: str = "irisstand"
    region_by_site: str = ""
    evacuates: str = "machines"
    platform_lag: float = 1.0
    second_share: float = 0.2
    second_allowance: float = 20.0
    cold_burst: float = 5.0
    cold_factor: float = 1.5
    outage_bound: float = 0.0
    holder_edges: float = 5.0


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
    if value not in ("edge", "shield", "store", "direct", "holder", "agency"):
        raise ValueError("give edge, shield, store, direct or holder")
    return value


def one_of(*words: str) -> collections.abc.Callable:
    def check(value: typing.Any) -> str:
        if value not in words:
            raise ValueError(f"give {' or '.join(words)}")
        return value

    return check


def yes_or_no(value: typing.Any) -> bool:
    """
    >>> yes_or_no("no"), yes_or_no(True)
    (False, True)
    """
    if str(value).lower() in ("yes", "true"):
        return True
    if str(value).lower() in ("no", "false"):
        return False
    raise ValueError("give yes or no")


def duty_names(value: typing.Any) -> str:
    known = ("platform-watch", "placement", "rate-parts", "staffing", "retention")
    if not isinstance(value, str) or any(name not in known for name in value.split(",") if name):
        raise ValueError(f"give names out of {', '.join(known)}, with commas between")
    return value


def places(value: typing.Any) -> str:
    """
    >>> pairs(places("north=one,south=two"))
    {'north': 'one', 'south': 'two'}
    """
    if not isinstance(value, str) or any(entry.count("=") != 1 for entry in value.split(",") if entry):
        raise ValueError("give site=region pairs, with commas between")
    return value


def pairs(value: str) -> dict[str, str]:
    return dict(entry.split("=") for entry in value.split(",") if entry)


# One entry for each setting: its check and what it is, which is also the help of its flag.
REGISTRY: dict[str, tuple[collections.abc.Callable, str]] = {
    "name": (word, "the node's name, unlike any other's"),
    "machine": (word, "the machine it runs on; what shares a machine fails with it"),
    "site": (word, "the site of the machine"),
    "region": (word, "the region of the site"),
    "host": (host, "the IP number to listen on"),
    "port": (number_between(1, 65535, int), "the port for colleagues, TCP and UDP"),
    "http_port": (number_between(0, 65535, int), "the port for HTTP; 0 for none (role holder)"),
    "seeds": (addresses, "up to three addresses of other processes, with commas between"),
    "role": (role, "edge, shield, store, direct or holder"),
    "data": (str, "the data folder (agency only)"),
    "founding": (number_between(1, 99, int), "how many cores found the network together (agency only)"),
    "platform": (address, "the platform's address (agency only)"),
    "platform_interval": (number_between(0.05, 3600), "seconds between questions to the platform"),
    "freshness_bound": (number_between(0.5, 2), "seconds after which an unconfirmed table is not used"),
    "freshness_interval": (number_between(0.02, 1), "seconds between questions for the newest tables"),
    "drain": (number_between(0, 60), "seconds that work under way gets at shutdown"),
    "farewell": (number_between(0, 60), "seconds at shutdown in which readiness is off but work is taken"),
    "replace_after": (
        number_between(1, 86400),
        "seconds that a voter must be gone before a spare takes its place (agency)",
    ),
    "keys_kept": (
        number_between(60, 86400),
        "seconds for which an Idempotency-Key is remembered at the least (agency)",
    ),
    "cache_bytes": (number_between(0, 1 << 40, int), "memory for cached objects, in bytes"),
    "front": (address, "where consumers are served, as IP number and port (role direct)"),
    "found_by_seeds": (yes_or_no, "the seeds found the core, and the others are voted in (agency)"),
    "may_found": (yes_or_no, "whether this node may found a core: never on a disk that was lost (agency)"),
    "voters": (number_between(1, 99, int), "how many voters to grow to after founding by seeds (agency)"),
    "duties": (duty_names, "the duties that this core works on (agency)"),
    "vocabulary": (word, "the names of the headers towards consumers and origins (role direct)"),
    "region_by_site": (places, "the region of each site, as site=region pairs"),
    "evacuates": (one_of("machines", "origins"), "what an evacuation empties: machines, or only origins"),
    "platform_lag": (number_between(0, 60), "seconds by which the platform's list trails"),
    "second_share": (number_between(0, 1), "second tries allowed fleet-wide, as a share of first ones"),
    "second_allowance": (number_between(0, 1e6), "second tries allowed fleet-wide beside that, in 10 s"),
    "cold_burst": (number_between(0, 1e6), "requests that a cold origin may get in a second beside its rate"),
    "holder_edges": (number_between(0, 1e6), "edges a site, on average, from which on holders fetch"),
    "outage_bound": (
        number_between(0, 60),
        "seconds more for which a table is used while nobody at all knows a newer one",
    ),
    "cold_factor": (number_between(0, 100), "how many times its rate a cold origin may get in a second"),
}
OPTIONAL = set(Settings._field_defaults)


def read_file(path: str) -> dict[str, typing.Any]:
    try:
        return tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError([f"settings file {path!r}: {error}; name a readable TOML file"]) from None


def check(given: dict[str, typing.Any], program: str) -> Settings:
    """Every fault at once, each naming key, value and remedy.

    >>> check({"port": 0}, "controlplane")  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ...
    irisstand.errors.node.SettingsError: ...port: 0 does not do; give a number from 1 to 65535...
    """
    faults: list[str] = []
    checked: dict[str, typing.Any] = {}
    if program == "controlplane":
        given = {**given, "role": "agency"}
    for key, value in given.items():
        if key not in REGISTRY:
            faults.append(f"{key}: {value!r} is set, but no such setting exists; remove or correct the key")
            continue
        try:
            checked[key] = REGISTRY[key][0](value)
        except ValueError as error:
            faults.append(f"{key}: {value!r} does not do; {error}")
    required = [key for key in Settings._fields if key not in OPTIONAL]
    required += ["data"] if program == "controlplane" else ["role"]
    for key in required:
        if key not in given:
            faults.append(f"{key}: nothing is set; give {REGISTRY[key][1]}")
    if program != "controlplane" and checked.get("role") == "agency":
        remedy = "give edge, shield, store, direct or holder, or start irisstand-controlplane"
        faults.append(f"role: 'agency' does not do; {remedy}")
    if checked.get("role") == "direct" and "front" not in checked:
        faults.append("front: nothing is set; give where consumers are served, as in 10.0.0.1:8080")
    if checked.get("http_port") == 0 and checked.get("role") != "holder":
        faults.append("http_port: 0 does not do; give a number from 1 to 65535: only a holder has no pages")
    if "port" in checked and checked["port"] == checked.get("http_port"):
        faults.append(f"http_port: {checked['port']} is also the port for colleagues; give another port")
    if program == "controlplane" and isinstance(given.get("data"), str) and "data" in checked:
        faults += check_folder(checked["data"])
    if faults:
        raise errors.SettingsError(faults)
    return Settings(**checked)


def check_folder(folder: str) -> list[str]:
    path = pathlib.Path(folder)
    if path.is_dir() or (not path.exists() and path.parent.is_dir()):
        return []
    return [f"data: {folder!r} does not do; name a folder, or one to be made in an existing folder"]
