import aiohttp
from rhubarbwell_platform.standins import FakeBackend


async def test_shed_answer_echoes_attempt_id():
    backend = FakeBackend("b", slots=0)
    address = await backend.start()
    headers = {"Rhubarbwell-Attempt": "a-1"}
    async with aiohttp.ClientSession() as session:
        url = f"http://{address.host}:{address.port}/"
        async with session.get(url, headers=headers) as answer:
            assert answer.status == 503
            assert answer.headers["Rhubarbwell-Attempt"] == "a-1"
            assert answer.headers["Rhubarbwell-Outcome"] == "not_run"
    await backend.stop()
    assert (backend.started, backend.shed) == (0, 1)
