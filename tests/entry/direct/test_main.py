"""Test of signals to an entry instance that runs as a process."""

import asyncio
import gc
import os
import signal
import sys

import aiohttp
import pytest
from rhubarbwell_entry.direct.main import DirectService
from soak.soak import ENTRY_SCRIPT
from support.entry_processes import running_process, send_request
from support.running_fleet import WAIT_S, running_fleet

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


# A second SIGTERM ended the process at once and cut off all open requests.
@pytest.mark.parametrize("gap_s", [0.0, 0.002, 0.3])
async def test_repeated_signals_do_not_cut_off_requests(gap_s, tmp_path):
    async with running_process(tmp_path) as (instance, server, session):
        answer = asyncio.create_task(send_request(instance, session, "r-1"))
        async with asyncio.timeout(WAIT_S):
            while not server.received:
                await asyncio.sleep(0.01)
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            instance.send_signal(number)
            await asyncio.sleep(gap_s)
        async with asyncio.timeout(WAIT_S):
            assert await answer == 200
            assert await instance.process.wait() == 0


async def send_as_soon_as_it_listens(instance, session):
    """Return the status of a request whose connection is one of the first."""
    while True:
        try:
            return await send_request(instance, session, "r-1")
        except aiohttp.ClientConnectorError:
            await asyncio.sleep(0.002)


async def is_listening(instance):
    try:
        _, writer = await asyncio.open_connection(*instance.callers)
    except OSError:
        return False
    writer.close()
    return True


# A SIGTERM before the end of a start closed the connections that had been accepted.
@pytest.mark.parametrize("after_listening_s", [0.0, 0.05, 0.3])
async def test_sigterm_in_a_start_does_not_cut_off_requests(
    after_listening_s, tmp_path
):
    async with running_process(tmp_path) as (instance, _, session):
        await instance.stop_with_signal(signal.SIGKILL)
        await instance.start()
        answer = asyncio.create_task(send_as_soon_as_it_listens(instance, session))
        async with asyncio.timeout(WAIT_S):
            while not await is_listening(instance):
                await asyncio.sleep(0.002)
        await asyncio.sleep(after_listening_s)
        instance.send_signal(signal.SIGTERM)
        async with asyncio.timeout(WAIT_S):
            assert await answer in (200, 503)
            assert await instance.process.wait() == 0


async def send_until_exit(instance, number, period_s):
    async with asyncio.timeout(WAIT_S):
        while instance.process.returncode is None:
            instance.send_signal(number)
            await asyncio.sleep(period_s)


# A signal while the interpreter ended made a regular end look like a crash.
@pytest.mark.parametrize("after_start_s", [0.0, 0.3, 0.7, None])
async def test_signals_until_the_exit_leave_the_exit_code_at_0(after_start_s, tmp_path):
    async with running_process(tmp_path) as (instance, _, _):
        if after_start_s is not None:
            await instance.stop_with_signal(signal.SIGKILL)
            await instance.start()
            await instance.wait_until_handled(signal.SIGTERM)
            await asyncio.sleep(after_start_s)
        await send_until_exit(instance, signal.SIGTERM, 0.001)
        assert instance.process.returncode == 0


# A SIGHUP after the event loop had closed ended the process like a crash.
async def test_reloads_until_the_exit_leave_the_exit_code_at_0(tmp_path):
    async with running_process(tmp_path) as (instance, _, _):
        instance.send_signal(signal.SIGTERM)
        await send_until_exit(instance, signal.SIGHUP, 0.001)
        assert instance.process.returncode == 0


# A process that had stopped collected garbage until after its grace time.
async def test_stop_leaves_no_objects_to_the_last_garbage_collection():
    async with running_fleet(1) as fleet:
        service = DirectService(instance=fleet.instance)
        handlers = {number: signal.getsignal(number) for number in SIGNALS}
        try:
            await service.stop()
            assert gc.get_freeze_count() > 0
        finally:
            gc.unfreeze()
            for number, handler in handlers.items():
                signal.signal(number, handler)


SIGTERM_IN_A_CALLBACK = """
import os, signal, weakref
import run_entry
signal.signal(signal.SIGTERM, run_entry.exit_at_once)
class Referent:
    pass
referent = Referent()
ref = weakref.ref(referent, lambda _: os.kill(os.getpid(), signal.SIGTERM))
del referent
raise SystemExit("the process still runs")
"""


# The interpreter discards an exception in a callback, so the process started and served
# until SIGKILL.
async def test_sigterm_in_a_callback_of_the_interpreter_ends_a_start():
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-c", SIGTERM_IN_A_CALLBACK),
        env={**os.environ, "PYTHONPATH": str(ENTRY_SCRIPT.parent)},
    )
    assert await process.wait() == 0
