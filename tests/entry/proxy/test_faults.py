"""Check the outcome reported to callers for each fault of a backend server."""

from typing import NamedTuple

import pytest
from rhubarbwell_core.model import Address
from rhubarbwell_entry.proxy import relays
from rhubarbwell_platform.standins import Fault, FaultScript, FaultyBackend
from support.entries import RunningEntry, make_configuration

WARM_UP_REQUESTS = 20
LATER_REQUESTS = 4
DEADLINE = {"Rhubarbwell-Deadline-Ms": "1000"}


class Case(NamedTuple):
    fault: Fault
    idempotent_outcome: str
    non_idempotent_outcome: str
    non_idempotent_status: int
    non_idempotent_runs: int


CASES = [
    Case(Fault.CLOSE_ON_ACCEPT, "answered", "unknown", 502, 0),
    Case(Fault.RESET_ON_HEAD, "answered", "unknown", 502, 0),
    Case(Fault.RESET_MID_UPLOAD, "answered", "unknown", 502, 0),
    Case(Fault.SILENT, "answered", "unknown", 504, 1),
    Case(Fault.RESET_AFTER_REQUEST, "answered", "unknown", 502, 1),
    Case(Fault.CLOSE_AFTER_REQUEST, "answered", "unknown", 502, 1),
    Case(Fault.RESET_MID_HEADERS, "answered", "unknown", 502, 1),
    Case(Fault.RESET_AFTER_HEADERS, "broken", "broken", 0, 1),
    Case(Fault.RESET_MID_BODY, "broken", "broken", 0, 1),
    Case(Fault.SILENT_MID_BODY, "broken", "broken", 0, 1),
    Case(Fault.CUT_SHORT, "broken", "broken", 0, 1),
    Case(Fault.CUT_SHORT_CHUNKED, "broken", "broken", 0, 1),
    Case(Fault.NO_FRAMING, "answered", "unknown", 502, 1),
    Case(Fault.GARBAGE, "answered", "unknown", 502, 1),
    Case(Fault.HUGE_HEADERS, "answered", "unknown", 502, 1),
    Case(Fault.DOUBLED, "answered", "answered", 200, 1),
    Case(Fault.DOUBLED_LATER, "answered", "answered", 200, 1),
    Case(Fault.LATE, "answered", "answered", 200, 1),
    Case(Fault.DRIP, "answered", "answered", 200, 1),
    Case(Fault.INTERIM, "answered", "answered", 200, 1),
    Case(Fault.SHED_RETRY_AFTER, "answered", "answered", 200, 1),
    Case(Fault.SHED_OUTCOME, "answered", "answered", 200, 1),
    Case(Fault.SHED_TOO_MANY, "answered", "answered", 200, 1),
    Case(Fault.BARE_503, "answered", "answered", 503, 0),
]

FAULT_CASES = [
    (case, reused)
    for case in CASES
    for reused in (False, True)
    if not (reused and case.fault is Fault.CLOSE_ON_ACCEPT)
]


def case_id(value):
    if isinstance(value, Case):
        return value.fault.value
    return "reused" if value else "fresh"


@pytest.fixture(autouse=True)
def short_progress_timeout(monkeypatch):
    monkeypatch.setattr(relays, "PROGRESS_TIMEOUT_MS", 100)


async def send_through_fault(
    case, method, path, *, reused, data=None, warm_ups=WARM_UP_REQUESTS
):
    """Return the answer to a request that meets the fault and the number of its runs.

    With reused, the servers echo attempt ids, so that connections are reused.
    """
    script = FaultScript(case.fault, after=warm_ups)
    servers = [FaultyBackend(script, echoes_attempt=reused) for _ in range(2)]
    addresses = [await server.start() for server in servers]
    try:
        async with RunningEntry(make_configuration(addresses)) as entry:
            for n in range(warm_ups):
                await entry.request("GET", f"/warm/{n}")
            answer = await entry.request(method, path, data=data, headers=DEADLINE)
            later = [
                await entry.request("GET", f"/other/{n}") for n in range(LATER_REQUESTS)
            ]
    finally:
        for server in servers:
            await server.stop()
    expected = [(200, "answered", f"GET /other/{n}") for n in range(LATER_REQUESTS)]
    assert later == expected
    return answer, script.runs.count(f"{method} {path}")


