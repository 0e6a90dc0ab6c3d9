"""The drain guard: which error ends unfinished work at the end of a drain, depending on its state."""

import asyncio

import pytest

from irisstand import drain_guard, errors

WorkState = drain_guard.WorkState


def result_of(state, *, is_drain_over):
    """Return the result or error type of work in a state, near the end of a drain or after its end."""

    async def work(guard):
        with guard.fail_at_end(lambda: state):
            await asyncio.sleep(0.01)
            return "own result"

    async def scenario():
        guard = drain_guard.DrainGuard()
        task = asyncio.get_running_loop().create_task(work(guard))
        await asyncio.sleep(0)
        guard.refuse_unsent()
        if is_drain_over:
            guard.end_unfinished()
        await asyncio.wait([task])
        assert guard.guarded == {}
        return type(task.exception()) if task.exception() else task.result()

    return asyncio.run(scenario())


@pytest.mark.parametrize(
    ("state", "near_the_end", "over"),
    [
        (WorkState.UNSENT, errors.DrainingError, errors.DrainingError),
        (WorkState.WITHDRAWABLE, "own result", errors.DrainingError),
        (WorkState.BEGUN, "own result", errors.OutcomeUnknownError),
        (WorkState.FINISHED, "own result", "own result"),
    ],
)
def test_work_is_answered_by_how_far_it_is(state, near_the_end, over):
    """Guards against unanswered requests, and against refusals of requests that may have run."""
    assert result_of(state, is_drain_over=False) == near_the_end
    assert result_of(state, is_drain_over=True) == over


def test_work_whose_client_leaves_is_cancelled_and_not_answered():
    async def scenario():
        guard = drain_guard.DrainGuard()

        async def work():
            with guard.fail_at_end(lambda: WorkState.UNSENT):
                await asyncio.sleep(1)

        task = asyncio.get_running_loop().create_task(work())
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task])
        return task.cancelled(), guard.guarded

    assert asyncio.run(scenario()) == (True, {})
