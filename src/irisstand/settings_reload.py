"""Reloading of settings in a running process: applies those that can change, reports those that cannot."""

import asyncio
import collections.abc
import contextlib
import sys

from irisstand import errors, event_log, node_context, node_settings

# The settings are read again at this interval even without a signal. It may be long, as new seeds are needed
# only when no known peer is reachable any more.
RECHECK_INTERVAL_SECONDS = 10.0
# Changes of these settings are not reported: `seeds` is applied at once, and `may_found` concerns only the
# bootstrap at the next start.
UNREPORTED_SETTINGS = ("seeds", "may_found")


def apply_settings(context: node_context.NodeContext, settings: node_settings.Settings) -> list[str]:
    """Apply changed settings where possible at run time; return the names of those that need a restart."""
    current = context.settings
    changed = [
        name for name in node_settings.Settings._fields if getattr(current, name) != getattr(settings, name)
    ]
    if "seeds" in changed:
        context.joiner.set_seeds(settings.seeds)
        context.settings = current._replace(seeds=settings.seeds)
        event_log.record("settings", seeds=[list(seed) for seed in settings.seeds])
    return [name for name in changed if name not in UNREPORTED_SETTINGS]


async def reload_repeatedly(
    context: node_context.NodeContext,
    reload_requested: asyncio.Event,
    read_settings: collections.abc.Callable[[], node_settings.Settings],
) -> None:
    """Reload the settings on each signal and at a fixed interval; invalid settings are reported, not applied.

    Args:
        context: The node whose settings are reloaded.
        reload_requested: Set by the handler of SIGHUP; cleared here.
        read_settings: Reads and checks the settings; raises SettingsError if they are invalid.
    """
    reported: list[str] = []
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECHECK_INTERVAL_SECONDS):
                await reload_requested.wait()
        is_requested = reload_requested.is_set()
        reload_requested.clear()
        faults = _reload(context, read_settings)
        # Invalid settings, and changes that need a restart, are printed once, and again after each signal.
        if faults and (is_requested or faults != reported):
            lines = [f"irisstand: settings: {fault}" for fault in faults]
            print("\n".join(lines), file=sys.stderr, flush=True)
        reported = faults


def _reload(
    context: node_context.NodeContext,
    read_settings: collections.abc.Callable[[], node_settings.Settings],
) -> list[str]:
    try:
        needing_restart = apply_settings(context, read_settings())
    except errors.SettingsError as error:
        return error.faults
    return [f"{name}: the changed value takes effect only after a restart" for name in needing_restart]
