"""Property test: bodies pass the stand-alone product as their bytes, both ways."""

from aiohttp import web
from rhubarbwell_core.model import Address
from support.entries import RunningEntry, make_configuration
from support.raw_bodies import body_cases, send_body


class EchoServer:
    """Answer each request with its body and its coding."""

    def __init__(self):
        self.bodies = []

    async def start(self):
        server = web.Server(self.handle, access_log=None, auto_decompress=False)
        self.runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await self.runner.setup()
        await web.TCPSite(self.runner, "127.0.0.1", 0).start()
        return Address(*self.runner.addresses[0][:2])

    async def handle(self, request):
        if not request.path.startswith("/clips"):
            return web.json_response({"in_flight": 0})
        body = await request.read()
        self.bodies.append(body)
        names = ("Rhubarbwell-Attempt", "Content-Encoding")
        headers = {n: request.headers[n] for n in names if n in request.headers}
        return web.Response(body=body, headers=headers)


# Bodies with Content-Encoding reached the server decompressed, or were refused.
async def test_bodies_of_any_coding_and_framing_pass_unchanged():
    server = EchoServer()
    address = await server.start()
    try:
        async with RunningEntry(make_configuration([address], slots=20)) as entry:
            for case in body_cases(seed=2):
                head = "PUT /slotsvc/clips/1 HTTP/1.1\r\nHost: h\r\n"
                status, answer = await send_body(entry.address, head, case)
                assert status == 200, case._replace(body=b"")
                assert server.bodies.pop() == case.body, case._replace(body=b"")
                assert answer == case.body, case._replace(body=b"")
    finally:
        await server.runner.cleanup()
