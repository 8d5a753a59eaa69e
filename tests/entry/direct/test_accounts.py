"""Tests of requests that need the key of a client account."""

import asyncio
import base64
import json
import logging

import pytest
from aiohttp import web
from support.accounts import KEY, account, accounts_body
from support.running_fleet import (
    WAIT_S,
    raw_request,
    running_fleet,
    wait_until,
)
from support.users_platform import config_body

OPS = "op"
KEY_HEADER = "X-Api-Key"
NAME_HEADER = "X-Rhubarbwell-Tenant"


async def publish(fleet, body):
    """Write a configuration and wait until it is in force."""
    await fleet.store.write(OPS, "config", body)
    balancer = fleet.instance.balancer
    await wait_until(lambda: balancer.config.version == body["version"])


async def send_raw(fleet, *lines, method="GET", path="/read/x", body=b""):
    """Send a request with header lines; return the status."""
    head = "\r\n".join(
        [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            "X-Rhubarbwell-Request-Id: raw-1",
            "X-Rhubarbwell-Request-Deadline: 2000",
            *lines,
            "",
            "",
        ]
    )
    reader, writer = await raw_request(fleet, head, body)
    line = await asyncio.wait_for(reader.readuntil(b"\r\n"), WAIT_S)
    writer.close()
    return int(line.split(b" ")[1])


def received(fleet):
    return [entry for server in fleet.backends for entry in server.received]


def names_at_servers(fleet):
    """Return the account headers that servers got, with their names in lower case."""
    return [
        {k.lower(): v for k, v in headers.items() if "tenant" in k.lower()}
        for _, _, headers, _ in received(fleet)
    ]


async def test_request_with_a_key_is_forwarded_with_the_name_only(caplog):
    caplog.set_level(logging.DEBUG)
    async with running_fleet() as fleet:
        await publish(fleet, accounts_body(2, account()))
        resp, _ = await fleet.send_request(**{KEY_HEADER: f" {KEY}\t"})
        assert resp.status == 200
        ((_, _, headers, _),) = received(fleet)
        assert headers[NAME_HEADER] == "acme"
        assert KEY not in str(headers)
        (line,) = [
            r for r in caplog.records if getattr(r, "event", "") == "request_ended"
        ]
        assert line.account == "acme"
    assert KEY not in str([vars(record) for record in caplog.records])


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        ([], "no_key"),
        ([f"{KEY_HEADER}: "], "unknown_key"),
        ([f"{KEY_HEADER}: other"], "unknown_key"),
        ([f"{KEY_HEADER}: {KEY.lower()}"], "unknown_key"),
        ([f"{KEY_HEADER}: {KEY}x"], "unknown_key"),
        ([f"{KEY_HEADER}: {KEY},{KEY}"], "unknown_key"),
        ([f"{KEY_HEADER}: {KEY}", f"{KEY_HEADER}: {KEY}"], "several_keys"),
        ([f"{KEY_HEADER}: {KEY}", "x-API-key: other"], "several_keys"),
        ([f"{NAME_HEADER}: acme"], "no_key"),
    ],
)
async def test_request_without_a_known_key_is_not_forwarded(lines, reason, caplog):
    caplog.set_level(logging.DEBUG)
    async with running_fleet() as fleet:
        await publish(fleet, accounts_body(2, account()))
        assert await send_raw(fleet, *lines) == 401
        assert received(fleet) == []
    (line,) = [
        r for r in caplog.records if getattr(r, "event", "") == "request_refused"
    ]
    assert (line.reason, line.is_config_stale) == (reason, False)
    assert KEY not in str([vars(record) for record in caplog.records])


# Guards against bodies that are read, and held in memory, for requests without a key.
async def test_body_of_a_request_without_a_key_is_not_waited_for():
    async with running_fleet() as fleet:
        await publish(fleet, accounts_body(2, account()))
        size = "Content-Length: 100000"
        assert await send_raw(fleet, size, method="POST", path="/pay/x") == 401
        assert received(fleet) == []


