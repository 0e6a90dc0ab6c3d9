"""Source code rules: no wall clocks, no subprocesses, no blocking disk access, imports of modules only."""

import ast
import pathlib

import pytest

import irisstand

ROOT = pathlib.Path(irisstand.__file__).parent
SOURCE_FILES = sorted(ROOT.rglob("*.py"))
# Functions that read a wall clock. Wall clocks jump at some sites, and the local cluster injects such jumps.
WALL_CLOCKS = {
    ("time", "time"),
    ("time", "time_ns"),
    ("datetime", "now"),
    ("datetime", "utcnow"),
    ("date", "today"),
}
# The names of `socket` that a module may use; no other module uses any.
SOCKET_NAMES = {
    ROOT / "dataplane" / "upstream" / "transport_reset.py": {"SOL_SOCKET", "SO_LINGER"},
    ROOT / "listening_sockets.py": {
        *("socket", "SocketKind", "AF_INET", "AF_INET6", "SOCK_STREAM", "SOCK_DGRAM"),
        *("SOL_SOCKET", "SO_REUSEADDR", "IPPROTO_IPV6", "IPV6_V6ONLY"),
    },
}
CONNECTING_CALLS = {"connect", "connect_ex", "create_connection", "sendto", "sendmsg"}
# Packages that are not part of a node: they simulate a network, check it, or run it on one machine, and may
# use what a node may not.
SIMULATION_PACKAGES = {"simulator", "emulators", "localcluster", "soak", "modelcheck"}
PRODUCTION_FILES = [path for path in SOURCE_FILES if path.parent.name not in SIMULATION_PACKAGES]


@pytest.mark.parametrize("path", PRODUCTION_FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_no_node_reads_a_wall_clock_starts_a_process_or_waits_on_a_disk(path):
    tree = ast.parse(path.read_text())
    attributes = {
        (node.value.id, node.attr)
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
    }
    assert not attributes & WALL_CLOCKS
    imported = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    assert not imported & {"subprocess", "multiprocessing", "multiprocessing.shared_memory", "mmap"}
    # Nodes open connections only through the network object passed to them. Of the modules that import
    # `socket`, one sets a socket option, the other binds sockets to listen on; neither opens a connection.
    assert "socket" not in imported or path in SOCKET_NAMES
    used_names = {name for module, name in attributes if module == "socket"}
    assert used_names <= SOCKET_NAMES.get(path, set())
    assert "socket" not in imported or not {name for _, name in attributes} & CONNECTING_CALLS
    assert not attributes & {("os", "fork"), ("os", "system"), ("os", "posix_spawn")}
    # The event loop must never wait on a disk. Only the module whose functions run in the disk thread calls
    # `open`; settings are read with pathlib when a node starts.
    calls = [node.func for node in ast.walk(tree) if isinstance(node, ast.Call)]
    opens = any(isinstance(function, ast.Name) and function.id == "open" for function in calls)
    assert not opens or path == ROOT / "state" / "storage" / "folder.py"


@pytest.mark.parametrize("path", SOURCE_FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_names_are_qualified_by_their_modules(path):
    """A `from` import may import only modules, so that every other name is qualified by its module."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            for alias in node.names:
                module = ROOT.parent / node.module.replace(".", "/") / alias.name
                assert module.is_dir() or module.with_suffix(".py").is_file(), f"{node.module}.{alias.name}"
