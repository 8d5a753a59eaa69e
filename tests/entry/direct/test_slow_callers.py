"""Test answers whose callers take them slowly or not at all."""

import asyncio
import gc
import socket
import tracemalloc
from contextlib import asynccontextmanager

import pytest
from rhubarbwell_entry.direct import callers
from rhubarbwell_entry.memory import MemoryPart
from support.running_fleet import running_fleet, wait_until
from support.users_platform import config_body

MIB = 1 << 20
# Far more than the buffers of two sockets hold.
ANSWER_BYTES = 14 * MIB
RECEIVE_BUFFER_BYTES = 32 << 10


def request_head(request_id, size=0):
    return (
        "POST /pay/x HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Rhubarbwell-Request-Id: {request_id}\r\n"
        f"X-Rhubarbwell-Request-Deadline: 9000\r\nContent-Length: {size}\r\n\r\n"
    ).encode()


class Caller:
    """Send requests on a socket that holds little of an answer."""

    def __init__(self, fleet):
        self.sock = socket.socket()
        buffer_bytes = RECEIVE_BUFFER_BYTES
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        self.sock.connect(fleet.instance.settings.callers)
        self.sock.setblocking(False)
        self.loop = asyncio.get_running_loop()

    async def send(self, data):
        await self.loop.sock_sendall(self.sock, data)

    async def read_answer(self, pause_s=0.0):
        """Return the status of an answer and the size of its body."""
        data = bytearray()
        while b"\r\n\r\n" not in data:
            data += await self.loop.sock_recv(self.sock, 1 << 16)
        head, _, start = bytes(data).partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        names = dict(line.lower().split(": ", 1) for line in lines[1:])
        length, size = int(names["content-length"]), len(start)
        while size < length:
            chunk = await self.loop.sock_recv(self.sock, 1 << 20)
            if not chunk:
                break
            size += len(chunk)
            await asyncio.sleep(pause_s)
        return int(lines[0].split()[1]), size

    def close(self):
        self.sock.close()


@asynccontextmanager
async def fleet_with_large_answers(answer_bytes=ANSWER_BYTES, **changes):
    async with running_fleet(1, **changes) as fleet:
        server = fleet.backends[0]

        async def answer(request):
            return server.signed_response(request, body=bytes(answer_bytes))

        server.custom_handler = answer
        await fleet.store.write("op", "config", config_body(2, timeout="5s"))
        await wait_until(lambda: fleet.instance.balancer.config.version == 2)
        yield fleet


def held_bytes(fleet, part):
    return fleet.instance._memory.held_bytes[part]


def logged(caplog, event):
    return [
        record for record in caplog.records if getattr(record, "event", "") == event
    ]


async def test_answer_is_held_until_a_slow_caller_has_taken_it():
    async with fleet_with_large_answers() as fleet:
        caller = Caller(fleet)
        await caller.send(request_head("r-1"))
        await wait_until(lambda: held_bytes(fleet, MemoryPart.RESPONSES))
        assert held_bytes(fleet, MemoryPart.RESPONSES) >= ANSWER_BYTES
        assert await caller.read_answer(0.002) == (200, ANSWER_BYTES)
        await wait_until(lambda: not fleet.instance._memory.used_bytes)
        caller.close()


async def test_memory_of_an_answer_is_returned_when_its_caller_leaves():
    async with fleet_with_large_answers() as fleet:
        caller = Caller(fleet)
        await caller.send(request_head("r-1"))
        await wait_until(lambda: held_bytes(fleet, MemoryPart.RESPONSES))
        caller.close()
        await wait_until(lambda: not fleet.instance._memory.used_bytes)
        await wait_until(lambda: not fleet.instance.callers.open_requests)


# Guards against responses that stay in memory while their connections are idle.
async def test_idle_connection_keeps_nothing_of_its_last_answer():
    async with fleet_with_large_answers(MIB) as fleet:
        idle = [Caller(fleet) for _ in range(8)]
        await idle[0].send(request_head("r-0"))
        await idle[0].read_answer()
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            for number, caller in enumerate(idle):
                await caller.send(request_head(f"r-{number}-1"))
                assert await caller.read_answer() == (200, MIB)
            await wait_until(lambda: not fleet.instance.callers.open_requests)
            traced_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            gc.enable()
        assert traced_bytes < 2 * MIB
        for caller in idle:
            caller.close()


@pytest.fixture
def short_limits(monkeypatch):
    monkeypatch.setattr(callers, "LOGGED_UNTAKEN_S", 0.5)
    monkeypatch.setattr(callers, "MAX_UNTAKEN_S", 1.0)


@pytest.mark.usefixtures("short_limits")
async def test_answer_that_nobody_waits_behind_is_delivered_late(caplog):
    async with fleet_with_large_answers() as fleet:
        caller = Caller(fleet)
        await caller.send(request_head("r-1"))
        await wait_until(lambda: logged(caplog, "response_not_taken"))
        await asyncio.sleep(1.5)
        (record,) = logged(caplog, "response_not_taken")
        assert record.bytes >= ANSWER_BYTES
        assert await caller.read_answer() == (200, ANSWER_BYTES)
        assert not logged(caplog, "response_dropped")
        caller.close()


@pytest.mark.usefixtures("short_limits")
async def test_answer_that_is_not_taken_gives_way_to_one_that_waits(caplog):
    limits = {"max_request_memory_bytes": 32 * MIB, "max_answer_bytes": 15 * MIB}
    async with fleet_with_large_answers(**limits) as fleet:
        unread = [Caller(fleet) for _ in range(2)]
        for number, caller in enumerate(unread):
            await caller.send(request_head(f"r-{number}"))
        await wait_until(lambda: held_bytes(fleet, MemoryPart.RESPONSES))
        late = Caller(fleet)
        await late.send(request_head("late"))
        assert await late.read_answer() == (200, ANSWER_BYTES)
        assert logged(caplog, "response_dropped")
        for caller in (*unread, late):
            caller.close()
        await wait_until(lambda: not fleet.instance._memory.used_bytes)


# Guards against retries that keep the memory of a server error which they replace.
async def test_memory_of_a_server_error_is_returned_when_its_retry_is_answered():
    async with running_fleet(2) as fleet:
        failed = []

        def answer_of(server):
            async def answer(request):
                if not failed:
                    failed.append(server)
                    return server.signed_response(request, status=500, body=bytes(MIB))
                return server.signed_response(request)

            return answer

        for server in fleet.backends:
            server.custom_handler = answer_of(server)
        resp, _ = await fleet.send_request("/read/x")
        assert resp.status == 200
        assert failed
        await wait_until(lambda: not fleet.instance._memory.used_bytes)


# Guards against small answers that wait in a transport without being counted.
async def test_small_answers_are_held_until_the_kernel_has_them():
    async with fleet_with_large_answers(60_000) as fleet:
        caller = Caller(fleet)
        (conn,) = await until_connected(fleet)
        for number in range(200):
            await caller.send(request_head(f"r-{number}"))
        await wait_until(lambda: conn.transport.get_write_buffer_size())
        unsent_bytes = conn.transport.get_write_buffer_size()
        assert held_bytes(fleet, MemoryPart.RESPONSES) >= unsent_bytes - 1_000
        size = 0
        while size < 200 * 60_000:
            size += len(await caller.loop.sock_recv(caller.sock, 1 << 20))
        await wait_until(lambda: not fleet.instance._memory.used_bytes)
        caller.close()


async def until_connected(fleet):
    await wait_until(lambda: fleet.instance.callers.connections)
    return fleet.instance.callers.connections
