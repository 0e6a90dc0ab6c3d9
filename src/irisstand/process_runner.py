"""Running a program: flags and file to settings, one uvloop, signals, drain, exit codes."""

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

# Seconds that the last steps of a planned end may take beyond the farewell and the drain.
END_MARGIN_SECONDS = 0.35

Opened = tuple[node_context.NodeContext, collections.abc.Callable[[], collections.abc.Awaitable[None]]]
Reread = collections.abc.Callable[[], node_settings.Settings]
Assemble = collections.abc.Callable[
    [node_settings.Settings, event_log.EventLog], collections.abc.Awaitable[Opened]
]


def command(program: str, help_text: str, assemble: Assemble) -> click.Command:
    """A click command with a flag for each setting of the registry."""

    def callback(settings: str | None, **flags: typing.Any) -> None:
        given = {key: value for key, value in flags.items() if value is not None}
        try:
            # Flags win over the file.
            checked = node_settings.check(
                {**(node_settings.read_file(settings) if settings else {}), **given}, program
            )
        except errors.SettingsError as error:
            for fault in error.faults:
                click.echo(f"irisstand-{program}: {fault}", err=True)
            sys.exit(2)

        def read_again() -> node_settings.Settings:
            return node_settings.check(
                {**(node_settings.read_file(settings) if settings else {}), **given}, program
            )

        sys.exit(run(checked, assemble, read_again))

    parameters: list[click.Parameter] = [
        click.Option(["--settings"], metavar="FILE", help="a TOML file of settings; flags win over it")
    ]
    for key, (_, about) in node_settings.REGISTRY.items():
        if program == "controlplane" and key == "role":
            continue
        parameters.append(click.Option(["--" + key.replace("_", "-")], metavar="VALUE", help=about))
    made = click.Command(f"irisstand-{program}", callback=callback, params=parameters, help=help_text)
    return click.version_option(irisstand.VERSION, prog_name=f"irisstand-{program}")(made)


def run(settings: node_settings.Settings, assemble: Assemble, read_again: Reread | None = None) -> int:
    log_ring = event_log.EventLog()
    log_ring.attach()
    try:
        return uvloop.run(serve(settings, assemble, log_ring, read_again))
    except Exception as error:
        event_log.record("crash", error=repr(error))
        log_ring.write_out(f"crash: {error!r}")
        return 1


def bound_end(settings: node_settings.Settings) -> None:
    """End this process in its time, whatever still holds it: a thread in a stalled write, or a task.

    By then nothing is answered any more, and to the disk it is the same as a kill, which it withstands.
    """
    allowed = settings.farewell + settings.drain + END_MARGIN_SECONDS
    timer = threading.Timer(allowed, os._exit, (0,))
    timer.daemon = True
    timer.start()


async def serve(
    settings: node_settings.Settings,
    assemble: Assemble,
    log_ring: event_log.EventLog,
    read_again: Reread | None = None,
) -> int:
    stop, again = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, again.set)
    try:
        context, stop_listening = await assemble(settings, log_ring)
    except OSError as error:
        print(f"irisstand: {error}; free the port or name another", file=sys.stderr)
        return 2
    except errors.IrisError as error:
        print(f"irisstand: {error.code}: {error}; {error.remedy}", file=sys.stderr)
        return 2
    if read_again is not None:
        context.start_task(settings_reload.follow(context, again, read_again), "settings")
    waiting = loop.create_task(stop.wait())
    await asyncio.wait([waiting, context.crashed], return_when=asyncio.FIRST_COMPLETED)
    if context.crashed.done():
        error = context.crashed.exception()
        if isinstance(error, errors.PortTakenError):
            print(f"irisstand: {error}; {error.remedy}", file=sys.stderr)
            return 2
        log_ring.write_out(f"crash: {error!r}")
        return 1
    # Balancers and peers first learn that this node leaves; until then it serves as before. A listener
    # closed at once would reset connections that were made but not yet taken up.
    context.is_lame_duck = True
    bound_end(context.settings)
    await asyncio.sleep(context.settings.farewell)
    await stop_listening()
    await context.drain()
    await context.close()
    log_ring.write_out("SIGTERM")
    return 0
