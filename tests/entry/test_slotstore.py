"""Test slot leases in an in-memory table service with injected faults."""

import asyncio
from random import Random

import pytest
from rhubarbwell_core import Core
from rhubarbwell_core.messages import (
    ClaimSlot,
    ReadSlots,
    ReleaseSlot,
    RenewalResult,
    RenewSlots,
    SlotRenewal,
    SlotRow,
    StoreResult,
)
from rhubarbwell_core.model import Address, Identity
from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.slotstore import SlotStore, decode_slot, encode_slot, slot_key
from rhubarbwell_platform.memory import (
    Fault,
    FaultKind,
    Operation,
    ScriptedFaults,
    memory_platform,
    with_faults,
)

ADDRESS = Address("127.0.0.1", 1)
ROW = SlotRow("r-a", 0, "a1", "i1")


class RecordingDriver(CoreDriver):
    """Record the events that the store reports."""

    def __init__(self):
        super().__init__(
            Core(Identity("a1", "i1", "r-a", "r", ADDRESS, ADDRESS), Random(1))
        )
        self.events = asyncio.Queue()

    def handle(self, event):
        self.events.put_nowait(event)


@pytest.fixture
async def call_store():
    faults = ScriptedFaults()
    inner = memory_platform()
    driver = RecordingDriver()
    store = SlotStore(driver, with_faults(inner, faults).tables)

    async def call(action):
        driver._execute([action])
        return await asyncio.wait_for(driver.events.get(), 20)

    call.faults = faults
    call.tables = inner.tables
    call.driver = driver
    yield call
    await store.close()


async def test_claim_is_conditional_on_the_expected_row(call_store):
    assert (await call_store(ClaimSlot(1, ROW, None))).result is StoreResult.DONE
    rival = ROW._replace(instance_id="a2", incarnation="i2")
    assert (await call_store(ClaimSlot(2, rival, None))).result is StoreResult.CONFLICT
    assert (await call_store(ClaimSlot(3, rival, ROW))).result is StoreResult.DONE
    assert (await call_store(ReadSlots(4, "r-a"))).rows == (rival,)


async def test_batch_renews_held_slots_and_reports_lost_ones(call_store):
    other = SlotRow("r-a", 1, "a2", "i2")
    await call_store(ClaimSlot(1, ROW, None))
    await call_store(ClaimSlot(2, other, None))
    renewals = (
        SlotRenewal("r-a", 0, "i1"),
        SlotRenewal("r-a", 1, "i1"),
        SlotRenewal("r-a", 2, "i1"),
    )
    answer = await call_store(RenewSlots(3, renewals))
    lost = RenewalResult.LOST
    assert answer.results == (RenewalResult.RENEWED, lost, lost)
    rows = (await call_store(ReadSlots(4, "r-a"))).rows
    assert rows == (ROW._replace(renewals=1), other)


@pytest.mark.parametrize("kind", list(FaultKind))
async def test_failed_calls_are_reported_as_unavailable(call_store, kind):
    await call_store(ClaimSlot(1, ROW, None))
    fault = Fault(kind, delay_ms=10_000)
    call_store.faults.add(Operation.TRANSACT, fault, fault)
    call_store.faults.add(Operation.SCAN, fault)
    answer = await call_store(RenewSlots(2, (SlotRenewal("r-a", 0, "i1"),)))
    assert answer.results == (RenewalResult.UNAVAILABLE,)
    rival = ROW._replace(slot=1)
    claim = await call_store(ClaimSlot(3, rival, None))
    assert claim.result is StoreResult.UNAVAILABLE
    assert (await call_store(ReadSlots(4, "r-a"))).rows is None


async def test_release_leaves_the_row_of_another_incarnation(call_store):
    await call_store(ClaimSlot(1, ROW, None))
    call_store.driver._execute([ReleaseSlot("r-a", 0, "i2")])
    assert (await call_store(ReadSlots(2, "r-a"))).rows == (ROW,)
    call_store.driver._execute([ReleaseSlot("r-a", 0, "i1")])
    while await call_store.tables.read([slot_key("r-a", 0)]):
        await asyncio.sleep(0.01)


@pytest.mark.parametrize("text", ["", "[]", "{}", '{"zone": 1}'])
def test_malformed_row_is_refused(text):
    assert decode_slot(encode_slot(ROW)) == ROW
    with pytest.raises(ValueError):
        decode_slot(text)
