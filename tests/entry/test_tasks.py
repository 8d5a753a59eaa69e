"""Test that background tasks end with their owner."""

import asyncio

from rhubarbwell_entry.tasks import BackgroundTasks

CLOSE_TIMEOUT_S = 5.0


async def test_task_that_swallows_its_cancellation_is_cancelled_again():
    swallowed = []

    async def ignore_two_cancellations():
        while len(swallowed) < 2:
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                swallowed.append(True)
        await asyncio.sleep(60.0)

    tasks = BackgroundTasks()
    tasks.spawn(ignore_two_cancellations())
    await asyncio.sleep(0)
    async with asyncio.timeout(CLOSE_TIMEOUT_S):
        await tasks.close()
    assert len(swallowed) == 2


async def test_close_without_tasks_returns():
    await BackgroundTasks().close()
