"""A planned end is over in its time, whatever is still stuck in the process."""

import subprocess
import sys
import time

STUCK = """
import asyncio, os, signal, sys, threading, types
import irisstand.process_runner as running

async def assemble(settings, log_ring):
    loop = asyncio.get_running_loop()
    async def nothing(): pass
    loop.run_in_executor(None, threading.Event().wait, 20)
    loop.call_later(0.1, os.kill, os.getpid(), signal.SIGTERM)
    context = types.SimpleNamespace(
        settings=settings, crashed=loop.create_future(), drain=nothing, close=nothing, is_lame_duck=False
    )
    return context, nothing

sys.exit(running.run(types.SimpleNamespace(farewell=0.1, drain=0.5), assemble))
"""


def test_stuck_thread_does_not_keep_the_process_beyond_its_shutdown_time():
    started = time.monotonic()
    done = subprocess.run([sys.executable, "-c", STUCK], capture_output=True, text=True, timeout=60)
    assert done.returncode == 0, done.stderr
    assert time.monotonic() - started < 12
