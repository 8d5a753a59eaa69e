"""HTTP tests of an entry instance with a simulated store and backend servers."""

import asyncio
import socket
import struct

import aiohttp
import pytest
from aiohttp import web
from rhubarbwell_entry.direct.registrations import decode_instance, encode_instance
from rhubarbwell_entry.direct.shutdown import DirectShutdown
from support.running_fleet import (
    WAIT_S,
    raw_request,
    running_fleet,
    second_instance,
    wait_until,
)
from support.users_platform import config_body

HANG_S = 3.0


async def test_request_reaches_a_server_unchanged_and_its_answer_returns():
    async with running_fleet() as fleet:
        resp, body = await fleet.send_request("/pay/a%2Fb?q=%20", "POST", b"body")
        assert (resp.status, body) == (200, b"echo:body")
        assert resp.headers["X-Rhubarbwell-Server-Stamp"] == "3e1b.07"
        ((method, path, headers, sent),) = [
            seen for server in fleet.backends for seen in server.received
        ]
        assert (method, path, sent) == ("POST", "/pay/a%2Fb?q=%20", b"body")
        assert headers["X-Rhubarbwell-Request-Id"] == "req-1"
        assert headers["Host"] == "h.example"
        assert int(headers["X-Rhubarbwell-Request-Deadline"]) <= 1_000
        assert headers["X-Rhubarbwell-Expect-Instance"] in ("b-0", "b-1")


async def test_unknown_route_is_404_and_no_configuration_503():
    async with running_fleet() as fleet:
        resp, _ = await fleet.send_request("/other/")
        assert resp.status == 404
    async with running_fleet(config=False) as fleet:
        resp, _ = await fleet.send_request()
        assert resp.status == 503
        assert float(resp.headers["Retry-After"]) > 0


@pytest.mark.parametrize(("uptime_ms", "retry_s"), [(0, 1.0), (400, 0.6), (9_000, 0.2)])
async def test_callers_of_a_starting_instance_return_once_it_is_configured(
    uptime_ms, retry_s
):
    """Callers retry once: after the end of all instances none is ready earlier."""
    async with running_fleet(config=False) as fleet:
        handler = fleet.instance.handler
        # The time counts from when the head was read, up to some ms before.
        handler._arrived_ms = lambda _: handler._started_ms + uptime_ms
        resp, _ = await fleet.send_request()
        assert resp.status == 503
        assert float(resp.headers["Retry-After"]) == retry_s


async def test_look_up_and_readiness():
    async with running_fleet() as fleet:
        cfg = fleet.instance.settings
        status, _ = await fleet.fetch_text(cfg.readiness, "/rhubarbwell/readiness")
        assert status == 200
        query = "/rhubarbwell/resolve?name=h.example&region=a&zone=a-1"
        status, text = await fleet.fetch_text(cfg.directory, query)
        assert status == 200
        assert f'"{cfg.callers.host}:{cfg.callers.port}"' in text
        assert '"ttl": "1000ms"' in text


async def test_refused_unsafe_request_is_retried_at_another_server():
    async with running_fleet() as fleet:

        async def refuse_unexecuted(request):
            return web.Response(
                status=503,
                headers={
                    "X-Rhubarbwell-Not-Executed": "1",
                    "X-Rhubarbwell-Request-Id": request.headers[
                        "X-Rhubarbwell-Request-Id"
                    ],
                },
            )

        fleet.backends[0].custom_handler = refuse_unexecuted
        for _ in range(4):
            resp, _ = await fleet.send_request("/pay/x", "POST", b"1")
            assert resp.status == 200


async def answer_another_request(request):
    return web.Response(
        body=b"another's",
        headers={
            "X-Rhubarbwell-Request-Id": "someone-else",
            "X-Rhubarbwell-Server-Stamp": "s",
        },
    )


async def answer_without_stamp(request):
    request_id = request.headers["X-Rhubarbwell-Request-Id"]
    return web.Response(body=b"x", headers={"X-Rhubarbwell-Request-Id": request_id})


async def answer_with_content_encoding(request):
    request_id = request.headers["X-Rhubarbwell-Request-Id"]
    headers = {
        "X-Rhubarbwell-Request-Id": request_id,
        "X-Rhubarbwell-Server-Stamp": "s",
        "Content-Encoding": "gzip",
    }
    return web.Response(body=b"x", headers=headers)


