"""Tests of calls of the stores that end while the event loop is late for their time."""

import asyncio
import socket

import pytest
import uvloop
from rhubarbwell_core.adoption import ReadHead
from rhubarbwell_core.messages import (
    ClaimKey,
    ClaimSlot,
    ReadKey,
    ReadSlots,
    RecordOutcomes,
    RenewSlots,
    SlotRenewal,
    SlotRow,
    StoredKey,
)
from rhubarbwell_entry import adoption, keystore, slotstore
from rhubarbwell_entry.adoption import LogFollower
from rhubarbwell_entry.clocks import monotonic_ms
from rhubarbwell_entry.keystore import KeyStore
from rhubarbwell_entry.slotstore import SlotStore
from rhubarbwell_platform.memory import memory_platform
from support.late_loops import Stall

KEY = StoredKey("s", "i", "c", "f")
ROW = SlotRow("r-a", 0, "a1", "i1")
TIMEOUT_S = 1.2


class StandInDriver:
    """Execute actions and keep the events that follow."""

    def __init__(self):
        self.clock_ms = monotonic_ms
        self.executors = {}
        self.events = asyncio.Queue()

    def register(self, action_type, executor):
        self.executors[action_type] = executor

    def handle(self, event):
        self.events.put_nowait(event)


class LateTables:
    """Pass calls on once a byte has arrived on a socket."""

    def __init__(self, tables, sock):
        self._tables = tables
        self._sock = sock

    def __getattr__(self, name):
        async def call(*args, **options):
            loop = asyncio.get_running_loop()
            if self._sock is not None:
                sock, self._sock = self._sock, None
                await loop.sock_recv(sock, 1)
            return await getattr(self._tables, name)(*args, **options)

        return call


def late_platform(sock):
    platform = memory_platform()
    return platform._replace(tables=LateTables(platform.tables, sock))


async def run_action(make_action, *, stalls):
    """Return the event that follows an action.

    The service answers after 0.1 s. With stalls, the loop is late from then to 1.5 s.
    """
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    driver, platform, stall = StandInDriver(), late_platform(ours), Stall()
    KeyStore(driver, platform.tables)
    SlotStore(driver, platform.tables)
    LogFollower(driver, platform)
    action = make_action(monotonic_ms() + 1_000 * TIMEOUT_S)
    driver.executors[type(action)](action)
    await asyncio.sleep(0.1)
    if stalls:
        stall.start(1.4, lambda: theirs.send(b"x"))
    else:
        theirs.send(b"x")
    event = await driver.events.get()
    ours.close()
    theirs.close()
    return event


ACTIONS = [
    lambda deadline_ms: ClaimKey(KEY, deadline_ms),
    lambda deadline_ms: ReadKey("s", deadline_ms),
    lambda _: RecordOutcomes(1, (KEY,)),
    lambda _: ReadSlots(1, "r-a"),
    lambda _: ClaimSlot(1, ROW, None),
    lambda _: RenewSlots(1, (SlotRenewal("r-a", 0, "i1"),)),
    lambda _: ReadHead(1),
]


# The time of a call was checked before an answer that had arrived was read.
@pytest.mark.parametrize("make_action", ACTIONS, ids=range(len(ACTIONS)))
def test_call_that_is_answered_before_a_late_timeout_succeeds(make_action, monkeypatch):
    monkeypatch.setattr(adoption, "CALL_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(slotstore, "CALL_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(keystore, "RECORD_TIMEOUT_MS", 1_000 * TIMEOUT_S)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        expected = runner.run(run_action(make_action, stalls=False))
        assert runner.run(run_action(make_action, stalls=True)) == expected
