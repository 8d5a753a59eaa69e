"""Test that live instances stay in look-ups while the store is slow."""

import asyncio
from contextlib import AsyncExitStack
from random import Random

import pytest
from support.running_fleet import running_fleet, second_instance, wait_until
from support.unloaded_loops import run_unloaded

OBSERVED_S = 20.0
SAMPLE_PERIOD_S = 0.1
# Heartbeats of a reader in this time.
MIN_WRITES = 6


async def watch_live_instances(delay_s, instances):
    """Return how many instances each one counts as live, and the late writes."""
    async with running_fleet() as fleet, AsyncExitStack() as stack:
        fleet_instances = [fleet.instance]
        for number in range(2, instances + 1):
            other = second_instance(fleet, instance_id=f"i-{number}")
            fleet_instances.append(await stack.enter_async_context(other))
        others = instances - 1
        await wait_until(
            lambda: all(len(i.instances.live()) == others for i in fleet_instances)
        )
        # A reader is chosen, and lists its followers.
        await asyncio.sleep(6.0)
        performed = []

        async def write_late(request):
            if not request.path.endswith(("rows-get", "rows-feed")):
                await request.read()
                await asyncio.sleep(delay_s())
                performed.append(request.path)

        fleet.store.fault_handler = write_late
        numbers = set()
        for _ in range(round(OBSERVED_S / SAMPLE_PERIOD_S)):
            await asyncio.sleep(SAMPLE_PERIOD_S)
            live = (len(i.instances.live_ids()) for i in fleet_instances)
            numbers.update(live)
        fleet.store.fault_handler = None
        return numbers, len(performed)


# Guards against look-ups that lose live instances because the store is late.
@pytest.mark.parametrize("delay_s", [1.0, 1.5, 3.0, 6.0])
def test_live_instances_stay_live_while_all_writes_are_late(delay_s):
    numbers, writes = run_unloaded(watch_live_instances(lambda: delay_s, 3))
    assert writes >= MIN_WRITES
    assert numbers == {3}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_live_instances_stay_live_while_writes_are_late_at_random(seed):
    rng = Random(seed)
    delays = watch_live_instances(lambda: rng.uniform(1.0, 6.0), 4)
    numbers, writes = run_unloaded(delays)
    assert writes >= MIN_WRITES
    assert numbers == {4}
