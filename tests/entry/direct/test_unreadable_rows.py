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


# Callers got 500, and the attempt counted as one that may have run.
@pytest.mark.parametrize(
    "host",
    ["..", "a..b", "[", "[::", "x" * 300, "-", "999.1.1.1", "no-such-host.invalid"],
)
async def test_server_whose_host_cannot_be_connected_to_counts_as_not_sent(host):
    async with running_fleet(2) as fleet:
        rows = fleet.instance.balancer.backends.rows
        entry = fleet.backends[0].registry_entry(address=f"{host}:80")
        await fleet.store.write("servers", "b-0", entry)
        await wait_until(lambda: rows.get("b-0").entry.address.host == host)
        for number in range(8):
            resp, _ = await fleet.send_request(
                "/pay/x", "POST", Cookie=f"X-Rhubarbwell-Affinity-Key={number}"
            )
            assert resp.status == 200
        assert len(fleet.backends[1].received) == 8
