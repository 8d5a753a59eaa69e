"""Tests of what the logs tell of requests that end without an answer."""

import asyncio
import logging
import time

import pytest
import uvloop
from aiohttp import web
from rhubarbwell_entry.direct.shutdown import DirectShutdown
from support.late_loops import KeptConnection, Stall
from support.running_fleet import raw_request, running_fleet, wait_until
from support.unloaded_loops import run_unloaded

HELD_REQUEST = (
    "GET /read/x HTTP/1.1\r\nHost: h.example\r\n"
    "X-Rhubarbwell-Request-Id: held\r\nX-Rhubarbwell-Request-Deadline: 60000\r\n\r\n"
)


# A whole head reaches the parser in one piece.
MARK = b"mark\r\n\r\n"


def ends_of_requests(caplog):
    """Return the log records of the ends of requests."""
    return [
        record
        for record in caplog.records
        if getattr(record, "event", "") == "request_ended"
    ]


async def end_of_held_request(caplog, end):
    """Return the event and the outcome that the logs name after `end` has run."""
    caplog.set_level(logging.INFO)
    # The instance stops before the route's timeout of 1 s.
    async with running_fleet(1, stop_max_ms=500) as fleet:
        release = asyncio.Event()

        async def hold(request):
            await release.wait()
            return fleet.backends[0].signed_response(request)

        fleet.backends[0].custom_handler = hold
        _, writer = await raw_request(fleet, HELD_REQUEST)
        await wait_until(lambda: fleet.backends[0].received)
        await end(fleet.instance, writer)

        await wait_until(lambda: ends_of_requests(caplog))
        release.set()
        writer.close()
    events = {getattr(record, "event", "") for record in caplog.records}
    outcomes = [record.outcome for record in ends_of_requests(caplog)]
    return outcomes, "request_cut_off" in events


async def test_request_whose_caller_leaves_is_told_from_one_that_is_cut_off(caplog):
    async def leave(_, writer):
        writer.close()

    assert await end_of_held_request(caplog, leave) == (["caller_gone"], False)


def test_request_that_a_stop_cuts_off_is_logged_as_such(caplog):
    async def stop(instance, _):
        await DirectShutdown(instance).run()
        await instance.stop()

    end = run_unloaded(end_of_held_request(caplog, stop))
    assert end == (["cut_off"], True)


async def leave_unread_request(caplog, stall_s):
    """Send a request and leave while the event loop is held up for stall_s seconds.

    Return the log record of its end and the time in ms since it was sent.
    """
    caplog.set_level(logging.INFO)
    async with running_fleet(1) as fleet:
        conn = KeptConnection(fleet.instance.settings.callers)
        await asyncio.sleep(0.05)
        sent_s = time.monotonic()

        def send_and_leave():
            nonlocal sent_s
            sent_s = time.monotonic()
            conn.send(HELD_REQUEST.encode())
            conn.close()

        Stall().start(stall_s, send_and_leave)
        await wait_until(lambda: ends_of_requests(caplog))
        since_ms = 1_000 * (time.monotonic() - sent_s)
    [end] = ends_of_requests(caplog)
    return end, since_ms


# A log told neither the time that a caller gave nor how soon after it was read its
# connection ended, so an unread request that was given up looked like a fault.
def test_caller_that_leaves_before_its_request_is_read_is_told_from_others(caplog):
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        end, since_ms = runner.run(leave_unread_request(caplog, 0.3))
    assert end.outcome == "caller_gone"
    assert end.deadline_ms == 60_000
    # The request lay unread for 300 ms; the loop's clock counts whole milliseconds.
    assert end.lost_after_ms <= since_ms - 300 + 5
    assert end.connection_error is None


async def test_time_until_a_connection_ends_counts_from_the_first_bytes(caplog):
    caplog.set_level(logging.INFO)
    async with running_fleet(1) as fleet:
        loop = asyncio.get_running_loop()
        release = asyncio.Event()

        async def hold(request):
            await release.wait()
            return fleet.backends[0].signed_response(request)

        _, writer = await raw_request(fleet, HELD_REQUEST.replace("held", "first"))
        await wait_until(lambda: ends_of_requests(caplog))
        [conn] = fleet.instance.callers.connections
        first_s = conn.request_began_s
        fleet.backends[0].custom_handler = hold
        sent_s = loop.time()
        writer.write(HELD_REQUEST[:40].encode())
        await wait_until(lambda: conn.request_began_s != first_s)
        await asyncio.sleep(0.2)
        writer.write(HELD_REQUEST[40:].encode())
        await wait_until(lambda: len(fleet.backends[0].received) > 1)
        writer.close()
        await wait_until(lambda: len(ends_of_requests(caplog)) > 1)
        most_ms = 1_000 * (loop.time() - sent_s)
        release.set()
    end = ends_of_requests(caplog)[-1]
    assert end.outcome == "caller_gone"
    assert 200 <= end.lost_after_ms <= most_ms + 1


# Such an end was logged like that of a caller that left.
@pytest.mark.parametrize("loop_factory", [None, uvloop.new_event_loop])
def test_connection_that_an_exception_of_its_protocol_ends_names_it(
    loop_factory, caplog, monkeypatch
):
    receive = web.RequestHandler.data_received

    def raise_at_mark(conn, data):
        if data == MARK:
            raise ValueError("marked")
        receive(conn, data)

    async def send_mark(_, writer):
        writer.write(MARK)

    monkeypatch.setattr(web.RequestHandler, "data_received", raise_at_mark)
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(end_of_held_request(caplog, send_mark))
    [end] = ends_of_requests(caplog)
    assert end.connection_error == "ValueError('marked')"