async def cut_answer_short(request):
    request_id = request.headers["X-Rhubarbwell-Request-Id"]
    head = (
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
        f"X-Rhubarbwell-Request-Id: {request_id}\r\n"
        "X-Rhubarbwell-Server-Stamp: s\r\n\r\nhalf"
    )
    request.transport.write(head.encode())
    request.transport.close()
    return web.Response()


async def reset_without_length(request):
    request_id = request.headers["X-Rhubarbwell-Request-Id"]
    head = (
        f"HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: {request_id}\r\n"
        "X-Rhubarbwell-Server-Stamp: s\r\n\r\nhalf"
    )
    request.transport.write(head.encode())
    await asyncio.sleep(0.05)
    linger = struct.pack("ii", 1, 0)
    sock = request.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    request.transport.abort()
    return web.Response()


async def close_without_answer(request):
    request.transport.abort()
    return web.Response()


@pytest.mark.parametrize(
    "behave",
    [
        answer_another_request,
        answer_without_stamp,
        answer_with_content_encoding,
        cut_answer_short,
        reset_without_length,
        close_without_answer,
    ],
    ids=lambda f: f.__name__,
)
async def test_invalid_answer_is_unknown_and_request_is_sent_once(behave):
    async with running_fleet() as fleet:
        for server in fleet.backends:
            server.custom_handler = behave
        resp, _ = await fleet.send_request("/pay/x", "POST", b"1")
        assert resp.status == 502
        assert "X-Rhubarbwell-Server-Stamp" not in resp.headers
        assert sum(len(server.received) for server in fleet.backends) == 1


async def test_safe_request_is_retried_after_a_broken_answer():
    async with running_fleet() as fleet:
        fleet.backends[0].custom_handler = cut_answer_short
        for _ in range(6):
            resp, _ = await fleet.send_request()
            assert resp.status == 200


async def test_complete_answer_without_a_length_is_delivered():
    async with running_fleet(1) as fleet:

        async def answer_without_length(request):
            request_id = request.headers["X-Rhubarbwell-Request-Id"]
            head = (
                f"HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: {request_id}\r\n"
                "X-Rhubarbwell-Server-Stamp: s\r\n\r\nwhole"
            )
            request.transport.write(head.encode())
            request.transport.close()
            return web.Response()

        fleet.backends[0].custom_handler = answer_without_length
        resp, body = await fleet.send_request("/pay/x", "POST", b"1")
        assert (resp.status, body) == (200, b"whole")


async def test_route_timeout_ends_a_request():
    async with running_fleet(1) as fleet:

        async def hang(request):
            await asyncio.sleep(HANG_S)
            return web.Response()

        fleet.backends[0].custom_handler = hang
        resp, _ = await fleet.send_request()
        assert resp.status == 504


async def test_server_error_is_forwarded_unchanged():
    async with running_fleet(1) as fleet:

        async def fail(request):
            return fleet.backends[0].signed_response(request, status=500, body=b"sorry")

        fleet.backends[0].custom_handler = fail
        resp, body = await fleet.send_request("/pay/x", "POST", b"1")
        assert (resp.status, body) == (500, b"sorry")
        assert "X-Rhubarbwell-Server-Stamp" in resp.headers


async def test_draining_server_receives_no_requests():
    async with running_fleet() as fleet:
        draining_server = fleet.backends[0]
        await fleet.store.write(
            "servers", "b-0", draining_server.registry_entry(state="draining")
        )
        table = fleet.instance.balancer.backends
        await wait_until(lambda: table.rows["b-0"].entry.draining)
        draining_server.received.clear()
        for number in range(8):
            cookie = f"X-Rhubarbwell-Affinity-Key={number}"
            resp, _ = await fleet.send_request(Cookie=cookie)
            assert resp.status == 200
        assert draining_server.received == []


async def test_unreadable_row_does_not_affect_other_servers():
    async with running_fleet() as fleet:
        await fleet.store.write("servers", "b-9", b"\xff")
        await fleet.store.write("servers", "b-1", {"state": "asleep"})
        table = fleet.instance.balancer.backends
        await wait_until(lambda: "b-1" not in table.rows)
        resp, _ = await fleet.send_request()
        assert resp.status == 200


