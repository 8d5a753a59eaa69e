"""Two instances follow a store that comes back from a copy."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from support.running_fleet import running_fleet, second_instance, wait_until
from support.users_platform import config_body

AWAY_S = 0.3
# The store has had this time before a drill, and each copy is of some time in it.
LEAD_S = 1.5
AGES_S = (0.5, 1.2, 10.0)


@asynccontextmanager
async def drilled_fleet(age_s, **options):
    """Run two instances through changes and a drill; yield them and the fleet."""
    async with running_fleet(4) as fleet, second_instance(fleet) as other:
        instances = (fleet.instance, other)
        await wait_until(lambda: all(i.is_ready for i in instances))
        await asyncio.sleep(LEAD_S)
        for version in (2, 3):
            await fleet.store.write("op", "config", config_body(version))
        await fleet.store.write("servers", "b-0", None)
        await wait_until(lambda: all(in_force(i) == 3 for i in instances))
        await wait_until(lambda: not any(is_offered(i, "b-0") for i in instances))
        await fleet.store.restore(age_s, AWAY_S, **options)
        yield fleet, instances


def in_force(instance):
    return instance.balancer.config.version


def is_offered(instance, backend_id):
    """Return True if an instance counts a server among those that are registered."""
    row = instance.balancer.backends.rows.get(backend_id)
    return row is not None and row.removal_due_ms is None


@pytest.mark.parametrize("age_s", AGES_S)
async def test_configuration_after_a_drill_is_in_force(age_s):
    async with drilled_fleet(age_s) as (fleet, instances):
        await fleet.store.write("op", "config", config_body(4))
        await wait_until(lambda: all(in_force(i) == 4 for i in instances))


@pytest.mark.parametrize("age_s", AGES_S)
async def test_servers_that_leave_and_come_after_a_drill_are_known(age_s):
    async with drilled_fleet(age_s) as (fleet, instances):
        await fleet.store.write("servers", "b-1", None)
        entry = fleet.backends[1].registry_entry()
        await fleet.store.write("servers", "b-9", entry)
        await wait_until(lambda: all(is_offered(i, "b-9") for i in instances))
        await wait_until(lambda: not any(is_offered(i, "b-1") for i in instances))


@pytest.mark.parametrize("age_s", AGES_S)
async def test_registrations_are_written_again(age_s):
    async with drilled_fleet(age_s) as (fleet, instances):
        names = [instance.settings.instance_id for instance in instances]
        await wait_until(
            lambda: all(fleet.store.value("instances", name) for name in names)
        )


async def test_configuration_of_a_copy_does_not_act_until_it_is_written_again():
    async with drilled_fleet(1.0, max_rewrite_s=1.0) as (fleet, instances):
        versions = set()
        async with asyncio.timeout(2.0 * LEAD_S):
            while fleet.store.value("op", "config")["version"] != 3:
                versions |= set(map(in_force, instances))
                await asyncio.sleep(0.01)
        assert versions <= {3}


async def test_two_drills_within_a_second_leave_nothing_behind():
    async with drilled_fleet(1.0) as (fleet, instances):
        await fleet.store.restore(3.0, AWAY_S)
        await fleet.store.write("op", "config", config_body(4))
        await wait_until(lambda: all(in_force(i) == 4 for i in instances))
