"""Settings that change while a process runs: taken up where that is possible, and named where it is not."""

import asyncio
import collections.abc
import contextlib
import sys

from irisstand import errors, event_log, node_context, node_settings

# The file may change without a signal; seeds are needed only when all peers are gone.
RECHECK_INTERVAL_SECONDS = 10.0


def take_up(context: node_context.NodeContext, settings: node_settings.Settings) -> list[str]:
    """Take up what can change; the names of settings that would need a new start."""
    old = context.settings
    changed = [
        name for name in node_settings.Settings._fields if getattr(old, name) != getattr(settings, name)
    ]
    if "seeds" in changed:
        context.joiner.set_seeds(settings.seeds)
        context.settings = old._replace(seeds=settings.seeds)
        event_log.record("settings", seeds=[list(seed) for seed in settings.seeds])
    # Whether it may found concerns only the next start.
    return [name for name in changed if name not in ("seeds", "may_found")]


async def follow(
    context: node_context.NodeContext,
    signalled: asyncio.Event,
    read_again: collections.abc.Callable[[], node_settings.Settings],
) -> None:
    """On each signal, and now and then without one. A file that does not do changes nothing, and is told
    of."""
    told: list[str] = []
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECHECK_INTERVAL_SECONDS):
                await signalled.wait()
        is_asked = signalled.is_set()
        signalled.clear()
        try:
            left = [f"{name}: changed, which takes a new start" for name in take_up(context, read_again())]
        except errors.SettingsError as error:
            left = error.faults
        # Said once for each change, and again to whoever asks by a signal.
        if left and (is_asked or left != told):
            print("\n".join(f"irisstand: settings: {fault}" for fault in left), file=sys.stderr, flush=True)
        told = left
