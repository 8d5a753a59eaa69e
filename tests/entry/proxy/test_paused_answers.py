"""Tests of connections whose answers waited for memory."""

import asyncio

from rhubarbwell_entry.memory import AnswerLease, MemoryPart, RequestMemory
from rhubarbwell_entry.proxy.headers import ATTEMPT_HEADER
from rhubarbwell_entry.proxy.protocols import AnswerProtocol, ExpectedAnswer

MIB = 1 << 20
# More chunks than aiohttp parses at once, so that its parser holds some of them back.
CHUNKS = 20_000
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER = HEAD + b"1\r\na\r\n" * CHUNKS + b"0\r\n\r\n"


class Transport(asyncio.Transport):
    is_reading = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True


async def read_whole(protocol):
    _, payload = await protocol.read()
    body = bytearray()
    while block := await payload.readany():
        body += block
    return body


# Guards against a kept connection that is never read again: its last answer had waited
# for memory when the parser already held all of it.
async def test_connection_is_read_after_an_answer_that_waited_for_memory():
    memory = RequestMemory(2 * MIB)
    memory.take(MemoryPart.BODIES, 1_800_000)
    lease = AnswerLease(memory)
    protocol, transport = AnswerProtocol(asyncio.get_running_loop()), Transport()
    protocol.connection_made(transport)
    protocol.expect_answer(ExpectedAnswer(ATTEMPT_HEADER, "1", MIB, lease))
    protocol.set_response_params()
    protocol.data_received(ANSWER)
    assert lease.is_waiting
    assert not transport.is_reading
    assert len(await read_whole(protocol)) == CHUNKS
    protocol.mark_idle()
    assert not protocol.should_close
    assert transport.is_reading
    assert not lease.is_waiting
    assert memory.waiting == 0
