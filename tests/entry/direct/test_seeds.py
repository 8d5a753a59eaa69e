"""Tests of an instance that takes its first tables from a seed instance."""

import asyncio

from aiohttp import web
from rhubarbwell_core.model import Address
from rhubarbwell_entry.direct.changes import ChangesClient
from support.loopback import LOOPBACK
from support.running_fleet import (
    free_ports,
    running_fleet,
    second_instance,
    wait_until,
)


async def respond_unavailable(request):
    return web.Response(status=503)


def table_listings(fleet):
    return fleet.store.calls.count("rows-get")


async def test_starting_instance_does_not_list_the_store():
    async with running_fleet() as fleet:
        seeds = (fleet.instance.settings.control,)
        listings = table_listings(fleet)
        async with second_instance(fleet, seeds=seeds) as other:
            await wait_until(lambda: other.is_ready)
            assert len(other.balancer.backends.rows) == len(fleet.backends)
            assert other._upstream.reader == "i-1"
            assert table_listings(fleet) == listings


async def test_instance_that_starts_while_the_store_is_out_gets_a_configuration():
    async with running_fleet() as fleet:
        fleet.store.fault_handler = respond_unavailable
        await wait_until(lambda: fleet.instance._health.is_out)
        seeds = (fleet.instance.settings.control,)
        async with second_instance(fleet, seeds=seeds) as other:
            await wait_until(lambda: other.is_ready)
            assert len(other.balancer.backends.rows) == len(fleet.backends)


async def test_store_is_read_if_no_seed_answers():
    async with running_fleet() as fleet:
        seeds = tuple(Address(LOOPBACK, port) for port in free_ports(2))
        async with second_instance(fleet, seeds=seeds) as other:
            await wait_until(lambda: other.is_ready)


async def test_store_is_read_while_calls_to_seeds_get_no_response(monkeypatch):
    """Packets to a machine without power are lost, so a call to it hangs."""
    hangs = asyncio.Event()

    async def hang(*args):
        hangs.set()
        await asyncio.Event().wait()

    monkeypatch.setattr(ChangesClient, "fetch", hang)
    async with running_fleet() as fleet:
        seeds = tuple(Address(LOOPBACK, port) for port in free_ports(2))
        async with second_instance(fleet, seeds=seeds) as other:
            await wait_until(hangs.is_set)
            await wait_until(lambda: other.is_ready)


async def test_server_that_has_left_is_not_taken_from_a_seed_that_is_cut_off():
    async with running_fleet() as fleet:
        instance = fleet.instance

        fleet.store.fault_handler = respond_unavailable
        await wait_until(lambda: instance._health.is_out)
        table = fleet.instance.platform.names.backend_table
        stale_ms = instance.settings.drain_ms
        await wait_until(
            lambda: (
                instance.clock_ms() - instance.state.synced_until_ms[table] > stale_ms
            )
        )
        await fleet.store.write("servers", "b-0", None)
        seen = []
        async with second_instance(fleet, seeds=(instance.settings.control,)) as other:
            backends = other.balancer.backends
            put = backends.put

            def record_put(entry, now_ms):
                seen.append(entry.backend_id)
                put(entry, now_ms)

            backends.put = record_put
            fleet.store.fault_handler = None
            await wait_until(lambda: other.is_ready and "b-1" in backends.rows)
        assert "b-0" not in seen
