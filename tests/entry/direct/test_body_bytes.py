"""Property test: request bodies reach the backend server as their bytes."""

from support.raw_bodies import body_cases, send_body
from support.running_fleet import running_fleet


# Bodies with Content-Encoding reached the server decompressed, or were refused.
async def test_bodies_of_any_coding_and_framing_arrive_unchanged():
    async with running_fleet(1) as fleet:
        (server,) = fleet.backends
        address = fleet.instance.settings.callers
        for number, case in enumerate(body_cases(seed=1)):
            head = (
                f"POST /pay/x HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Rhubarbwell-Request-Id: r-{number}\r\n"
                "X-Rhubarbwell-Request-Deadline: 2000\r\n"
            )
            status, answer = await send_body(address, head, case)
            assert status == 200, case._replace(body=b"")
            _, _, headers, body = server.received.pop()
            assert body == case.body, case._replace(body=b"")
            assert headers.get("Content-Encoding") == case.coding
            assert answer == b"echo:" + case.body
