"""Runs a node's program: command line and settings, event loop, signals, graceful shutdown, exit codes."""

import asyncio
import collections.abc
import os
import signal
import sys
import threading
import typing

import click
import uvloop

import irisstand
from irisstand import (
    errors,
    event_log,
    exit_codes,
    memory_reservations,
    node_context,
    node_settings,
    process_resources,
    settings_reload,
    standard_streams,
)

# Time for the last steps of a shutdown, after the lame duck and the drain (settings `farewell` and `drain`).
SHUTDOWN_MARGIN_SECONDS = 0.35

# Closes the listeners of a node, so that it accepts no more connections.
StopListening = collections.abc.Callable[[], collections.abc.Awaitable[None]]
# The context of an open node, and the function that closes its listeners.
OpenedNode = tuple[node_context.NodeContext, StopListening]
# Reads the settings again and checks them; raises SettingsError.
ReadSettings = collections.abc.Callable[[], node_settings.Settings]
# Builds a node from its settings and an event log, and opens it.
Assemble = collections.abc.Callable[
    [node_settings.Settings, event_log.EventLog], collections.abc.Awaitable[OpenedNode]
]


def command(program: str, help_text: str, assemble: Assemble) -> click.Command:
    """Return the click command that runs a program, with a flag for each setting.

    Args:
        program: The name of the program without the prefix "irisstand-", as in "dataplane".
        help_text: The first line of the command's help.
        assemble: Builds a node from its settings and opens it.
    """

    def callback(settings: str | None, **flags: typing.Any) -> None:
        def read_settings() -> node_settings.Settings:
            from_file = node_settings.read_file(settings) if settings else {}
            # Flags take precedence over the settings file.
            from_flags = {key: value for key, value in flags.items() if value is not None}
            return node_settings.check({**from_file, **from_flags}, program)

        try:
            checked = read_settings()
        except errors.SettingsError as error:
            for fault in error.faults:
                click.echo(f"irisstand-{program}: {fault}", err=True)
            sys.exit(exit_codes.ExitCode.NOT_STARTED)
        end_process(run(checked, assemble, read_settings))

    name = f"irisstand-{program}"
    click_command = click.Command(name, callback=callback, params=_options(program), help=help_text)
    return click.version_option(irisstand.VERSION, prog_name=name)(click_command)


def _options(program: str) -> list[click.Parameter]:
    options: list[click.Parameter] = [
        click.Option(["--settings"], metavar="FILE", help="a TOML file of settings; flags take precedence")
    ]
    for key, setting in node_settings.REGISTRY.items():
        # The control plane's program has a single role, so it needs no flag for the role.
        if program == node_settings.CONTROL_PLANE_PROGRAM and key == "role":
            continue
        flag = "--" + key.replace("_", "-")
        options.append(click.Option([flag], metavar="VALUE", help=setting.help_text))
    return options


def run(
    settings: node_settings.Settings, assemble: Assemble, read_settings: ReadSettings | None = None
) -> int:
    """Run a node until a signal stops it or it crashes; return the exit code."""
    standard_streams.bound_waiting()
    memory_reservations.limit()
    log = event_log.EventLog(printed_kinds=settings.printed_events)
    log.attach()
    try:
        return uvloop.run(serve(settings, assemble, log, read_settings))
    except Exception as error:
        event_log.record("crash", error=repr(error))
        return _report_crash(error, log)


class ShutdownTimer:
    """Ends this process when its shutdown time is over, even if a thread or task hangs.

    A thread may hang in a stalled write, for example. When the timer fires, no request is served any more,
    and the data folder survives it just as it survives a kill.

    Attributes:
        log: The event log, which is written out if the shutdown is not finished in time.
        is_finished: Whether all steps of the shutdown are done, so that only threads are left to end.
    """

    def __init__(self, log: event_log.EventLog) -> None:
        self.log = log
        self.is_finished = False

    def start(self, settings: node_settings.Settings) -> None:
        """Start the timer for the shutdown time that the settings allow."""
        allowed_seconds = settings.farewell + settings.drain + SHUTDOWN_MARGIN_SECONDS
        timer = threading.Timer(allowed_seconds, self.end_overdue)
        timer.daemon = True
        timer.start()

    def end_overdue(self) -> None:
        """End this process; if its shutdown is not finished, write out the event log before that."""
        if self.is_finished:
            os._exit(exit_codes.ExitCode.STOPPED)
        process_resources.record()
        self.log.write_out("the shutdown took longer than its time")
        os._exit(exit_codes.ExitCode.SHUTDOWN_OVERDUE)


def end_process(code: int) -> typing.NoReturn:
    """End this process without finalizing the interpreter, as that takes long on a busy machine.

    `ShutdownTimer` could not shorten that, as other threads do not run during it.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


async def serve(
    settings: node_settings.Settings,
    assemble: Assemble,
    log: event_log.EventLog,
    read_settings: ReadSettings | None = None,
) -> int:
    """Open a node, wait for a signal or a crash, and shut the node down; return the exit code.

    The shutdown is graceful after a signal; after a crash the process ends at once.
    """
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    try:
        context, stop_listening = await assemble(settings, log)
    except OSError as error:
        print(f"irisstand: cannot open the node: {error}; free the port or name another", file=sys.stderr)
        return exit_codes.code_for(error, exit_codes.ExitCode.NOT_STARTED)
    except errors.IrisError as error:
        print(f"irisstand: {error.code}: {error}; {error.remedy}", file=sys.stderr)
        return exit_codes.ExitCode.NOT_STARTED
    process_resources.record()
    if read_settings is not None:
        context.start_task(settings_reload.reload_repeatedly(context, reload, read_settings), "settings")
    crashed = context.crashed
    assert crashed is not None, "the context of an open node has no `crashed` future"
    end_futures: list[asyncio.Future[typing.Any]] = [loop.create_task(stop.wait()), crashed]
    await asyncio.wait(end_futures, return_when=asyncio.FIRST_COMPLETED)
    crash = crashed.exception() if crashed.done() else None
    if crash is not None:
        return _report_crash(crash, log)
    shutdown_timer = ShutdownTimer(log)
    await _shut_down(context, stop_listening, shutdown_timer)
    _ignore_further_signals(loop)
    # The counters exist only in this process, so their final values are written with the event log.
    event_log.record("counters", values=context.counters.by_text())
    process_resources.record()
    log.write_out("SIGTERM")
    shutdown_timer.is_finished = True
    return exit_codes.ExitCode.STOPPED


def _ignore_further_signals(loop: asyncio.AbstractEventLoop) -> None:
    # The event loop would restore the default handlers, and a signal would then end the process before its
    # last steps.
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


def _report_crash(error: BaseException, log: event_log.EventLog) -> int:
    if isinstance(error, errors.PortTakenError):
        print(f"irisstand: {error}; {error.remedy}", file=sys.stderr)
        return exit_codes.ExitCode.NOT_STARTED
    # Events that explain the crash are only in memory, and would be lost with the process.
    process_resources.record()
    code = exit_codes.code_for(error)
    log.write_out(f"crash: {error!r}; exit code {code:d} ({code.name})")
    return code


async def _shut_down(
    context: node_context.NodeContext, stop_listening: StopListening, shutdown_timer: ShutdownTimer
) -> None:
    # The node first reports that it is not ready and serves on, so that balancers and peers send it no more
    # work. A listener that is closed at once would reset connections that are established but not accepted.
    context.is_lame_duck = True
    shutdown_timer.start(context.settings)
    await asyncio.sleep(context.settings.farewell)
    await stop_listening()
    await context.drain()
    await context.close()
