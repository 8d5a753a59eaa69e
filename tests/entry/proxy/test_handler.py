"""Check the handling of callers' requests by one entry instance."""

import asyncio
import hashlib

import pytest
from rhubarbwell_platform.standins import FakeBackend
from support.entries import RunningEntry, make_configuration


@pytest.fixture
async def backend():
    server = FakeBackend("b0")
    server.address = await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def entry(backend):
    async with RunningEntry(make_configuration([backend.address])) as running:
        yield running


async def test_answer_is_complete_and_names_its_outcome(entry, backend):
    async with entry.session.get(entry.url + "/page?a=%20b") as resp:
        document = await resp.json()
    assert resp.status == 200
    assert resp.headers["Rhubarbwell-Outcome"] == "answered"
    assert document["path"] == "/page?a=%20b"


@pytest.mark.parametrize("chunked", [False, True])
async def test_body_is_streamed(entry, backend, chunked):
    body = bytes(range(256)) * 2_000

    async def chunks():
        for start in range(0, len(body), 50_000):
            yield body[start : start + 50_000]

    data = chunks() if chunked else body
    async with entry.session.put(entry.url + "/clips/1", data=data) as resp:
        document = await resp.json()
    assert document["body_digest"] == hashlib.sha256(body).hexdigest()
    assert document["body_bytes"] == len(body)


@pytest.mark.parametrize(
    ("method", "path", "status", "reason"),
    [
        ("GET", "/none/x", 404, "unknown_service"),
        ("DELETE", "/slotsvc/x", 404, "unknown_kind"),
        ("PUT", "/slotsvc/clips/9", 413, "body_too_large"),
    ],
)
async def test_refusal_is_a_problem_document(
    entry, backend, method, path, status, reason
):
    data = b"x" * (2 << 20) if status == 413 else None
    async with entry.session.request(
        method, entry.url.removesuffix("/slotsvc") + path, data=data
    ) as resp:
        problem = await resp.json()
    assert resp.content_type == "application/problem+json"
    assert (resp.status, problem["reason"]) == (status, reason)
    assert resp.headers["Rhubarbwell-Outcome"] == problem["outcome"] == "not_run"
    assert backend.runs == []


async def test_caller_disconnect_cancels_the_run(entry, backend):
    backend.service_ms = 60_000
    request_task = asyncio.create_task(entry.request("POST", "/book"))
    while not backend.started:
        await asyncio.sleep(0.01)
    request_task.cancel()
    while not backend.cancelled:
        await asyncio.sleep(0.01)
    assert backend.runs == [] and len(entry.handler.exchanges) == 0


async def test_run_without_an_answer_ends_as_unknown_at_the_deadline(entry, backend):
    backend.service_ms = 60_000
    headers = {"Rhubarbwell-Deadline-Ms": "250"}
    url = entry.url + "/book"
    async with entry.session.post(url, headers=headers) as resp:
        problem = await resp.json()
    assert (resp.status, problem["outcome"]) == (504, "unknown")


# Guards against state kept under a value that callers choose.
async def test_requests_that_bear_the_same_id_are_all_answered(entry, backend):
    backend.service_ms = 100
    headers = {"Rhubarbwell-Attempt": "same"}
    calls = (entry.request("GET", "/page", headers=headers) for _ in range(3))
    answers = await asyncio.gather(*calls)
    assert [answer[:2] for answer in answers] == [(200, "answered")] * 3
    assert len({run.attempt_id for run in backend.runs}) == 3