async def test_older_configuration_version_is_ignored():
    async with running_fleet() as fleet:
        balancer = fleet.instance.balancer
        await fleet.store.write("op", "config", config_body(5, timeout="500ms"))
        await wait_until(lambda: balancer.config.version == 5)
        await fleet.store.write("op", "config", config_body(4))
        await fleet.store.write("op", "evacuate/a-2", {})
        await wait_until(lambda: "a-2" in balancer.backends.evacuated_zones)
        assert balancer.config.version == 5


async def test_table_is_listed_again_after_history_is_lost():
    async with running_fleet() as fleet:
        fleet.store.oldest_feed_version = fleet.store.version + 10
        fleet.store.version += 20
        await fleet.store.write("op", "config", config_body(9))
        await wait_until(lambda: fleet.instance.balancer.config.version == 9)


async def test_table_is_listed_again_after_410_without_a_body():
    async with running_fleet() as fleet:

        async def respond_gone(request):
            is_changes_call = request.path.endswith("rows-feed")
            return web.Response(status=410) if is_changes_call else None

        fleet.store.fault_handler = respond_gone
        await fleet.store.write("op", "config", config_body(9))
        await fleet.store.write("op", "config", config_body(10))
        await wait_until(lambda: fleet.instance.balancer.config.version == 10)


async def test_requests_are_served_while_the_store_is_out():
    async with running_fleet() as fleet:

        async def respond_unavailable(request):
            return web.Response(status=503)

        fleet.store.fault_handler = respond_unavailable
        await wait_until(lambda: fleet.instance._health.is_out)
        resp, _ = await fleet.send_request()
        assert resp.status == 200
        fleet.store.fault_handler = None
        await wait_until(lambda: not fleet.instance._health.is_out)


async def test_stop_finishes_open_requests_and_marks_the_row_leaving():
    async with running_fleet(1) as fleet:
        release = asyncio.Event()

        async def slow(request):
            await release.wait()
            return fleet.backends[0].signed_response(request)

        fleet.backends[0].custom_handler = slow
        request_task = asyncio.create_task(fleet.send_request())
        await wait_until(lambda: fleet.backends[0].received)
        stopping = asyncio.create_task(DirectShutdown(fleet.instance).run())
        await wait_until(lambda: fleet.instance.leaving)
        release.set()
        resp, _ = await request_task
        assert resp.status == 200
        assert resp.headers["Connection"] == "close"
        await stopping
        _, row = fleet.store.rows["instances", "i-1"]
        assert decode_instance("i-1", row).leaving


async def test_caller_disconnect_frees_its_server():
    async with running_fleet(1) as fleet:
        handler_ended = asyncio.Event()

        async def hang(request):
            try:
                await asyncio.sleep(HANG_S)
            finally:
                handler_ended.set()
            return web.Response()

        fleet.backends[0].custom_handler = hang
        request_task = asyncio.create_task(fleet.send_request())
        await wait_until(lambda: fleet.backends[0].received)
        request_task.cancel()
        state = fleet.instance.balancer.backends.rows["b-0"]
        await wait_until(lambda: state.in_flight == 0)


async def test_metrics_count_requests_and_attempts():
    async with running_fleet() as fleet:
        await fleet.send_request()
        _, text = await fleet.fetch_text(fleet.instance.settings.metrics, "/metrics")
        assert "rhubarbwell_requests" in text
        assert "rhubarbwell_attempt_duration" in text
        assert 'outcome="answered"' in text


async def test_refusals_are_counted_by_reason():
    """Guard against operators who cannot tell which rule refuses requests."""
    async with running_fleet() as fleet:
        balancer = fleet.instance.balancer
        for backend_id in list(balancer.backends.rows):
            balancer.backends.rows[backend_id].in_flight = 1_000
        resp, _ = await fleet.send_request()
        assert resp.status == 503
        _, text = await fleet.fetch_text(fleet.instance.settings.metrics, "/metrics")
        lines = [x for x in text.splitlines() if "rhubarbwell_refusals_total{" in x]
        assert len(lines) == 1
        assert 'reason="no_room"' in lines[0]


async def test_refusal_under_overload_is_logged_with_its_inputs(caplog):
    """Guard against refusals whose rule and inputs an operator cannot see."""
    async with running_fleet(sheds_load=True) as fleet:
        for state in fleet.instance.balancer.backends.rows.rows():
            state.in_flight = 100
        with caplog.at_level("INFO"):
            resp, _ = await fleet.send_request()
        assert resp.status == 503
        # Callers wait for at most a third of their 2 s.
        assert 0.05 <= float(resp.headers["Retry-After"]) <= 0.667
    fields = [vars(r) for r in caplog.records if "request_refused" in str(vars(r))]
    assert len(fields) == 1
    assert "too_late" in str(fields[0])
    assert "queue_ms" in str(fields[0])
    assert "admitted_share" in str(fields[0])


