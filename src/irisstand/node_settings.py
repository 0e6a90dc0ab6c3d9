"""Settings of a process, from a file and from flags, which take precedence; checked before ports open."""

import pathlib
import tomllib
import typing

from irisstand import errors, setting_parsers, setting_registry

Address = setting_parsers.Address

CONTROL_PLANE_PROGRAM = "controlplane"


class Settings(typing.NamedTuple):
    """The valid settings of a process; REGISTRY describes each setting. Durations are in seconds."""

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
    memory_bytes: int = 0
    descriptors: int = 0
    printed_events: tuple[str, ...] = ()


# The settings by name; the flag of a setting is its name with dashes.
REGISTRY = setting_registry.REGISTRY
OPTIONAL_SETTINGS = set(Settings._field_defaults)


def read_file(path: str) -> dict[str, typing.Any]:
    """Return the unchecked settings of a TOML file; raises SettingsError if the file cannot be read."""
    try:
        return tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise errors.SettingsError([f"settings file {path!r}: {error}; name a readable TOML file"]) from None


def check(given: dict[str, typing.Any], program: str) -> Settings:
    """Check the given values and return the settings.

    Args:
        given: The values from the file and the flags, by setting name.
        program: The program that runs, "controlplane" or "dataplane".

    Raises:
        SettingsError: Some settings are invalid; its message lists each with key, value and remedy.

    >>> check({"port": 0}, "controlplane")  # doctest: +ELLIPSIS
    Traceback (most recent call last):
    ...
    irisstand.errors.node.SettingsError: ...port: 0 is not valid; give a number from 1 to 65535...
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
            faults.append(f"{key}: {value!r} is not valid; {error}")
    return checked


def _find_missing(given: dict[str, typing.Any], program: str) -> list[str]:
    required = [key for key in Settings._fields if key not in OPTIONAL_SETTINGS]
    required.append("data" if program == CONTROL_PLANE_PROGRAM else "role")
    return [f"{key}: not set; give {REGISTRY[key].help_text}" for key in required if key not in given]


def _find_contradictions(checked: dict[str, typing.Any], program: str) -> list[str]:
    faults: list[str] = []
    role = checked.get("role")
    http_port = checked.get("http_port")
    if program != CONTROL_PLANE_PROGRAM and role == "agency":
        remedy = "give edge, shield, store, direct or holder, or start irisstand-controlplane"
        faults.append(f"role: 'agency' is not valid for this program; {remedy}")
    if role == "direct" and "front" not in checked:
        faults.append("front: not set; give the address on which clients are served, as in 10.0.0.1:8080")
    if http_port == 0 and role != "holder":
        faults.append("http_port: 0 is not valid; give a number from 1 to 65535: only holders may have none")
    if "port" in checked and checked["port"] == http_port:
        faults.append(f"http_port: {checked['port']} is also the port for other nodes; give another port")
    return faults


def _find_folder_faults(folder: str) -> list[str]:
    path = pathlib.Path(folder)
    if path.is_dir() or (not path.exists() and path.parent.is_dir()):
        return []
    return [f"data: {folder!r} is not valid; give a folder, or a new one within an existing folder"]
