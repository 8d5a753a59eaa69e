"""Check requests between entry instances: to a key's owner and under a grant."""

import asyncio
from collections import Counter
from types import SimpleNamespace

import pytest
import trustme
from rhubarbwell_core.keys import new_ticket
from rhubarbwell_core.lookups import LookUpQuery
from rhubarbwell_core.messages import Target
from rhubarbwell_entry.peers.keys import PeerKeys
from rhubarbwell_entry.proxy.sending import Attempt, AttemptPlan
from rhubarbwell_entry.settings import TlsSettings
from rhubarbwell_platform.standins import FakeBackend
from support.entries import RunningEntry, make_configuration
from support.tables import FlakyTables


@pytest.fixture
async def backend():
    server = FakeBackend("b0", slots=20)
    server.address = await server.start()
    yield server
    await server.stop()


@pytest.fixture
async def pair(backend):
    cfg = make_configuration([backend.address], slots=20)
    tables = FlakyTables()
    async with (
        RunningEntry(cfg, name="a", tables=tables) as a,
        RunningEntry(cfg, name="b", tables=tables) as b,
    ):
        a.add_peer(b)
        b.add_peer(a)
        yield a, b


def ticket_headers(entry):
    query = LookUpQuery("slotsvc", wants_ticket=True)
    return {
        "Idempotency-Key": entry.core.look_up(query, entry.driver.clock_ms()).ticket
    }


@pytest.mark.parametrize(
    "make_key", [ticket_headers, lambda _: {"Idempotency-Key": "o-1"}]
)
async def test_repeats_at_any_instance_get_the_same_answer(pair, backend, make_key):
    a, b = pair
    headers = make_key(a)
    answers = [
        await entry.request("POST", "/book/1", headers=headers, data=b"x")
        for entry in (a, b, a, b)
    ]
    assert len(set(answers)) == 1 and answers[0][:2] == (200, "answered")
    assert backend.runs_by_path() == {"/book/1": 1}


async def test_concurrent_repeats_wait_for_a_single_run(pair, backend):
    backend.service_ms = 50
    headers = {"Idempotency-Key": "o-1"}
    pending_requests = [
        entry.request("POST", "/book/1", headers=headers) for entry in pair * 4
    ]
    answers = await asyncio.gather(*pending_requests)
    assert {answer[:2] for answer in answers} == {(200, "answered")}
    assert len(backend.runs) == 1


@pytest.mark.parametrize("step", [1, -1])
async def test_key_reused_with_another_body_is_refused(pair, step):
    first, second = pair[::step]
    headers = ticket_headers(pair[0])
    await first.request("POST", "/book/1", headers=headers, data=b"x")
    answer = await second.request("POST", "/book/1", headers=headers, data=b"y")
    assert answer[:2] == (422, "not_run")


async def test_keys_are_scoped_to_their_caller(pair, backend):
    a, b = pair
    headers = {"Idempotency-Key": "o-1"}
    texts = set()
    for entry, who in ((a, "one"), (b, "two")):
        answer = await entry.request(
            "POST", f"/book/{who}", headers={**headers, "Authorization": who}
        )
        texts.add(answer[2])
    assert len(texts) == len(backend.runs) == 2


async def test_key_of_a_lost_owner_without_a_recorded_outcome_ends_as_unknown(
    pair, backend
):
    a, b = pair
    headers = ticket_headers(a)
    await a.kill()
    lost = await b.request("POST", "/book/1", headers=headers)
    assert lost[:2] == (502, "unknown") and backend.runs == []


async def test_recorded_outcome_is_replayed_after_its_owner_is_lost(pair, backend):
    a, b = pair
    headers = ticket_headers(a)
    first = await a.request("POST", "/book/1", headers=headers)
    while len(a.core.keys.outcomes):
        await asyncio.sleep(0.01)
    await a.kill()
    assert await b.request("POST", "/book/1", headers=headers) == first
    assert len(backend.runs) == 1


async def test_keyed_run_completes_after_its_caller_disconnects(pair, backend):
    a, _ = pair
    backend.service_ms = 100
    headers = ticket_headers(a)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await a.request("POST", "/book/1", headers=headers)
    repeat = await a.request("POST", "/book/1", headers=headers)
    assert repeat[:2] == (200, "answered")
    assert (len(backend.runs), backend.cancelled) == (1, 0)


async def test_store_outage_refuses_caller_chosen_keys_but_not_tickets(pair, backend):
    a, _ = pair
    a.tables.down = True
    caller_chosen = await a.request(
        "POST", "/book/1", headers={"Idempotency-Key": "o-1"}
    )
    ticketed = await a.request("POST", "/book/2", headers=ticket_headers(a))
    unkeyed = await a.request("POST", "/book/3")
    assert [answer[1] for answer in (caller_chosen, ticketed, unkeyed)] == [
        "not_run",
        "answered",
        "answered",
    ]
    assert "/book/1" not in backend.runs_by_path()


async def test_slow_store_is_bounded_by_the_deadline(backend):
    cfg = make_configuration([backend.address])
    tables = FlakyTables(delay_ms=600_000)
    headers = {"Idempotency-Key": "o-1", "Rhubarbwell-Deadline-Ms": "100"}
    async with RunningEntry(cfg, tables=tables) as entry:
        answer = await entry.request("POST", "/book/1", headers=headers)
    assert answer[:2] == (503, "not_run") and backend.runs == []


