"""Tests that the parts of an instance end within the time before SIGKILL."""

import asyncio
import logging
import socket
from contextlib import asynccontextmanager

import pytest
from rhubarbwell_entry.direct.shutdown import DirectShutdown
from support.running_fleet import WAIT_S, raw_request, running_fleet, wait_until
from support.unloaded_loops import run_unloaded

HELD_REQUEST = (
    "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n"
    "X-Rhubarbwell-Request-Id: held\r\nX-Rhubarbwell-Request-Deadline: 60000\r\n\r\n"
)


class HangingRunner:
    async def cleanup(self):
        await asyncio.Event().wait()


@asynccontextmanager
async def fleet_with_held_request(**changes):
    """Run an instance with a request that its backend server does not answer."""
    async with running_fleet(1, **changes) as fleet:
        release = asyncio.Event()

        async def hold(request):
            await release.wait()
            return fleet.backends[0].signed_response(request)

        fleet.backends[0].custom_handler = hold
        _, writer = await raw_request(fleet, HELD_REQUEST)
        try:
            await wait_until(lambda: fleet.backends[0].received)
            yield fleet
        finally:
            release.set()
            writer.close()


async def test_connection_accepted_while_a_listener_ends_does_not_hold_it():
    async with running_fleet(1) as fleet:
        runner = fleet.instance._runners[0]
        loop = asyncio.get_running_loop()
        ours, theirs = socket.socketpair()
        transport, _ = await loop.connect_accepted_socket(asyncio.Protocol, ours)
        conn = fleet.instance.callers()
        # Its handler starts to wait for a request just after the listener has closed
        # the idle connections.
        loop.call_soon(conn.connection_made, transport)
        try:
            async with asyncio.timeout(WAIT_S):
                await runner.cleanup()
        finally:
            transport.close()
            theirs.close()


async def test_open_request_does_not_hold_the_parts_of_a_stop(caplog):
    caplog.set_level(logging.WARNING)
    async with fleet_with_held_request() as fleet, asyncio.timeout(WAIT_S):
        await fleet.instance.stop()
        assert "did not stop in time" not in caplog.text


async def seconds_of_stop_with_hanging_parts(grace_ms):
    """Return for how long an instance stops that gets SIGKILL after the grace time."""
    async with (
        fleet_with_held_request(stop_max_ms=grace_ms) as fleet,
        asyncio.timeout(WAIT_S),
    ):
        loop = asyncio.get_running_loop()
        instance = fleet.instance
        runners = instance._runners
        instance._runners = [HangingRunner() for _ in runners]
        started_s = loop.time()
        shutdown = DirectShutdown(instance)
        await shutdown.run()
        await instance.stop(timeout_s=shutdown.remaining_s)
        elapsed_s = loop.time() - started_s
        instance._runners = runners
        return elapsed_s


@pytest.mark.parametrize("grace_ms", [1_000, 2_000])
def test_stop_with_hanging_parts_ends_before_sigkill(grace_ms):
    elapsed_s = run_unloaded(seconds_of_stop_with_hanging_parts(grace_ms))
    assert elapsed_s < grace_ms / 1_000
