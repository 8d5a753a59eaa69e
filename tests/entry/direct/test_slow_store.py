"""Test that live instances stay in look-ups while the store is slow."""

import asyncio

import pytest
from support.running_fleet import running_fleet, second_instance, wait_until
from support.unloaded_loops import run_unloaded

OBSERVED_S = 15.0
SAMPLE_PERIOD_S = 0.1
# Heartbeats of a reader in this time, every 2.4 s at least.
MIN_WRITES = 5


async def watch_live_instances(delay_s):
    """Return how many instances two instances count as live, and the late writes."""
    async with running_fleet() as fleet, second_instance(fleet) as other:
        pair = [fleet.instance, other]
        await wait_until(lambda: all(len(i.instances.live()) == 1 for i in pair))
        performed = []

        async def write_late(request):
            if not request.path.endswith(("rows-get", "rows-feed")):
                await request.read()
                await asyncio.sleep(delay_s)
                performed.append(request.path)

        fleet.store.fault_handler = write_late
        numbers = set()
        for _ in range(round(OBSERVED_S / SAMPLE_PERIOD_S)):
            await asyncio.sleep(SAMPLE_PERIOD_S)
            numbers |= {len(instance.instances.live_ids()) for instance in pair}
        fleet.store.fault_handler = None
        return numbers, len(performed)


# Guards against look-ups that lose live instances, as their heartbeats are judged by
# when they were written.
@pytest.mark.parametrize("delay_s", [1.5, 3.0])
def test_live_instances_stay_live_while_all_writes_are_late(delay_s):
    numbers, writes = run_unloaded(watch_live_instances(delay_s))
    assert writes >= MIN_WRITES
    assert numbers == {2}
