"""Test that a server whose answers do not end gets fewer requests."""

from support.raw_servers import RawServer, fleet_with_server, read_request
from support.running_fleet import wait_until
from support.users_platform import UsersBackend

REQUESTS = 40


class EndlessAnswers(RawServer):
    """Answer each request without end."""

    def __init__(self):
        self.requests = 0

    async def handle(self, reader, writer):
        request_id = (await read_request(reader)).request_id
        self.requests += 1
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Rhubarbwell-Request-Id: {request_id}\r\n"
            "X-Rhubarbwell-Server-Stamp: s\r\n\r\n".encode()
        )
        while True:
            writer.write(bytes(64 << 10))
            await writer.drain()


async def test_server_that_answers_without_end_gets_fewer_requests():
    server = EndlessAnswers()
    async with fleet_with_server(server, max_answer_bytes=1 << 20) as fleet:
        sound = UsersBackend("b-1")
        await sound.start()
        await fleet.store.write("servers", "b-1", sound.registry_entry())
        rows = fleet.instance.balancer.backends.rows
        await wait_until(lambda: "b-1" in rows)
        statuses = []
        for number in range(REQUESTS):
            headers = {"Cookie": f"X-Rhubarbwell-Affinity-Key={number}"}
            resp, _ = await fleet.send_request("/pay/x", "POST", **headers)
            statuses.append(resp.status)
        await sound.stop()
    later = statuses[REQUESTS // 2 :]
    assert 502 in statuses
    assert later.count(200) >= 0.8 * len(later)
    assert server.requests < REQUESTS / 4
