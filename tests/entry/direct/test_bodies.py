"""Test the reading of request bodies within the memory of the process."""

import asyncio
from random import Random

import pytest
from rhubarbwell_entry.direct import callers
from rhubarbwell_entry.memory import SMALL_BYTES, NoMemoryError, RequestMemory
from support.running_fleet import raw_request, running_fleet

MIB = 1 << 20
LIMIT = 40 * MIB
LARGE = 16 * MIB


async def test_large_bodies_wait_for_memory_in_order_of_arrival():
    memory = RequestMemory(LIMIT)
    granted = []

    async def hold(name, hold_s):
        await memory.reserve(LARGE, 5.0)
        granted.append(name)
        await asyncio.sleep(hold_s)
        memory.release(LARGE)

    async with asyncio.TaskGroup() as tasks:
        for name in range(6):
            tasks.create_task(hold(name, 0.02))
    assert granted == list(range(6))
    assert memory.used_bytes == 0


async def test_small_bodies_do_not_wait_for_large_ones():
    memory = RequestMemory(LIMIT)
    await memory.reserve(2 * LARGE, 1.0)
    waiting = asyncio.create_task(memory.reserve(LARGE, 1.0))
    await asyncio.sleep(0)
    async with asyncio.timeout(0.1):
        await memory.reserve(SMALL_BYTES, 0.0)
    assert not waiting.done()
    memory.release(2 * LARGE)
    await waiting


async def test_body_that_never_fits_is_refused_at_once():
    memory = RequestMemory(LIMIT)
    async with asyncio.timeout(0.1):
        with pytest.raises(NoMemoryError):
            await memory.reserve(LIMIT, 5.0)


async def test_wait_that_ends_leaves_the_memory_to_the_next_body():
    memory = RequestMemory(LIMIT)
    await memory.reserve(LARGE, 1.0)
    first = asyncio.create_task(memory.reserve(2 * LARGE, 0.02))
    second = asyncio.create_task(memory.reserve(LARGE, 5.0))
    with pytest.raises(NoMemoryError):
        await first
    await second
    assert memory.used_bytes == 2 * LARGE


async def test_cancelled_wait_returns_its_memory():
    memory = RequestMemory(LIMIT)
    await memory.reserve(2 * LARGE, 1.0)
    waiting = asyncio.create_task(memory.reserve(LARGE, 1.0))
    await asyncio.sleep(0)
    # The wait is cancelled and its turn comes before its task runs again.
    waiting.cancel()
    memory.release(2 * LARGE)
    with pytest.raises(asyncio.CancelledError):
        await waiting
    assert memory.used_bytes == 0


@pytest.mark.parametrize("seed", range(10))
async def test_memory_in_use_stays_within_the_limit_and_returns_to_zero(seed):
    rng = Random(seed)
    memory = RequestMemory(LIMIT)
    most = 0

    async def hold(size):
        nonlocal most
        try:
            await memory.reserve(size, rng.uniform(0.0, 0.05))
        except NoMemoryError:
            return
        most = max(most, memory.used_bytes)
        try:
            await asyncio.sleep(rng.uniform(0.0, 0.01))
        finally:
            memory.release(size)

    tasks = []
    for _ in range(200):
        size = rng.choice([1_000, SMALL_BYTES, MIB, LARGE, 30 * MIB])
        tasks.append(asyncio.create_task(hold(size)))
        if rng.random() < 0.2:
            rng.choice(tasks).cancel()
        await asyncio.sleep(0.0005)
    await asyncio.gather(*tasks, return_exceptions=True)
    assert 0 < most <= LIMIT
    assert memory.used_bytes == 0


def upload_head(request_id, size):
    return (
        "POST /pay/x HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Rhubarbwell-Request-Id: {request_id}\r\n"
        f"X-Rhubarbwell-Request-Deadline: 2000\r\nContent-Length: {size}\r\n\r\n"
    )


# Guards against a refusal that is lost because the connection is reset behind it.
async def test_caller_that_sends_its_whole_body_first_reads_the_refusal():
    async with running_fleet(max_request_memory_bytes=MIB // 2) as fleet:
        for number in range(3):
            reader, writer = await raw_request(fleet, upload_head(f"r-{number}", MIB))
            for _ in range(16):
                writer.write(bytes(MIB // 16))
                await writer.drain()
                await asyncio.sleep(0.05)
            status = await reader.readline()
            assert status.split()[1] == b"503"
            head = await reader.readuntil(b"\r\n\r\n")
            assert b"Retry-After" in head
            writer.close()


async def test_uploads_beyond_the_memory_are_sent_one_after_the_other():
    # One body, and its echo, fit at a time.
    async with running_fleet(max_request_memory_bytes=7 * MIB // 2) as fleet:
        body = bytes(MIB)
        results = await asyncio.gather(
            *(
                fleet.send_request(
                    "/pay/x",
                    "POST",
                    body,
                    **{"X-Rhubarbwell-Request-Deadline": "9000"},
                )
                for _ in range(4)
            )
        )
        assert [resp.status for resp, _ in results] == [200] * 4
        assert fleet.instance._memory.used_bytes == 0


# Guards against a second answer behind one that was sent before its body was read.
async def test_malformed_rest_of_an_answered_body_gets_no_second_answer(monkeypatch):
    monkeypatch.setattr(callers, "MAX_DISCARD_S", 0.3)
    head = (
        "POST /nowhere/x HTTP/1.1\r\nHost: h.example\r\n"
        "X-Rhubarbwell-Request-Id: r-1\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    async with running_fleet() as fleet:
        reader, writer = await raw_request(fleet, head)
        answer = await reader.readuntil(b"no route")
        assert answer.startswith(b"HTTP/1.1 404")
        writer.write(b"5\r\nhello\r\nnot a chunk\r\n")
        async with asyncio.timeout(2.0):
            assert await reader.read() == b""
        writer.close()
