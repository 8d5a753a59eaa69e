"""Tests of timeouts that read what has arrived first."""

import asyncio
import socket

import pytest
from rhubarbwell_entry.direct.timeouts import read_timeout


async def test_timeout_without_a_transport_expires():
    with pytest.raises(TimeoutError):
        async with read_timeout(0.01, lambda: None):
            await asyncio.Event().wait()


async def test_block_that_ends_in_time_is_not_cancelled_later():
    async with read_timeout(0.01, lambda: None):
        pass
    await asyncio.sleep(0.03)


async def test_bytes_that_are_never_read_hold_up_a_timeout_only_briefly():
    ours, theirs = socket.socketpair()
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_connection(asyncio.Protocol, sock=ours)
    transport.pause_reading()
    with theirs:
        theirs.send(b"x")
        started_s = loop.time()
        with pytest.raises(TimeoutError):
            async with read_timeout(0.01, lambda: transport):
                await asyncio.Event().wait()
        # Three times 20 ms after the timeout.
        assert loop.time() - started_s >= 0.07
        transport.abort()
