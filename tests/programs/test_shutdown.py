"""Starts and planned ends: over in their time, and not cut short by one more signal."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import deployed_programs
import pytest

from irisstand import node_settings

STUCK_SCRIPT = """
import asyncio, os, signal, sys, threading, types
import irisstand.process_runner as running

async def assemble(settings, log):
    loop = asyncio.get_running_loop()
    async def nothing(): pass
    loop.run_in_executor(None, threading.Event().wait, 20)
    loop.call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)
    context = types.SimpleNamespace(
        settings=settings, crashed=loop.create_future(), drain=nothing, close=nothing, is_lame_duck=False,
        counters=types.SimpleNamespace(by_text=dict),
    )
    return context, nothing

sys.exit(running.run(types.SimpleNamespace(farewell=0.1, drain=0.5), assemble))
"""
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The same without the stuck thread, and with signals while the interpreter takes itself down.
SIGNAL_SCRIPT = f"""{STUCK_SCRIPT.replace("    loop.run_in_executor(None, threading.Event().wait, 20)", "")}
class Last:
    def __del__(self, kill=os.kill, pid=os.getpid()):
        kill(pid, {int(signal.SIGHUP)})
        kill(pid, {int(signal.SIGTERM)})
"""
# Made before the program ends, and deleted with its module.
SIGNAL_SCRIPT = SIGNAL_SCRIPT.replace("sys.exit(", "code = (") + "last = Last()\nsys.exit(code)\n"


def test_stuck_thread_does_not_keep_the_process_beyond_its_shutdown_time():
    started_at = time.monotonic()
    result = subprocess.run([sys.executable, "-c", STUCK_SCRIPT], capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr
    assert time.monotonic() - started_at < 12


def test_holder_has_as_much_of_the_grace_for_reads_in_flight_as_an_edge(tmp_path):
    path = deployed_programs.write_settings("edge-1", 4, (1, 2, 3, 4), "z1", "127.0.0.1:9", tmp_path)
    decoded = node_settings.read_file(str(path))
    shutdown_seconds = {}
    for role in ("direct", "holder"):
        translated = deployed_programs.platform_settings.translate(decoded, role)
        shutdown_seconds[role] = translated["farewell"] + translated["drain"]
    assert shutdown_seconds["holder"] == pytest.approx(shutdown_seconds["direct"])
    # The platform's grace, less the last steps.
    assert shutdown_seconds["direct"] == pytest.approx(6 - 0.5)


def test_signal_in_the_last_steps_of_a_stop_does_not_change_how_it_ends():
    command = [sys.executable, "-c", SIGNAL_SCRIPT]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr


def test_hang_up_between_start_and_settings_does_not_end_the_process(tmp_path):
    # The process waits for its settings when this end of the pipe can be opened.
    pipe = tmp_path / "settings.toml"
    os.mkfifo(pipe)
    process = subprocess.Popen(
        [sys.executable, "platform/edge_node.py"],
        cwd=ROOT,
        env={**os.environ, "IRISSTAND_CONFIG": str(pipe)},
        stderr=subprocess.DEVNULL,
    )
    with open(pipe, "w", encoding="utf-8") as settings:
        process.send_signal(signal.SIGHUP)
        settings.write("these are no settings")
    assert process.wait(60) == 2


def test_process_does_not_take_its_interpreter_down_after_a_stop():
    script = SIGNAL_SCRIPT.replace("sys.exit(code)", "running.end_process(code + 3)")
    script += "print('not reached')"
    # The object that sends signals when it is deleted would be deleted on the way down.
    script = script.replace("kill(pid, ", "print('deleted', ")
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert (result.returncode, result.stdout) == (3, "")
