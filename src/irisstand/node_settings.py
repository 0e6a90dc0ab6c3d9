"""Settings of a process: from a file and from flags that win over it, checked before a port is opened."""

import pathlib
import tomllib
import typing

from irisstand import errors, setting_parsers

Address = setting_parsers.Address

CONTROL_PLANE_PROGRAM = "controlplane"


class Settings(typing.NamedTuple):
    """Checked settings; REGISTRY says what each is, and durations are in seconds."""

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


class Setting(typing.NamedTuple):
    """How a setting is read and what it is.

    Attributes:
        parse: Returns the checked value, or raises ValueError with the remedy.
        help_text: What the setting is; also the help of its flag.
    """

    parse: setting_parsers.Parser
    help_text: str


# By name; the flag is the name with dashes.
REGISTRY: dict[str, Setting] = {
    "name": Setting(setting_parsers.parse_name, "the node's name, unlike any other's"),
    "machine": Setting(
        setting_parsers.parse_name, "the machine it runs on; what shares a machine fails with it"
    ),
    "site": Setting(setting_parsers.parse_name, "the site of the machine"),
    "region": Setting(setting_parsers.parse_name, "the region of the site"),
    "host": Setting(setting_parsers.parse_host, "the IP number to listen on"),
    "port": Setting(setting_parsers.number_between(1, 65535, int), "the port for colleagues, TCP and UDP"),
    "http_port": Setting(
        setting_parsers.number_between(0, 65535, int), "the port for HTTP; 0 for none (role holder)"
    ),
    "seeds": Setting(
        setting_parsers.parse_seeds, "up to three addresses of other processes, with commas between"
    ),
    "role": Setting(setting_parsers.parse_role, "edge, shield, store, direct or holder"),
    "data": Setting(str, "the data folder (agency only)"),
    "founding": Setting(
        setting_parsers.number_between(1, 99, int), "how many cores found the network together (agency only)"
    ),
    "platform": Setting(setting_parsers.parse_address, "the platform's address (agency only)"),
    "platform_interval": Setting(
        setting_parsers.number_between(0.05, 3600), "seconds between questions to the platform"
    ),
    "freshness_bound": Setting(
        setting_parsers.number_between(0.5, 2), "seconds after which an unconfirmed table is not used"
    ),
    "freshness_interval": Setting(
        setting_parsers.number_between(0.02, 1), "seconds between questions for the newest tables"
    ),
    "drain": Setting(setting_parsers.number_between(0, 60), "seconds that work under way gets at shutdown"),
    "farewell": Setting(
        setting_parsers.number_between(0, 60),
        "seconds at shutdown in which readiness is off but work is taken",
    ),
    "replace_after": Setting(
        setting_parsers.number_between(1, 86400),
        "seconds that a voter must be gone before a spare takes its place (agency)",
    ),
    "keys_kept": Setting(
        setting_parsers.number_between(60, 86400),
        "seconds for which an Idempotency-Key is remembered at the least (agency)",
    ),
    "cache_bytes": Setting(
        setting_parsers.number_between(0, 1 << 40, int), "memory for cached objects, in bytes"
    ),
    "front": Setting(
        setting_parsers.parse_address, "where consumers are served, as IP number and port (role direct)"
    ),
    "found_by_seeds": Setting(
        setting_parsers.parse_yes_or_no, "the seeds found the core, and the others are voted in (agency)"
    ),
    "may_found": Setting(
        setting_parsers.parse_yes_or_no,
        "whether this node may found a core: never on a disk that was lost (agency)",
    ),
    "voters": Setting(
        setting_parsers.number_between(1, 99, int),
        "how many voters to grow to after founding by seeds (agency)",
    ),
    "duties": Setting(setting_parsers.parse_singleton_tasks, "the duties that this core works on (agency)"),
    "vocabulary": Setting(
        setting_parsers.parse_name, "the names of the headers towards consumers and origins (role direct)"
    ),
    "region_by_site": Setting(
        setting_parsers.parse_region_pairs, "the region of each site, as site=region pairs"
    ),
    "evacuates": Setting(
        setting_parsers.one_of("machines", "origins"), "what an evacuation empties: machines, or only origins"
    ),
    "platform_lag": Setting(
        setting_parsers.number_between(0, 60), "seconds by which the platform's list trails"
    ),
    "second_share": Setting(
        setting_parsers.number_between(0, 1), "second tries allowed fleet-wide, as a share of first ones"
    ),
    "second_allowance": Setting(
        setting_parsers.number_between(0, 1e6), "second tries allowed fleet-wide beside that, in 10 s"
    ),
    "cold_burst": Setting(
        setting_parsers.number_between(0, 1e6),
        "requests that a cold origin may get in a second beside its rate",
    ),
    "holder_edges": Setting(
        setting_parsers.number_between(0, 1e6), "edges a site, on average, from which on holders fetch"
    ),
    "outage_bound": Setting(
        setting_parsers.number_between(0, 60),
        "seconds more for which a table is used while nobody at all knows a newer one",
    ),
    "cold_factor": Setting(
        setting_parsers.number_between(0, 100), "how many times its rate a cold origin may get in a second"
    ),
}
OPTIONAL_SETTINGS = set(Settings._field_defaults)