@pytest.mark.parametrize(
    "forged",
    [
        [f"{NAME_HEADER}: root"],
        [f"{NAME_HEADER.lower()}: root", f"{NAME_HEADER.upper()}: root"],
        [f"{NAME_HEADER}: acme", f"{NAME_HEADER}: root", "x-rhubarbwell-TENANT: z"],
    ],
)
async def test_forged_account_headers_do_not_reach_a_server(forged):
    async with running_fleet() as fleet:
        await publish(fleet, accounts_body(2, account()))
        lines = [*forged, f"{KEY_HEADER.lower()}: {KEY}"]
        assert await send_raw(fleet, *lines) == 200
        assert names_at_servers(fleet) == [{NAME_HEADER.lower(): "acme"}]


async def test_public_route_needs_no_key_and_names_no_account():
    async with running_fleet() as fleet:
        await publish(fleet, accounts_body(2, account(), public=True))
        for lines in ([], [f"{KEY_HEADER}: {KEY}", f"{NAME_HEADER}: root"]):
            assert await send_raw(fleet, *lines) == 200
        assert names_at_servers(fleet) == [{}, {}]
        assert all(KEY_HEADER not in headers for _, _, headers, _ in received(fleet))


async def test_headers_pass_through_without_accounts():
    async with running_fleet() as fleet:
        headers = {KEY_HEADER: "k", NAME_HEADER: "n"}
        resp, _ = await fleet.send_request(**headers)
        assert resp.status == 200
        ((_, _, got, _),) = received(fleet)
        assert (got[KEY_HEADER], got[NAME_HEADER]) == ("k", "n")
        await publish(fleet, accounts_body(2, account()))
        assert (await fleet.send_request(**headers))[0].status == 401
        await publish(fleet, config_body(3))
        assert (await fleet.send_request(**headers))[0].status == 200


# Guards against requests without a key that are served because no entry is valid.
@pytest.mark.parametrize(
    "entry", [{"resourceKind": "tenants"}, account(keys=[]), account(name="")]
)
async def test_accounts_that_nobody_can_use_still_need_a_key(entry):
    async with running_fleet() as fleet:
        await publish(fleet, accounts_body(2, entry))
        for headers in ({}, {KEY_HEADER: KEY}, {KEY_HEADER: ""}):
            resp, _ = await fleet.send_request(**headers)
            assert resp.status == 401


async def test_key_of_two_accounts_is_refused_and_both_are_logged(caplog):
    caplog.set_level(logging.INFO)
    async with running_fleet() as fleet:
        entries = [account("a", [KEY, "k-a"]), account("b", [KEY])]
        await publish(fleet, accounts_body(2, *entries))
        assert (await fleet.send_request(**{KEY_HEADER: KEY}))[0].status == 401
        assert (await fleet.send_request(**{KEY_HEADER: "k-a"}))[0].status == 200
    (line,) = [
        r for r in caplog.records if getattr(r, "event", "") == "account_key_ambiguous"
    ]
    assert line.accounts == ["a", "b"]


async def test_without_a_configuration_the_answer_is_503():
    async with running_fleet(config=False) as fleet:
        for headers in ({}, {KEY_HEADER: KEY}):
            resp, _ = await fleet.send_request(**headers)
            assert resp.status == 503
            assert float(resp.headers["Retry-After"]) > 0


async def respond_unavailable(request):
    return web.Response(status=503)


# A key that the instance does not know may have been configured since.
async def test_unknown_key_gets_503_while_the_copy_is_stale():
    async with running_fleet(config_apply_ms=600) as fleet:
        await publish(fleet, accounts_body(2, account()))
        instance = fleet.instance
        fleet.store.fault_handler = respond_unavailable
        await wait_until(
            lambda: instance.state.config_age_ms(instance.clock_ms()) > 600
        )
        resp, _ = await fleet.send_request(**{KEY_HEADER: "new"})
        assert resp.status == 503
        assert 0.2 <= float(resp.headers["Retry-After"]) <= 0.6
        resp, _ = await fleet.send_request(**{KEY_HEADER: KEY})
        assert resp.status == 200
        fleet.store.fault_handler = None
        await wait_until(
            lambda: instance.state.config_age_ms(instance.clock_ms()) < 600
        )
        resp, _ = await fleet.send_request(**{KEY_HEADER: "new"})
        assert resp.status == 401


