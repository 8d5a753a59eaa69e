"""Tests with servers that answer before they have read a long request."""

import pytest
from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER
from support.entries import RunningEntry, make_configuration
from support.raw_servers import PART_OF_ANSWER, EarlyServer

UPLOAD = bytes(2 << 20)


# Without a length, no answer is passed on: its stream cannot be taken back.
@pytest.mark.parametrize("reads_on", [False, True])
@pytest.mark.parametrize("pause_s", [0.0, 0.002, 0.05])
async def test_early_answer_without_a_length_is_not_passed_on(pause_s, reads_on):
    server = EarlyServer(pause_s, reads_on=reads_on, id_header=ATTEMPT_HEADER)
    async with (
        server.running(),
        RunningEntry(make_configuration([server.address])) as entry,
    ):
        status, outcome, text = await entry.request("POST", "/book/1", data=UPLOAD)
    assert (status, outcome) == (502, "unknown")
    assert PART_OF_ANSWER[:4].decode() not in text
    assert server.requests == 1