def read_file(path: str) -> dict[str, typing.Any]:
    """Return the settings of a TOML file, not yet checked; raises SettingsError if it cannot be read."""
    try:
        return tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError([f"settings file {path!r}: {error}; name a readable TOML file"]) from None


def check(given: dict[str, typing.Any], program: str) -> Settings:
    """Return checked settings.

    Args:
        given: Values by name, from the file and the flags.
        program: "controlplane" or "dataplane".

    Raises:
        SettingsError: With every fault at once, each with its key, value and remedy.

    >>> check({"port": 0}, "controlplane")  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ...
    irisstand.errors.node.SettingsError: ...port: 0 does not do; give a number from 1 to 65535...
    """
    if program == CONTROL_PLANE_PROGRAM:
        given = {**given, "role": "agency"}
    faults: list[str] = []
    checked = _parse_all(given, faults)
    faults += _find_missing(given, program)
    faults += _find_contradictions(checked, program)
    if program == CONTROL_PLANE_PROGRAM and isinstance(given.get("data"), str) and "data" in checked:
        faults += _find_folder_faults(checked["data"])
    if faults:
        raise errors.SettingsError(faults)
    return Settings(**checked)


def _parse_all(given: dict[str, typing.Any], faults: list[str]) -> dict[str, typing.Any]:
    checked: dict[str, typing.Any] = {}
    for key, value in given.items():
        if key not in REGISTRY:
            faults.append(f"{key}: {value!r} is set, but no such setting exists; remove or correct the key")
            continue
        try:
            checked[key] = REGISTRY[key].parse(value)
        except ValueError as error:
            faults.append(f"{key}: {value!r} does not do; {error}")
    return checked


def _find_missing(given: dict[str, typing.Any], program: str) -> list[str]:
    required = [key for key in Settings._fields if key not in OPTIONAL_SETTINGS]
    required.append("data" if program == CONTROL_PLANE_PROGRAM else "role")
    return [f"{key}: nothing is set; give {REGISTRY[key].help_text}" for key in required if key not in given]


def _find_contradictions(checked: dict[str, typing.Any], program: str) -> list[str]:
    faults: list[str] = []
    role = checked.get("role")
    http_port = checked.get("http_port")
    if program != CONTROL_PLANE_PROGRAM and role == "agency":
        remedy = "give edge, shield, store, direct or holder, or start irisstand-controlplane"
        faults.append(f"role: 'agency' does not do; {remedy}")
    if role == "direct" and "front" not in checked:
        faults.append("front: nothing is set; give where consumers are served, as in 10.0.0.1:8080")
    if http_port == 0 and role != "holder":
        faults.append("http_port: 0 does not do; give a number from 1 to 65535: only a holder has no pages")
    if "port" in checked and checked["port"] == http_port:
        faults.append(f"http_port: {checked['port']} is also the port for colleagues; give another port")
    return faults


def _find_folder_faults(folder: str) -> list[str]:
    path = pathlib.Path(folder)
    if path.is_dir() or (not path.exists() and path.parent.is_dir()):
        return []
    return [f"data: {folder!r} does not do; name a folder, or one to be made in an existing folder"]