def reader_of(instance):
    return instance._upstream.reader


def version_of(instance):
    config = instance.balancer.config
    return None if config is None else config.version


async def test_one_instance_reads_the_store_and_the_other_follows():
    async with running_fleet() as fleet, second_instance(fleet) as other:
        pair = [fleet.instance, other]
        await wait_until(lambda: sorted(map(str, map(reader_of, pair)))[1] == "None")
        await fleet.store.write("op", "config", config_body(9))
        for instance in pair:
            await wait_until(lambda i=instance: version_of(i) == 9)


async def test_follower_reads_the_store_once_its_reader_is_gone():
    async with running_fleet() as fleet, second_instance(fleet) as other:
        pair = [fleet.instance, other]
        await wait_until(lambda: any(reader_of(instance) for instance in pair))
        follower = next(i for i in pair if reader_of(i))
        (reader,) = (i for i in pair if i is not follower)
        await reader.stop()
        await fleet.store.write("op", "config", config_body(9))
        await wait_until(lambda: version_of(follower) == 9)


async def test_follower_gets_changes_while_its_reader_is_cut_off():
    async with running_fleet() as fleet, second_instance(fleet) as other:
        pair = [fleet.instance, other]
        await wait_until(lambda: any(reader_of(instance) for instance in pair))
        reader = next(i for i in pair if reader_of(i) is None)
        (follower,) = (i for i in pair if i is not reader)
        reader_session = reader._session

        async def refuse(*args, **kwargs):
            raise aiohttp.ClientConnectionError("cut")

        original, reader_session._request = reader_session._request, refuse
        await wait_until(lambda: reader._health.is_out)
        await fleet.store.write("op", "config", config_body(9))
        await wait_until(lambda: version_of(follower) == 9)
        reader_session._request = original
        await wait_until(lambda: version_of(reader) == 9)


async def test_reader_removes_rows_of_expired_instances():
    async with running_fleet() as fleet:
        instance = fleet.instance
        expired_entry = instance._own_entry._replace(instance_id="i-9", beat=1)
        await fleet.store.write("instances", "i-9", encode_instance(expired_entry))
        await wait_until(lambda: "i-9" in instance.instances.live_ids())
        instance.instances.mark_synced(instance.clock_ms() + 120_000)
        await instance.registrar.remove_expired()
        assert fleet.store.rows["instances", "i-9"][1] is None


async def test_stalled_body_is_refused_at_the_deadline_and_not_forwarded():
    async with running_fleet() as fleet:
        head = (
            "POST /pay/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 100\r\n"
            "X-Rhubarbwell-Request-Id: slow\r\n"
            "X-Rhubarbwell-Request-Deadline: 300\r\n\r\n"
        )
        reader, writer = await raw_request(fleet, head, b"half")
        line = await asyncio.wait_for(reader.readline(), WAIT_S)
        assert b" 408 " in line
        writer.close()
        await wait_until(lambda: fleet.instance.callers.open_requests == 0)
        assert [seen for server in fleet.backends for seen in server.received] == []


async def test_idle_timeout_follows_the_configured_limit():
    async with running_fleet() as fleet:
        assert fleet.instance._idle_timeout_s() == pytest.approx(1.25 * 15)
        body = config_body(2)
        for item in body["resources"]:
            if item["resourceKind"] == "limits":
                item["spec"]["idleTimeout"] = "200ms"
        await fleet.store.write("op", "config", body)
        await wait_until(lambda: fleet.instance.balancer.config.version == 2)
        head = "GET /read/x HTTP/1.1\r\nHost: h.example\r\n"
        head += "X-Rhubarbwell-Request-Id: r\r\n\r\n"
        reader, writer = await raw_request(fleet, head)
        assert b" 200 " in await asyncio.wait_for(reader.readline(), WAIT_S)
        await asyncio.wait_for(reader.read(), WAIT_S)
        writer.close()


async def test_stop_does_not_wait_for_a_part_that_hangs():
    async with running_fleet() as fleet:
        never = asyncio.Event()
        fleet.instance._sender.close = never.wait
        async with asyncio.timeout(WAIT_S):
            await fleet.instance.stop()
