"""A process that ends by itself says why, and has an exit code for it."""

import json
import os
import subprocess
import sys
import time

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

running.end_process(running.run(types.SimpleNamespace(farewell=0.1, drain=0.5, printed_events=()), assemble))
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


def start_with_pipe(event):
    """Start the script with a pipe as its standard streams; return the process and the pipe's read end."""
    script = SCRIPT.format(event=event, drain_takes=0)
    read_end, write_end = os.pipe()
    process = subprocess.Popen([sys.executable, "-c", script], stdout=write_end, stderr=write_end)
    os.close(write_end)
    return process, read_end


# More than a pipe holds, and then the end of the process.
FLOOD_AND_STOP = "lambda: (print('x' * 300_000, file=sys.stderr), os.kill(os.getpid(), signal.SIGTERM))"
FLOOD_AND_CRASH = "lambda: (print('x' * 300_000, file=sys.stderr), crashed.set_exception(ValueError()))"


@pytest.mark.parametrize(("event", "code"), [(FLOOD_AND_STOP, 0), (FLOOD_AND_CRASH, 1)])
def test_process_whose_output_nobody_reads_goes_on_and_ends_in_order(event, code):
    process, read_end = start_with_pipe(event)
    try:
        assert process.wait(20) == code
    finally:
        process.kill()
        os.close(read_end)


@pytest.mark.parametrize(("event", "code"), [(FLOOD_AND_STOP, 0), (FLOOD_AND_CRASH, 1)])
def test_process_whose_output_pipe_is_closed_keeps_its_exit_code(event, code):
    process, read_end = start_with_pipe(event)
    os.close(read_end)
    try:
        assert process.wait(20) == code
    finally:
        process.kill()


def test_reader_that_pauses_gets_the_whole_log():
    process, read_end = start_with_pipe(FLOOD_AND_STOP)
    with open(read_end, "rb") as pipe:
        received = pipe.read(70_000)
        time.sleep(0.1)
        received += pipe.read()
    assert process.wait(20) == 0
    assert received.startswith(b"x" * 300_000 + b"\n")
    assert b'"ring": "SIGTERM"' in received