# Guards against a request that is served with a key that was revoked before its body
# had come.
@pytest.mark.parametrize("revoked", [account(keys=["k-2"]), account("other", ["o"])])
async def test_key_that_is_revoked_while_the_body_is_read_is_refused(revoked):
    async with running_fleet() as fleet:
        await publish(fleet, accounts_body(2, account()))
        head = (
            "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\n"
            "X-Rhubarbwell-Request-Id: r\r\nX-Rhubarbwell-Request-Deadline: 5000\r\n"
            f"{KEY_HEADER}: {KEY}\r\n\r\n"
        )
        reader, writer = await raw_request(fleet, head, b"ab")
        await wait_until(lambda: fleet.instance.callers.open_requests == 1)
        await publish(fleet, accounts_body(3, revoked))
        writer.write(b"cd")
        line = await asyncio.wait_for(reader.readuntil(b"\r\n"), WAIT_S)
        writer.close()
        assert line.split(b" ")[1] == b"401"
        assert received(fleet) == []


async def test_request_that_was_forwarded_before_its_key_was_revoked_is_answered():
    async with running_fleet(1) as fleet:
        await publish(fleet, accounts_body(2, account()))
        server = fleet.backends[0]
        may_answer = asyncio.Event()

        async def answer_later(request):
            await may_answer.wait()
            return server.signed_response(request)

        server.custom_handler = answer_later
        task = asyncio.create_task(fleet.send_request(**{KEY_HEADER: KEY}))
        await wait_until(lambda: server.received)
        await publish(fleet, accounts_body(3, account(keys=["k-2"])))
        may_answer.set()
        resp, _ = await task
        assert resp.status == 200


# A server that turned the request away got it, but a connection that failed did not.
async def test_key_that_is_revoked_between_failed_connections_is_refused(monkeypatch):
    async with running_fleet(2) as fleet:
        await publish(fleet, accounts_body(2, account()))
        for server in fleet.backends:
            await server.stop()
        send = fleet.instance._sender.send

        async def send_and_revoke(*args):
            outcome = await send(*args)
            await publish(fleet, accounts_body(3, account(keys=["k-2"])))
            return outcome

        monkeypatch.setattr(fleet.instance._sender, "send", send_and_revoke)
        resp, _ = await fleet.send_request(**{KEY_HEADER: KEY})
        assert resp.status == 401


async def test_keys_are_neither_kept_nor_passed_on_to_other_instances():
    async with running_fleet() as fleet:
        await publish(fleet, accounts_body(2, account()))
        row = fleet.instance.state.replicas[OPS].row("config")
        assert KEY.encode() not in row.value
        status, text = await fleet.fetch_text(
            fleet.instance.settings.control, "/changes?-first=1"
        )
        assert status == 200
        assert json.loads(text)["tables"][OPS]["rows"]
        (_, _, value), *_ = json.loads(text)["tables"][OPS]["rows"]
        assert KEY.encode() not in base64.b64decode(value)


# What the parser says of a malformed head quotes its bytes.
@pytest.mark.parametrize(
    "line",
    [f"{KEY_HEADER}: {KEY}\x01", f"X Api Key: {KEY}", f"{KEY_HEADER}\x00: {KEY}"],
)
async def test_key_in_a_malformed_head_is_not_logged(line, caplog):
    caplog.set_level(logging.DEBUG)
    async with running_fleet() as fleet:
        assert await send_raw(fleet, line) == 400
    text = str([vars(record) for record in caplog.records]) + caplog.text
    assert KEY not in text
    assert [r.event for r in caplog.records if "malformed" in getattr(r, "event", "")]


async def test_request_outside_its_home_regions_is_refused():
    async with running_fleet() as fleet:
        homes = {"homeRegions": ["b"]}
        await publish(fleet, accounts_body(2, account(**homes)))
        resp, _ = await fleet.send_request(**{KEY_HEADER: KEY})
        assert resp.status == 503
        assert received(fleet) == []
