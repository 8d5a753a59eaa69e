"""Tests with servers that answer before they have read a long request."""

import pytest
from support.raw_servers import PART_OF_ANSWER, EarlyServer, fleet_with_server
from support.running_fleet import wait_until
from support.users_platform import config_body

UPLOAD = bytes(2 << 20)
ID_HEADER = "X-Rhubarbwell-Request-Id"


async def upload_to(server):
    """Upload to a server; return the status, the stamp and the body of the answer."""
    cfg = config_body(2)
    limits = next(r for r in cfg["resources"] if r["resourceKind"] == "limits")
    limits["spec"]["maxBodyBytes"] = 2 * len(UPLOAD)
    async with fleet_with_server(server) as fleet:
        await fleet.store.write("op", "config", cfg)
        await wait_until(lambda: fleet.instance.balancer.config.version == 2)
        resp, body = await fleet.send_request("/pay/x", "POST", UPLOAD)
        return resp.status, resp.headers.get("X-Rhubarbwell-Server-Stamp"), body


@pytest.mark.parametrize("pause_s", [0.0, 0.002, 0.05])
async def test_early_answer_that_is_reset_amid_the_upload_is_not_delivered(pause_s):
    server = EarlyServer(pause_s, id_header=ID_HEADER)
    status, stamp, body = await upload_to(server)
    assert (status, stamp) == (502, None)
    assert PART_OF_ANSWER[:4] not in body
    assert server.requests == 1


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_early_answer_of_a_server_that_reads_on_is_delivered(pause_s):
    server = EarlyServer(pause_s, reads_on=True, id_header=ID_HEADER)
    assert await upload_to(server) == (200, "s", PART_OF_ANSWER)
    assert server.requests == 1
