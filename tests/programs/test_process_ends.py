"""A process that ends by itself says why, and has an exit code for it."""

import json
import subprocess
import sys

import pytest

# Runs a node that is a bare context; `{event}` happens 0.1 s after it has opened.
SCRIPT = """
import asyncio, os, signal, sys, types
import irisstand.process_runner as running

async def assemble(settings, log):
    loop = asyncio.get_running_loop()
    crashed = loop.create_future()
    async def nothing(): pass
    async def drain(): await asyncio.sleep({drain_takes})
    loop.call_later(0.1, {event})
    context = types.SimpleNamespace(
        settings=settings, crashed=crashed, drain=drain, close=nothing, is_lame_duck=False,
        counters=types.SimpleNamespace(by_text=dict),
    )
    return context, nothing

running.end_process(running.run(types.SimpleNamespace(farewell=0.1, drain=0.5), assemble))
"""


def run(event, drain_takes=0):
    script = SCRIPT.format(event=event, drain_takes=drain_takes)
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    lines = [json.loads(line) for line in result.stderr.splitlines()]
    return result.returncode, lines[0]["ring"], [line for line in lines if "message_type" in line]


@pytest.mark.parametrize(
    ("error", "code"),
    [
        ("ValueError('x')", 1),
        ("MemoryError()", 3),
        ("OSError(12, 'x')", 3),
        ("ImportError('x.so: failed to map segment from shared object')", 3),
        ('RuntimeError("can\'t start new thread")', 3),
        ("OSError(24, 'x')", 4),
        ("OSError(5, 'x')", 5),
        ("OSError(28, 'x')", 5),
    ],
)
def test_crash_tells_lack_of_a_resource_from_a_fault_by_exit_code_and_log(error, code):
    returncode, reason, events = run(f"crashed.set_exception, {error}")
    assert returncode == code
    assert f"exit code {code}" in reason
    resources = [event for event in events if event["message_type"] == "resources"]
    # At the start and at the end.
    assert len(resources) == 2
    assert resources[-1]["threads"] >= 1
    assert resources[-1]["descriptors"] > 2
    assert resources[-1]["address_space_mb"] > resources[-1]["resident_mb"] > 5


def test_shutdown_that_takes_too_long_is_logged_and_has_an_exit_code_of_its_own():
    returncode, reason, events = run("os.kill, os.getpid(), signal.SIGTERM", drain_takes=30)
    assert returncode == 6
    assert "shutdown" in reason
    assert events[-1]["message_type"] == "resources"