@pytest.mark.parametrize(("case", "reused"), FAULT_CASES, ids=case_id)
async def test_outcome_of_a_non_idempotent_request_after_a_fault(case, reused):
    answer, runs = await send_through_fault(
        case, "POST", "/book/1", reused=reused, data=b"x" * 100
    )
    status, outcome, text = answer
    assert (status, outcome) == (
        case.non_idempotent_status,
        case.non_idempotent_outcome,
    )
    assert runs == case.non_idempotent_runs
    if status == 200:
        assert text == "POST /book/1"


@pytest.mark.parametrize(("case", "reused"), FAULT_CASES, ids=case_id)
async def test_outcome_of_an_idempotent_request_after_a_fault(case, reused):
    answer, runs = await send_through_fault(case, "GET", "/page/1", reused=reused)
    status, outcome, text = answer
    assert outcome == case.idempotent_outcome and runs <= 2
    if outcome == "answered":
        assert (status, text) == (200, "GET /page/1")


@pytest.mark.parametrize(
    ("method", "path", "outcome", "runs"),
    [
        ("GET", "/page/1", "answered", 2),
        ("PUT", "/notes/1", "answered", 2),
        ("POST", "/book/1", "unknown", 1),
        ("PUT", "/clips/1", "unknown", 1),
    ],
)
async def test_answer_to_another_attempt_is_discarded(method, path, outcome, runs):
    case = Case(Fault.CROSSED, "", "", 0, 0)
    data = None if method == "GET" else b"x"
    answer, ran = await send_through_fault(case, method, path, reused=True, data=data)
    assert (answer[1], ran) == (outcome, runs)


@pytest.mark.parametrize(
    ("path", "size", "outcome"),
    [
        ("/notes/1", 1_000, "answered"),
        ("/notes/1", 4 << 20, "unknown"),
        ("/clips/1", 1_000, "unknown"),
        ("/films/1", 4 << 20, "unknown"),
    ],
)
async def test_upload_is_retried_only_when_idempotent_and_small(path, size, outcome):
    case = Case(Fault.RESET_MID_UPLOAD, "", "", 0, 0)
    answer, _ = await send_through_fault(
        case, "PUT", path, reused=True, data=b"x" * size
    )
    assert answer[1] == outcome


async def test_answer_sent_before_the_body_is_read_is_relayed():
    case = Case(Fault.EARLY, "", "", 0, 0)
    answer, runs = await send_through_fault(
        case, "POST", "/book/1", reused=False, data=b"x" * 10
    )
    assert (answer[:2], runs) == ((413, "answered"), 0)


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_refused_connection_ends_as_not_run(method):
    server = FaultyBackend(FaultScript(Fault.SILENT))
    address = await server.start()
    await server.stop()
    async with RunningEntry(make_configuration([address])) as entry:
        status, outcome, _ = await entry.request(method, "/book/1")
    assert (status, outcome) == (502, "not_run")


async def test_refused_server_is_replaced_by_another():
    good = FaultyBackend(FaultScript(Fault.SILENT, after=1_000))
    addresses = [Address("127.0.0.1", 1), await good.start()]
    try:
        async with RunningEntry(make_configuration(addresses)) as entry:
            for n in range(WARM_UP_REQUESTS):
                await entry.request("GET", f"/warm/{n}")
            answers = [await entry.request("POST", f"/book/{n}") for n in range(5)]
    finally:
        await good.stop()
    assert {answer[:2] for answer in answers} == {(200, "answered")}


async def test_refused_server_is_replaced_without_saved_retries():
    good = FaultyBackend(FaultScript(Fault.SILENT, after=1_000))
    addresses = [Address("127.0.0.1", 1), await good.start()]
    try:
        async with RunningEntry(make_configuration(addresses)) as entry:
            answers = [await entry.request("POST", f"/book/{n}") for n in range(5)]
    finally:
        await good.stop()
    assert {answer[:2] for answer in answers} == {(200, "answered")}


async def test_late_answer_reaches_no_later_request():
    case = Case(Fault.LATE, "", "", 0, 0)
    script = FaultScript(case.fault, after=2)
    server = FaultyBackend(script)
    address = await server.start()
    try:
        async with RunningEntry(make_configuration([address])) as entry:
            for n in range(2):
                await entry.request("GET", f"/warm/{n}")
            headers = {"Rhubarbwell-Deadline-Ms": "150"}
            late = await entry.request("POST", "/book/1", headers=headers)
            later = [await entry.request("GET", f"/other/{n}") for n in range(60)]
    finally:
        await server.stop()
    assert late[1] == "unknown"
    assert [text for *_, text in later] == [f"GET /other/{n}" for n in range(60)]
