"""Tests of checks whether a server that lost a connection still runs."""

import asyncio
import socket
import time

import pytest
import uvloop
from rhubarbwell_core.model import Address
from rhubarbwell_entry.clocks import monotonic_ms
from rhubarbwell_entry.direct import losses
from rhubarbwell_entry.direct.losses import LossChecks
from rhubarbwell_entry.tasks import BackgroundTasks
from support.late_loops import Stall
from support.loopback import LOOPBACK

# Longer than a check and its limits.
CHECK_S = 2.0


class Records:
    """Note for which addresses an open connection was reported."""

    def __init__(self):
        self.addresses = []

    def record_open_connection(self, address, opened_ms, now_ms):
        self.addresses.append(address)


class Connection(asyncio.Protocol):
    is_open = True

    def connection_lost(self, exc):
        self.is_open = False


@pytest.fixture(autouse=True)
def long_survival(monkeypatch):
    monkeypatch.setattr(losses, "SURVIVAL_S", 1.0)


@pytest.fixture
def listener():
    with socket.create_server((LOOPBACK, 0)) as sock:
        yield sock


def address_of(listener):
    return Address(*listener.getsockname()[:2])


def hold_up_once(for_s):
    """Let the event loop be late while a connection that starts now is opened."""
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, time.sleep, for_s)


async def check(listener, during_check, oldest_open_ms=lambda address: None):
    """Return the addresses that a check reports while something happens."""
    records, tasks = Records(), BackgroundTasks()
    checks = LossChecks(records, oldest_open_ms, tasks, monotonic_ms)
    checks.start(address_of(listener), was_connected=True)
    await during_check()
    await asyncio.sleep(CHECK_S)
    await tasks.close()
    return records.addresses


def run(coro):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coro)


async def probe_that_stays_open(listener):
    async def stall():
        hold_up_once(0.4)

    return await check(listener, stall)


# The time to connect was checked before the connection that stood was seen.
def test_probe_that_connects_before_a_late_timeout_is_reported(listener):
    assert run(probe_that_stays_open(listener)) == [address_of(listener)]


async def probe_that_ends(listener):
    async def end_in_a_stall():
        listener.setblocking(False)
        server_side, _ = await asyncio.get_running_loop().sock_accept(listener)
        await asyncio.sleep(0.2)
        Stall().start(1.2, server_side.close)

    return await check(listener, end_in_a_stall)


# A probe counted as open after its time although its end had arrived.
def test_probe_that_ends_before_a_late_check_is_not_reported(listener):
    assert run(probe_that_ends(listener)) == []


async def connection_that_ends(listener):
    loop = asyncio.get_running_loop()
    _, conn = await loop.create_connection(Connection, *listener.getsockname())
    server_side = listener.accept()[0]

    async def end_in_a_stall():
        await asyncio.sleep(0.1)
        Stall().start(1.2, server_side.close)

    return await check(
        listener, end_in_a_stall, lambda address: 1 if conn.is_open else None
    )


# Another connection counted as open although its end had arrived.
def test_connection_that_ends_before_a_late_check_is_not_reported(listener):
    assert run(connection_that_ends(listener)) == []


async def connection_that_stays_open(listener):
    async def do_nothing():
        pass

    return await check(listener, do_nothing, lambda address: 1)


def test_connection_that_stays_open_is_reported(listener):
    assert run(connection_that_stays_open(listener)) == [address_of(listener)]
