"""Tests that background tasks end with their owner and survive their exceptions."""

import asyncio
import gc
from contextlib import asynccontextmanager

import pytest
from rhubarbwell_entry import tasks as tasks_module
from rhubarbwell_entry.tasks import BackgroundTasks
from support.running_fleet import wait_until

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


@asynccontextmanager
async def background_tasks():
    failed = []
    tasks = BackgroundTasks(failed.append)
    try:
        yield tasks, failed
    finally:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await tasks.close()


@pytest.fixture
def short_delays(monkeypatch):
    monkeypatch.setattr(tasks_module, "MIN_RESTART_DELAY_S", 0.001)
    monkeypatch.setattr(tasks_module, "MAX_RESTART_DELAY_S", 0.004)
    monkeypatch.setattr(tasks_module, "RECOVERY_S", 0.05)


async def test_supervised_task_starts_again_and_its_exception_is_logged(caplog):
    starts = []

    async def fail_once():
        starts.append(True)
        if len(starts) == 1:
            raise KeyError("lost")
        await asyncio.Event().wait()

    async with background_tasks() as (tasks, failed):
        tasks.supervise("poller", fail_once, essential=True)
        await wait_until(lambda: len(starts) == 2)
        assert tasks.can_run
    assert failed == ["poller"]
    (record,) = [r for r in caplog.records if getattr(r, "event", "") == "task_failed"]
    assert (record.task, record.failures_in_row) == ("poller", 1)
    assert record.exc_info[0] is KeyError


@pytest.mark.parametrize("essential", [True, False])
async def test_essential_task_that_cannot_run_is_told_until_it_recovers(
    essential, short_delays
):
    broken = True

    async def fail_while_broken():
        if broken:
            raise RuntimeError("injected")
        await asyncio.Event().wait()

    async with background_tasks() as (tasks, failed):
        tasks.supervise("poller", fail_while_broken, essential=essential)
        await wait_until(lambda: len(failed) >= 8)
        assert tasks.can_run is not essential
        broken = False
        await wait_until(lambda: tasks.can_run)


async def test_task_that_returns_is_not_started_again():
    starts = []

    async def run():
        starts.append(True)

    async with background_tasks() as (tasks, failed):
        tasks.supervise("loader", run)
        await asyncio.sleep(0.05)
    assert (len(starts), failed) == (1, [])


async def test_exception_of_a_task_that_runs_once_is_reported():
    async def fail():
        raise RuntimeError("injected")

    async with background_tasks() as (tasks, failed):
        tasks.spawn(fail())
        await wait_until(lambda: failed)
    assert failed[0].endswith("fail")


# The delay overflowed after 1,025 failures and ended the task for good.
async def test_task_that_fails_for_hours_still_starts_again(monkeypatch):
    monkeypatch.setattr(tasks_module, "MIN_RESTART_DELAY_S", 0.0)

    async def fail():
        raise RuntimeError("injected")

    async with background_tasks() as (tasks, failed):
        tasks.supervise("poller", fail)
        await wait_until(lambda: len(failed) > 1_100)


async def test_task_that_is_closed_before_it_runs_leaves_no_coroutine(recwarn):
    async def wait():
        await asyncio.Event().wait()

    async with background_tasks() as (tasks, failed):
        tasks.spawn(wait())
    gc.collect()
    assert failed == []
    assert [w for w in recwarn if "never awaited" in str(w.message)] == []
