"""The settings of a process by name, each with its parser and its help text."""

import typing

from irisstand import setting_parsers


class Setting(typing.NamedTuple):
    """The parser of a setting and its description.

    Attributes:
        parse: Returns the valid value, or raises ValueError with a message that says what to give.
        help_text: What the setting is; also the help text of its flag.
    """

    parse: setting_parsers.Parser
    help_text: str


# The settings by name; the flag of a setting is its name with dashes.
REGISTRY: dict[str, Setting] = {
    "name": Setting(setting_parsers.parse_name, "the node's name, unique in the network"),
    "machine": Setting(
        setting_parsers.parse_name, "the machine of the node; nodes on the same machine fail together"
    ),
    "site": Setting(setting_parsers.parse_name, "the site that the machine is at"),
    "region": Setting(setting_parsers.parse_name, "the region that the site is in"),
    "host": Setting(setting_parsers.parse_host, "the IP address to listen on"),
    "port": Setting(setting_parsers.number_between(1, 65535, int), "the port for other nodes, TCP and UDP"),
    "http_port": Setting(
        setting_parsers.number_between(0, 65535, int), "the port for HTTP; 0 for none (role holder only)"
    ),
    "seeds": Setting(
        setting_parsers.parse_seeds, "up to three addresses of other processes, separated by commas"
    ),
    "role": Setting(setting_parsers.parse_role, "the node's role: edge, shield, store, direct or holder"),
    "data": Setting(str, "the data folder (control plane only)"),
    "founding": Setting(
        setting_parsers.number_between(1, 99, int),
        "the number of nodes that bootstrap the control plane together (control plane only)",
    ),
    "platform": Setting(setting_parsers.parse_address, "the platform's address (control plane only)"),
    "platform_interval": Setting(
        setting_parsers.number_between(0.05, 3600), "seconds between two requests to the platform"
    ),
    "freshness_bound": Setting(
        setting_parsers.number_between(0.5, 2), "seconds after which an unconfirmed replica is not used"
    ),
    "freshness_interval": Setting(
        setting_parsers.number_between(0.02, 1), "seconds between two checks for newer versions of the tables"
    ),
    "drain": Setting(
        setting_parsers.number_between(0, 60), "seconds that a shutdown waits for work in flight"
    ),
    "farewell": Setting(
        setting_parsers.number_between(0, 60),
        "seconds at shutdown in which the node reports not ready but still accepts work (lame duck)",
    ),
    "replace_after": Setting(
        setting_parsers.number_between(1, 86400),
        "seconds that a voter must be missing before a spare replaces it (control plane)",
    ),
    "keys_kept": Setting(
        setting_parsers.number_between(60, 86400),
        "minimum seconds for which an Idempotency-Key is kept (control plane)",
    ),
    "cache_bytes": Setting(
        setting_parsers.number_between(0, 1 << 40, int), "memory for cached objects, in bytes"
    ),
    "front": Setting(
        setting_parsers.parse_address, "IP address and port on which clients are served (role direct)"
    ),
    "found_by_seeds": Setting(
        setting_parsers.parse_yes_or_no,
        "whether only the seeds bootstrap the network; other nodes become voters later (control plane)",
    ),
    "may_found": Setting(
        setting_parsers.parse_yes_or_no,
        "whether this node may bootstrap a control plane; no if its disk was lost (control plane)",
    ),
    "voters": Setting(
        setting_parsers.number_between(1, 99, int),
        "the number of voters to reach after a bootstrap by seeds (control plane)",
    ),
    "duties": Setting(
        setting_parsers.parse_singleton_tasks, "the singleton tasks that this node may run (control plane)"
    ),
    "vocabulary": Setting(
        setting_parsers.parse_name, "the set of header names used towards clients and origins (role direct)"
    ),
    "region_by_site": Setting(
        setting_parsers.parse_region_pairs, "the region of each site, as comma-separated site=region pairs"
    ),
    "evacuates": Setting(
        setting_parsers.one_of("machines", "origins"),
        "what an evacuation takes out of use: machines, or only origins",
    ),
    "platform_lag": Setting(
        setting_parsers.number_between(0, 60), "seconds by which the platform's list may be out of date"
    ),
    "second_share": Setting(
        setting_parsers.number_between(0, 1),
        "retry budget of the whole network, as a fraction of the first attempts",
    ),
    "second_allowance": Setting(
        setting_parsers.number_between(0, 1e6),
        "retries allowed in the whole network in 10 s, in addition to the retry budget",
    ),
    "cold_burst": Setting(
        setting_parsers.number_between(0, 1e6),
        "requests per second that a cold origin may get in addition to its rate",
    ),
    "holder_edges": Setting(
        setting_parsers.number_between(0, 1e6),
        "average number of edges per site from which on edges fetch objects through holders",
    ),
    "outage_bound": Setting(
        setting_parsers.number_between(0, 60),
        "further seconds for which a replica is used while no newer version can be confirmed",
    ),
    "cold_factor": Setting(
        setting_parsers.number_between(0, 100),
        "factor by which requests to a cold origin may exceed its rate",
    ),
    "memory_bytes": Setting(
        setting_parsers.number_between(0, 1 << 50, int),
        "memory of the machine for this process, in bytes; 0 for what the system allows",
    ),
    "descriptors": Setting(
        setting_parsers.number_between(0, 1 << 30, int),
        "file descriptors that this process may open; 0 for what the system allows",
    ),
    "printed_events": Setting(
        setting_parsers.parse_names,
        "kinds of log events to write to standard error at once, separated by commas",
    ),
}
