"""Test that a request which ran is not answered as one that did not run."""

import asyncio

from support.raw_servers import RawServer, fleet_with_server, read_request
from support.running_fleet import running_fleet, wait_until
from support.users_platform import UsersBackend

MISDIRECTED = (
    "HTTP/1.1 421 Misdirected Request\r\nX-Rhubarbwell-Request-Id: {id}\r\n"
    "Content-Length: 0\r\n\r\n"
)
ANSWER = (
    "HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: {id}\r\n"
    "X-Rhubarbwell-Server-Stamp: {id}\r\nContent-Length: 3\r\n\r\nran"
)
NOT_RUN_STATUSES = (408, 421, 429, 503)


class TakenOverAddress(RawServer):
    """Turn the first request away with 421, run the next one behind a late copy."""

    def __init__(self):
        self.turned_away: list[str] = []
        self.ran: list[str] = []

    async def handle(self, reader, writer):
        copy = ""
        while True:
            _, request_id = await read_request(reader)
            if not self.turned_away:
                self.turned_away.append(request_id)
                copy = MISDIRECTED.format(id=request_id)
                writer.write(copy.encode())
                continue
            self.ran.append(request_id)
            writer.write((copy + ANSWER.format(id=request_id)).encode())


# Guards against a refusal of a request that ran (REFUSED): a late copy of the answer to
# the first attempt was taken for that to the second one on the same connection.
async def test_late_copy_of_an_earlier_attempts_answer_refuses_nothing():
    server = TakenOverAddress()
    async with fleet_with_server(server) as fleet:
        successor = UsersBackend("b-1")
        successor.address = server.address
        await fleet.store.write("servers", "b-1", successor.registry_entry())
        backends = fleet.instance.balancer.backends
        await wait_until(lambda: len(backends.rows) == 2)
        resp, body = await fleet.send_request("/pay/a", "POST", b"x")
        assert server.turned_away == server.ran == ["req-1"]
        assert (resp.status, body) == (200, b"ran")


class BreakingBackend(UsersBackend):
    """Break the connection of the first request once it has run."""

    def __init__(self):
        super().__init__("b-0")
        self.may_break = asyncio.Event()
        self.custom_handler = self.run_request

    async def run_request(self, request):
        if len(self.received) == 1:
            await self.may_break.wait()
            request.transport.abort()
        return self.signed_response(request)


# Guards against a refusal of a request that ran (REFUSED): of two requests with one id,
# the end of one removed the record that the other had a connection.
async def test_requests_with_the_same_id_do_not_hide_that_one_of_them_ran():
    async with running_fleet(0) as fleet:
        backend = BreakingBackend()
        await backend.start()
        await fleet.store.write("servers", "b-0", backend.registry_entry())
        backends = fleet.instance.balancer.backends
        await wait_until(lambda: len(backends.rows) == 1)
        same_id = {"X-Rhubarbwell-Request-Id": "same"}
        first = asyncio.create_task(
            fleet.send_request("/pay/a", "POST", b"x", **same_id)
        )
        await wait_until(lambda: backend.received)
        second, _ = await fleet.send_request("/pay/a", "POST", b"x", **same_id)
        assert second.status not in NOT_RUN_STATUSES
        backend.may_break.set()
        resp, _ = await first
        assert resp.status not in NOT_RUN_STATUSES
        assert len(backend.received) == 1
        await backend.stop()


# Guards against a refusal of a request that ran: of two idempotent requests with one
# id, the end of one removed the record that the other had a connection.
async def test_idempotent_requests_with_the_same_id_are_both_answered():
    async with running_fleet(1) as fleet:
        release = asyncio.Event()
        backend = fleet.backends[0]

        async def answer_later(request):
            await release.wait()
            return backend.signed_response(request)

        backend.custom_handler = answer_later
        same_id = {"X-Rhubarbwell-Request-Id": "same"}
        calls = [
            asyncio.create_task(fleet.send_request("/read/a", **same_id))
            for _ in range(2)
        ]
        await wait_until(lambda: len(backend.received) == 2)
        release.set()
        assert [resp.status for resp, _ in await asyncio.gather(*calls)] == [200, 200]


# Guards against a refusal of a request that ran: the end of one of two idempotent
# requests with one id hid that the other had run when its connection broke.
async def test_broken_connection_of_one_of_two_requests_with_the_same_id_is_seen():
    async with running_fleet(1) as fleet:
        may_break = asyncio.Event()
        backend = fleet.backends[0]

        async def break_first(request):
            if len(backend.received) == 1:
                await may_break.wait()
                request.transport.abort()
            return backend.signed_response(request)

        backend.custom_handler = break_first
        same_id = {"X-Rhubarbwell-Request-Id": "same"}
        first = asyncio.create_task(fleet.send_request("/read/a", **same_id))
        await wait_until(lambda: backend.received)
        assert (await fleet.send_request("/read/a", **same_id))[0].status == 200
        may_break.set()
        resp, _ = await first
        assert resp.status not in NOT_RUN_STATUSES
