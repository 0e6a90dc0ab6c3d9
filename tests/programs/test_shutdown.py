"""Start and graceful shutdown of programs: within the time limits, and not cut short by further signals."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import deployed_programs
import deployed_settings
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

sys.exit(running.run(types.SimpleNamespace(farewell=0.1, drain=0.5, printed_events=()), assemble))
"""
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
# The same program without the stuck thread, and with signals while the interpreter is finalized.
SIGNAL_SCRIPT = f"""{STUCK_SCRIPT.replace("    loop.run_in_executor(None, threading.Event().wait, 20)", "")}
class SignalOnDeletion:
    def __del__(self, kill=os.kill, pid=os.getpid()):
        kill(pid, {int(signal.SIGHUP)})
        kill(pid, {int(signal.SIGTERM)})
"""
# The object that sends the signals is created before the program ends, and deleted when the interpreter
# finalizes the module.
SIGNAL_SCRIPT = SIGNAL_SCRIPT.replace("sys.exit(", "code = (") + "last = SignalOnDeletion()\nsys.exit(code)\n"


def test_stuck_thread_does_not_keep_the_process_beyond_its_shutdown_time():
    started_at = time.monotonic()
    result = subprocess.run([sys.executable, "-c", STUCK_SCRIPT], capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr
    assert time.monotonic() - started_at < 12


def test_holder_has_as_much_of_the_grace_for_reads_in_flight_as_an_edge(tmp_path):
    path = deployed_settings.write_settings("edge-1", 4, (1, 2, 3, 4), "z1", "127.0.0.1:9", tmp_path)
    decoded = node_settings.read_file(str(path))
    shutdown_seconds = {}
    for role in ("direct", "holder"):
        translated = deployed_programs.platform_settings.translate(decoded, role)
        shutdown_seconds[role] = translated["farewell"] + translated["drain"]
    assert shutdown_seconds["holder"] == pytest.approx(shutdown_seconds["direct"])
    # The grace period of the platform's settings (6 s), less the margin for the last steps (0.5 s).
    assert shutdown_seconds["direct"] == pytest.approx(6 - 0.5)


def test_signal_in_the_last_steps_of_a_stop_does_not_change_how_it_ends():
    command = [sys.executable, "-c", SIGNAL_SCRIPT]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert result.returncode == 0, result.stderr


def test_hang_up_between_start_and_settings_does_not_end_the_process(tmp_path):
    # Opening the pipe for writing returns only when the process opens it to read its settings.
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
    # If the interpreter were finalized, it would delete the object, which would then print "deleted".
    script = script.replace("kill(pid, ", "print('deleted', ")
    result = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert (result.returncode, result.stdout) == (3, "")
