"""Tests of what the logs tell of requests that end without an answer."""

import asyncio
import logging

from rhubarbwell_entry.direct.shutdown import DirectShutdown
from support.running_fleet import raw_request, running_fleet, wait_until

HELD_REQUEST = (
    "GET /read/x HTTP/1.1\r\nHost: h.example\r\n"
    "X-Rhubarbwell-Request-Id: held\r\nX-Rhubarbwell-Request-Deadline: 60000\r\n\r\n"
)


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

        def outcomes():
            return [
                record.outcome
                for record in caplog.records
                if getattr(record, "event", "") == "request_ended"
            ]

        await wait_until(outcomes)
        release.set()
        writer.close()
    events = {getattr(record, "event", "") for record in caplog.records}
    return outcomes(), "request_cut_off" in events


async def test_request_whose_caller_leaves_is_told_from_one_that_is_cut_off(caplog):
    async def leave(_, writer):
        writer.close()

    assert await end_of_held_request(caplog, leave) == (["caller_gone"], False)


async def test_request_that_a_stop_cuts_off_is_logged_as_such(caplog):
    async def stop(instance, _):
        await DirectShutdown(instance).run()
        await instance.stop()

    assert await end_of_held_request(caplog, stop) == (["cut_off"], True)
