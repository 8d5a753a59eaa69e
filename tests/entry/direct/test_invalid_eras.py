"""Tests that answers of the store under an era that cannot be change nothing."""

import asyncio

import pytest
from support.running_fleet import running_fleet, wait_until
from support.users_platform import config_body

# Several polls of each table.
OBSERVED_S = 1.5


def listed_ids(instance):
    return {s.entry.backend_id for s in instance.balancer.backends.available("svc")}


@pytest.mark.parametrize("era", [0, -1, "x"])
async def test_invalid_era_is_an_outage_in_which_nothing_changes(era, caplog):
    async with running_fleet(2) as fleet:
        instance, store = fleet.instance, fleet.store
        await wait_until(lambda: listed_ids(instance) == {"b-0", "b-1"})
        store.era = era
        await wait_until(lambda: instance._health.is_out)
        await store.write("op", "config", config_body(2))
        await store.write("servers", "b-0", None)
        await asyncio.sleep(OBSERVED_S)
        assert instance.balancer.config.version == 1
        assert listed_ids(instance) == {"b-0", "b-1"}
        resp, _ = await fleet.send_request()
        assert resp.status == 200
        assert instance.is_ready
        store.era = 1
        await wait_until(lambda: instance.balancer.config.version == 2)
        await wait_until(lambda: listed_ids(instance) == {"b-1"})
    events = [getattr(r, "event", "") for r in caplog.records]
    assert events.count("store_era_refused") == 1
    assert "store_era_changed" not in events
