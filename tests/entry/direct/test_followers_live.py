"""Test that an instance that reads the store counts the followers that poll it."""

import asyncio

import pytest
from rhubarbwell_entry.direct import instance as instance_module
from support.running_fleet import running_fleet, second_instance, wait_until
from support.unloaded_loops import run_unloaded

LIVENESS_TIMEOUT_MS = 1_500
OBSERVED_S = 3.0
SAMPLE_PERIOD_S = 0.05


@pytest.fixture(autouse=True)
def short_liveness_timeout(monkeypatch):
    monkeypatch.setattr(instance_module, "LIVENESS_TIMEOUT_MS", LIVENESS_TIMEOUT_MS)


# Guards against the flood of cold servers (FAILBACK): a reader that forgot its
# followers took the whole rate, retry budget and connection limit for itself.
def test_reader_keeps_its_followers_live_while_they_poll_it():
    assert run_unloaded(numbers_of_live_instances()) == {2}


async def numbers_of_live_instances():
    """Return how many instances a reader counts as live while another one polls it."""
    async with running_fleet() as fleet, second_instance(fleet) as other:
        pair = [fleet.instance, other]
        await wait_until(lambda: any(i._upstream.reader for i in pair))
        reader = next(i for i in pair if i._upstream.reader is None)
        await wait_until(lambda: len(reader.instances.live_ids()) == 2)
        counts = set()
        for _ in range(round(OBSERVED_S / SAMPLE_PERIOD_S)):
            counts.add(len(reader.instances.live_ids()))
            await asyncio.sleep(SAMPLE_PERIOD_S)
        return counts


def test_reader_forgets_a_follower_that_stopped():
    run_unloaded(stop_follower())


async def stop_follower():
    """Stop an instance and return once the reader that it polled has forgotten it."""
    async with running_fleet() as fleet, second_instance(fleet) as other:
        pair = [fleet.instance, other]
        await wait_until(lambda: any(i._upstream.reader for i in pair))
        reader = next(i for i in pair if i._upstream.reader is None)
        (follower,) = (i for i in pair if i is not reader)
        await wait_until(lambda: len(reader.instances.live_ids()) == 2)
        await follower.stop()
        await wait_until(lambda: len(reader.instances.live_ids()) == 1)
