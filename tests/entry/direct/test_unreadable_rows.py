"""Tests of rows in the store that another writer has put there."""

import json

import pytest
from support.running_fleet import running_fleet, wait_until

HUGE_SLOTS = {
    "service": "svc",
    "address": "127.0.0.1:9",
    "zone": "a-1",
    "slots": 10**400,
    "state": "ready",
}


# Instances kept sending to a server that had left, as an unreadable row ended the
# task that follows the servers' table.
@pytest.mark.parametrize("key", ["a-other", "z-other"])
@pytest.mark.parametrize("value", [b"[" * 2_000, json.dumps(HUGE_SLOTS).encode()])
async def test_server_that_leaves_is_noticed_beside_an_unreadable_row(key, value):
    async with running_fleet(2) as fleet:
        rows = fleet.instance.balancer.backends.rows
        await fleet.store.write("servers", key, value)
        await fleet.store.write("servers", "b-0", None)
        await wait_until(lambda: "b-0" not in rows)
        for _ in range(4):
            resp, _ = await fleet.send_request()
            assert resp.status == 200
        assert fleet.backends[0].received == []
