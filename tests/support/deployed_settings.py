"""Settings files as the platform writes them, and the limits that it sets for a process."""

import json
import pathlib
import resource
import typing

BOUNDS = """
grace = 6
config_apply = 2
catch_up = 4
stretch_max = 5
retry_budget_ratio = 0.2
retry_slack = 56
cold_overrun = 1.5
cold_slack = 5
"""

BYTES_PER_MB = 1_000_000
# The variables that the platform hands on from its own environment.
PLATFORM_VARIABLES = ("PATH", "HOME", "JAVA_HOME", "LANG")


class MachineLimits(typing.NamedTuple):
    """What a machine allows a process: memory, which may be enforced as address space, and descriptors."""

    memory_mb: int
    descriptors: int = 4096
    enforced: bool = True

    def apply(self):
        """Set the limits of this process."""
        if self.enforced:
            resource.setrlimit(resource.RLIMIT_AS, (self.memory_mb * BYTES_PER_MB,) * 2)
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors,) * 2)


def write_settings(name, number, ports, zone, platform_address, folder, memory_mb=300, descriptors=4096):
    """Write a settings file as the platform would write it, and return its path."""
    ip = f"127.0.7.{number}"
    listen = (
        {"control": f"{ip}:{ports[1]}"}
        if "shield" in name
        else {
            "front": f"{ip}:{ports[2]}",
            "readiness": f"{ip}:{ports[3]}",
        }
    )
    lines = [
        f'node_name = "{name}"',
        f'ip = "{ip}"',
        f'zone = "{zone}"',
        'region = "r1"',
        f"internal_ports = [{ports[0]}, {ports[0] + 9}]",
        "first_start = true",
        f'data_dir = "{folder}/{name}"',
        "seed_nodes = " + json.dumps([f"127.0.7.{n}:{ports[1]}" for n in (1, 2, 3)]),
        'nobody_knows = "this"',
        "[zones]",
        'z1 = "r1"',
        'z2 = "r1"',
        'z3 = "r1"',
        "[listen_addrs]",
        *(f'{key} = "{value}"' for key, value in listen.items()),
        "[limits]",
        f"memory_mb = {memory_mb}",
        f"fd_limit = {descriptors}",
        "[fault_tolerance]",
        "machine_losses = 1",
        "[cloud_api]",
        f'address = "{platform_address}"',
        "rate = 44.0",
        "lag = 0.1",
        "[bound_set]",
        BOUNDS,
    ]
    path = pathlib.Path(folder) / f"{name}.toml"
    path.write_text("\n".join(lines))
    return path
