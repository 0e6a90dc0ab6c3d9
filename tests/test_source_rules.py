"""What the house forbids, looked for in the source itself."""

import ast
import pathlib

import pytest

import irisstand

ROOT = pathlib.Path(irisstand.__file__).parent
FILES = sorted(ROOT.rglob("*.py"))
# Wall clocks jump at some sites; the rehearsal is what makes them jump.
WALL_CLOCKS = {
    ("time", "time"),
    ("time", "time_ns"),
    ("datetime", "now"),
    ("datetime", "utcnow"),
    ("date", "today"),
}
# What only rehearses and simulates a network may do what no daemon may.
REHEARSING = {"simulator", "emulators", "localcluster", "modelcheck"}
DAEMONS = [path for path in FILES if path.parent.name not in REHEARSING]


@pytest.mark.parametrize("path", DAEMONS, ids=lambda path: str(path.relative_to(ROOT)))
def test_no_daemon_reads_a_wall_clock_starts_a_process_or_waits_on_a_disk(path):
    tree = ast.parse(path.read_text())
    named = {
        (node.value.id, node.attr)
        for node in ast.walk(tree)
        if isinstance(node, ast.Attribute) and isinstance(node.value, ast.Name)
    }
    assert not named & WALL_CLOCKS
    imported = {alias.name for node in ast.walk(tree) if isinstance(node, ast.Import) for alias in node.names}
    assert not imported & {"subprocess", "multiprocessing", "multiprocessing.shared_memory", "mmap", "socket"}
    assert not named & {("os", "fork"), ("os", "system"), ("os", "posix_spawn")}
    # The event loop never waits on a disk: files are for the disk's own thread, and settings for the start.
    calls = [node.func for node in ast.walk(tree) if isinstance(node, ast.Call)]
    opens = any(isinstance(function, ast.Name) and function.id == "open" for function in calls)
    assert not opens or path == ROOT / "state" / "storage" / "folder.py"


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_names_are_qualified_by_their_modules(path):
    """From-imports bring in modules alone."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            for alias in node.names:
                module = ROOT.parent / node.module.replace(".", "/") / alias.name
                assert module.is_dir() or module.with_suffix(".py").is_file(), f"{node.module}.{alias.name}"
