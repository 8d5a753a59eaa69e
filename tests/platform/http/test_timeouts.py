"""Tests of timeouts that read what has arrived first."""

import asyncio
import socket
import time

import pytest
import uvloop
from rhubarbwell_platform.http.timeouts import (
    LAST_ITERATIONS,
    MIN_ITERATIONS,
    PUNCTUAL_ITERATIONS,
    SocketTimeout,
)
from support.late_loops import Stall

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


async def test_block_that_takes_too_long_expires():
    with pytest.raises(TimeoutError):
        async with SocketTimeout(0.01):
            await asyncio.Event().wait()


async def test_block_that_ends_in_time_is_not_cancelled_later():
    async with SocketTimeout(0.01):
        pass
    await asyncio.sleep(0.03)


async def test_block_without_a_limit_does_not_expire():
    async with SocketTimeout(None):
        await asyncio.sleep(0.01)


async def test_block_that_is_cancelled_is_not_timed_out():
    task = asyncio.current_task()
    with pytest.raises(asyncio.CancelledError):
        async with SocketTimeout(0.01):
            task.cancel()
            await asyncio.Event().wait()
    assert task.uncancel() == 0


async def read_bytes_that_arrive_in_a_stall(pieces):
    """Read bytes with a timeout of 0.1 s for which the event loop is late."""
    ours, theirs = socket.socketpair()
    stall = Stall()
    reader, writer = await asyncio.open_connection(sock=ours, limit=2_048)
    data = bytes(1_024) * pieces
    stall.start(0.2, lambda: theirs.sendall(data))
    async with SocketTimeout(0.1):
        received = await reader.readexactly(len(data))
    theirs.close()
    writer.close()
    assert received == data


# A reader of 2 KiB pauses its transport, which continues an iteration later.
@pytest.mark.parametrize("pieces", [1, 64])
@pytest.mark.parametrize("loop_factory", LOOPS)
def test_bytes_that_arrive_before_a_late_timeout_are_read(loop_factory, pieces):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(read_bytes_that_arrive_in_a_stall(pieces))


async def iterations_until_a_timeout(*, is_connected=True, delay_s=0.0, takes_s=0.0):
    """Return how often a busy event loop iterates after the time is over.

    The loop is late by delay_s for the time; each iteration takes takes_s.
    """
    loop = asyncio.get_running_loop()
    iterations = 0

    def iterate():
        nonlocal iterations, handle
        iterations += 1
        time.sleep(takes_s)
        handle = loop.call_soon(iterate)

    loop.call_soon(time.sleep, delay_s)
    handle = loop.call_soon(iterate)
    with pytest.raises(TimeoutError):
        async with SocketTimeout(0.0, is_connected=lambda: is_connected):
            await asyncio.Event().wait()
    handle.cancel()
    return iterations


# A few iterations lie between the end of the time and the end of the block.
@pytest.mark.parametrize(
    ("delay_s", "takes_s", "expected"),
    [
        (0.0, 0.0, PUNCTUAL_ITERATIONS),
        (0.05, 0.0, LAST_ITERATIONS),
        (0.05, 0.03, MIN_ITERATIONS),
    ],
    ids=["punctual", "late", "slow"],
)
@pytest.mark.parametrize("loop_factory", LOOPS)
def test_busy_event_loop_holds_up_a_timeout_for_a_limited_time(
    loop_factory, delay_s, takes_s, expected
):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        iterations = runner.run(
            iterations_until_a_timeout(delay_s=delay_s, takes_s=takes_s)
        )
    assert expected <= iterations <= expected + 5


@pytest.mark.parametrize("loop_factory", LOOPS)
def test_timeout_before_a_connection_takes_effect_at_once(loop_factory):
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        iterations = runner.run(iterations_until_a_timeout(is_connected=False))
    assert iterations <= 5
