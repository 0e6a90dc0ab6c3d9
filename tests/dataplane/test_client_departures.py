"""Clients that leave before they are answered: nothing goes on for them but what docs/departures.md names."""

import asyncio

import departing_clients
import pytest
from departing_clients import play

from irisstand.state import items

# Shorter than the time after which a second attempt is sent beside the first, and longer than it.
BEFORE_HEDGE, AFTER_HEDGE = 0.1, 0.35


@pytest.mark.parametrize("path", ["/reads/1", "/objects/1"])
@pytest.mark.parametrize(("seconds", "attempts"), [(BEFORE_HEDGE, 1), (AFTER_HEDGE, 2)])
def test_read_is_withdrawn_from_its_origins_when_its_client_leaves(path, seconds, attempts):
    async def scene(stage):
        await stage.visit(path, seconds)
        left_at = asyncio.get_running_loop().time()
        await asyncio.sleep(2)
        return [run.ended_at - left_at for run in stage.origins.runs], stage.origins.cut()

    ended, cut = play(scene)
    assert cut == [True] * attempts
    assert max(ended) < 0.001


@pytest.mark.parametrize("path", ["/reads/1", "/objects/1"])
def test_no_attempt_begins_after_the_client_left(path):
    async def scene(stage):
        await stage.visit(path, BEFORE_HEDGE)
        await asyncio.sleep(2)
        return len(stage.scene.sent)

    assert play(scene) == 1
