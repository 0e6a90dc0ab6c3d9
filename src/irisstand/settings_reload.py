"""Settings that change while a process runs: applied where that is possible, reported where it is not."""

import asyncio
import collections.abc
import contextlib
import sys

from irisstand import errors, event_log, node_context, node_settings

# The file may change without a signal; seeds are needed only when all peers are gone.
RECHECK_INTERVAL_SECONDS = 10.0
# Bootstrapping concerns only the next start, so a change of it needs no report.
UNREPORTED_SETTINGS = ("seeds", "may_found")


def apply_settings(context: node_context.NodeContext, settings: node_settings.Settings) -> list[str]:
    """Apply the settings that can change; return the names of changed ones that need a restart."""
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
    """Read the settings again on each signal and now and then; invalid ones are reported and change nothing.

    Args:
        context: The node whose settings are followed.
        reload_requested: Set by the signal; cleared here.
        read_settings: Reads and checks the settings; raises SettingsError.
    """
    reported: list[str] = []
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECHECK_INTERVAL_SECONDS):
                await reload_requested.wait()
        is_requested = reload_requested.is_set()
        reload_requested.clear()
        faults = _reload(context, read_settings)
        # Reported once for each change, and again to whoever sends a signal.
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
    return [f"{name}: changed, which takes a new start" for name in needing_restart]