async def test_at_most_two_rows_are_written_for_a_keyed_request(pair):
    a, _ = pair
    for n in range(10):
        await a.request("POST", f"/book/{n}", headers={"Idempotency-Key": f"o-{n}"})
        await a.request("POST", f"/book/{n}")
        await a.request("GET", f"/page/{n}", headers={"Idempotency-Key": f"o-{n}"})
    while len(a.core.keys.outcomes):
        await asyncio.sleep(0.01)
    assert (a.store.claim_writes, a.store.outcome_writes) == (10, 10)
    assert a.tables.writes == 20


async def test_forged_hop_is_refused(pair, backend):
    a, b = pair
    headers = ticket_headers(a)
    assert (await b.request("POST", "/book/1", headers=headers))[1] == "answered"
    forged = {**headers, "Rhubarbwell-Peer": "b", "Rhubarbwell-Caller": "someone"}
    answer = await a.request("POST", "/book/1", headers=forged)
    assert answer[:2] == (403, "not_run")
    a.handler._hop_keys = PeerKeys([b"another test key"])
    refused = await b.request("POST", "/book/1", headers=ticket_headers(a))
    assert refused[:2] == (403, "not_run") and len(backend.runs) == 1


class ScriptedRoutes:
    """Forward requests to `peer` under a grant, accept forwarded ones if `accepts`.

    Replaces the route chooser of an entry instance and delegates all other calls to
    the replaced one.
    """

    def __init__(self, entry, peer=None, accepts=False, send_before_ms=None):
        self._send_before_ms = send_before_ms
        self._inner = entry.core.routes
        self._peer = peer
        self._accepts = accepts
        self.accepted = []
        entry.core.requests._routes = self

    def __getattr__(self, name):
        return getattr(self._inner, name)

    def choose_peer(self, req, attempt_id, *, exclude, refused, now_ms):
        if self._peer is None or exclude:
            return None
        return Target(
            "b", self._peer.address, "grant-1", send_before_ms=self._send_before_ms
        )

    def accept_forwarded(self, req, now_ms):
        self.accepted.append(req.forwarded)
        return self._accepts

    def record_forwarded_end(self, req, now_ms):
        return None


@pytest.mark.parametrize("accepts", [True, False])
async def test_forwarded_request_carries_its_grant_and_ends_as_not_run_if_refused(
    pair, backend, accepts
):
    a, b = pair
    ScriptedRoutes(a, b)
    routes = ScriptedRoutes(b, accepts=accepts)
    answers = [await a.request("POST", f"/book/{n}", data=b"x") for n in range(20)]
    hops = {(f.instance_id, f.grant_id, f.hops) for f in routes.accepted}
    assert hops == {("a", "grant-1", 1)} and len(routes.accepted) == 20
    outcomes = Counter(outcome for _, outcome, _ in answers)
    assert outcomes["answered"] == len(backend.runs)
    assert outcomes["not_run"] == 20 - len(backend.runs)
    assert (outcomes["not_run"] == 0) == accepts


async def test_request_is_not_forwarded_after_its_grant_expires(pair, backend):
    a, b = pair
    ScriptedRoutes(a, b, send_before_ms=a.driver.clock_ms())
    routes = ScriptedRoutes(b, accepts=True)
    await a.request("POST", "/book/1", data=b"x")
    assert routes.accepted == []


async def test_paced_body_waits_between_chunks(monkeypatch):
    async def chunks():
        yield b"x" * 300
        yield b"x" * 100

    waits = []

    async def sleep(seconds):
        waits.append(seconds)

    monkeypatch.setattr(asyncio, "sleep", sleep)
    plan = AttemptPlan("a", ("h", 1), 0, grant_id="g", bytes_per_s=100)
    exchange = SimpleNamespace(body=SimpleNamespace(chunks=chunks))
    attempt = Attempt(plan, exchange, None, None, None, None)
    assert [len(chunk) async for chunk in attempt._paced_body()] == [300, 100]
    assert waits == [3.0, 1.0]


async def test_request_forwarded_to_a_lost_peer_ends_as_unknown(pair, backend):
    a, b = pair
    ScriptedRoutes(a, b)
    ScriptedRoutes(b, accepts=True)
    backend.service_ms = 60_000
    request_task = asyncio.create_task(a.request("POST", "/book/1"))
    while not backend.started:
        await asyncio.sleep(0.01)
    await b.kill()
    assert (await request_task)[1] == "unknown"


async def test_hop_uses_tls_if_the_caller_listener_does(backend, tmp_path):
    certificate = trustme.CA().issue_cert("entry.example")
    files = [str(tmp_path / name) for name in ("certificate", "key")]
    certificate.cert_chain_pems[0].write_to_path(files[0])
    certificate.private_key_pem.write_to_path(files[1])
    cfg = make_configuration([backend.address], slots=20)
    tls = TlsSettings(*files)
    async with (
        RunningEntry(cfg, name="a", tls=tls) as a,
        RunningEntry(cfg, name="b", tls=tls) as b,
    ):
        b.add_peer(a)
        answer = await b.request("POST", "/book/1", headers=ticket_headers(a))
    assert answer[:2] == (200, "answered") and len(backend.runs) == 1


async def test_ticket_of_an_unknown_owner_ends_as_unknown(pair, backend):
    a, _ = pair
    ticket = new_ticket("gone-1", a.core._ticket_rng, 0)
    answer = await a.request("POST", "/book/1", headers={"Idempotency-Key": ticket})
    assert answer[:2] == (502, "unknown") and backend.runs == []
