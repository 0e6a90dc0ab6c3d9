"""Running a program: command line and settings, event loop, signals, graceful shutdown, exit codes."""

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
from irisstand import errors, event_log, node_context, node_settings, settings_reload

# What the last steps of a shutdown may take beyond the settings farewell and drain.
SHUTDOWN_MARGIN_SECONDS = 0.35

EXIT_OK = 0
EXIT_CRASH = 1
EXIT_USAGE = 2

StopListening = collections.abc.Callable[[], collections.abc.Awaitable[None]]
# An open node, and what closes its listeners.
OpenedNode = tuple[node_context.NodeContext, StopListening]
ReadSettings = collections.abc.Callable[[], node_settings.Settings]
Assemble = collections.abc.Callable[
    [node_settings.Settings, event_log.EventLog], collections.abc.Awaitable[OpenedNode]
]


def command(program: str, help_text: str, assemble: Assemble) -> click.Command:
    """Return a click command with a flag for each setting.

    Args:
        program: The name of the program without its prefix, as in "dataplane".
        help_text: The first line of its help.
        assemble: Opens the node by its settings.
    """

    def callback(settings: str | None, **flags: typing.Any) -> None:
        def read_settings() -> node_settings.Settings:
            from_file = node_settings.read_file(settings) if settings else {}
            # Flags win over the file.
            from_flags = {key: value for key, value in flags.items() if value is not None}
            return node_settings.check({**from_file, **from_flags}, program)

        try:
            checked = read_settings()
        except errors.SettingsError as error:
            for fault in error.faults:
                click.echo(f"irisstand-{program}: {fault}", err=True)
            sys.exit(EXIT_USAGE)
        end_process(run(checked, assemble, read_settings))

    name = f"irisstand-{program}"
    click_command = click.Command(name, callback=callback, params=_options(program), help=help_text)
    return click.version_option(irisstand.VERSION, prog_name=name)(click_command)


def _options(program: str) -> list[click.Parameter]:
    options: list[click.Parameter] = [
        click.Option(["--settings"], metavar="FILE", help="a TOML file of settings; flags win over it")
    ]
    for key, setting in node_settings.REGISTRY.items():
        # The control plane has one role only.
        if program == node_settings.CONTROL_PLANE_PROGRAM and key == "role":
            continue
        flag = "--" + key.replace("_", "-")
        options.append(click.Option([flag], metavar="VALUE", help=setting.help_text))
    return options


def run(
    settings: node_settings.Settings, assemble: Assemble, read_settings: ReadSettings | None = None
) -> int:
    """Run a node until it is told to stop or crashes; return the exit code."""
    log = event_log.EventLog()
    log.attach()
    try:
        return uvloop.run(serve(settings, assemble, log, read_settings))
    except Exception as error:
        # Whatever it was, its cause is in the log, which would be lost with the process.
        event_log.record("crash", error=repr(error))
        log.write_out(f"crash: {error!r}")
        return EXIT_CRASH


def limit_shutdown_time(settings: node_settings.Settings) -> None:
    """End this process in its time, whatever still keeps it: a thread in a stalled write, or a task.

    By then nothing is answered any more, and to the disk it is the same as a kill, which it withstands.
    """
    allowed_seconds = settings.farewell + settings.drain + SHUTDOWN_MARGIN_SECONDS
    timer = threading.Timer(allowed_seconds, os._exit, (EXIT_OK,))
    timer.daemon = True
    timer.start()


def end_process(code: int) -> typing.NoReturn:
    """End this process at once, without taking the interpreter down, which takes long on a busy machine.

    The timer of `bound_end` could not cut that short, as no other thread runs by then.
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
    """Open a node, wait for a signal or a crash, and shut the node down; return the exit code."""
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    try:
        context, stop_listening = await assemble(settings, log)
    except OSError as error:
        print(f"irisstand: {error}; free the port or name another", file=sys.stderr)
        return EXIT_USAGE
    except errors.IrisError as error:
        print(f"irisstand: {error.code}: {error}; {error.remedy}", file=sys.stderr)
        return EXIT_USAGE
    if read_settings is not None:
        context.start_task(settings_reload.reload_repeatedly(context, reload, read_settings), "settings")
    crashed = context.crashed
    assert crashed is not None, "an open node has this future"
    end_futures: list[asyncio.Future[typing.Any]] = [loop.create_task(stop.wait()), crashed]
    await asyncio.wait(end_futures, return_when=asyncio.FIRST_COMPLETED)
    if crashed.done():
        return _report_crash(crashed.exception(), log)
    await _shut_down(context, stop_listening)
    _ignore_further_signals(loop)
    # Counted since the start of this process, and lost with it.
    event_log.record("counters", values=context.counters.by_text())
    log.write_out("SIGTERM")
    return EXIT_OK


def _ignore_further_signals(loop: asyncio.AbstractEventLoop) -> None:
    # The loop would give back their defaults, which end the process in place of its last steps.
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


def _report_crash(error: BaseException | None, log: event_log.EventLog) -> int:
    if isinstance(error, errors.PortTakenError):
        print(f"irisstand: {error}; {error.remedy}", file=sys.stderr)
        return EXIT_USAGE
    log.write_out(f"crash: {error!r}")
    return EXIT_CRASH


async def _shut_down(context: node_context.NodeContext, stop_listening: StopListening) -> None:
    # Balancers and peers first learn that this node leaves; until then it serves as before. A listener
    # closed at once would reset connections that were made but not yet accepted.
    context.is_lame_duck = True
    limit_shutdown_time(context.settings)
    await asyncio.sleep(context.settings.farewell)
    await stop_listening()
    await context.drain()
    await context.close()
