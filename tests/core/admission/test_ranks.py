from random import Random

import pytest
from rhubarbwell_core.admission import Admitted, Queued, RankAdmission, Refused
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    BackendLeaving,
    ForwardedFrom,
    RequestArrived,
)
from rhubarbwell_core.model import (
    BackendSpec,
    Configuration,
    DeploymentSpec,
    Rank,
    Reason,
    RegionSpec,
    ServiceSpec,
    ZoneSpec,
)
from rhubarbwell_core.routing import BackendTable

HOLD_MS = 100


class Service:
    """Run admission control with 10 slots; each request holds one for HOLD_MS."""

    def __init__(self):
        specs = tuple(BackendSpec(f"b{n}", "r-a", "h", n, slots=5) for n in range(2))
        spec = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 1),))
        services = {"s": ServiceSpec("s", (), specs)}
        cfg = Configuration(1, "x", spec, services)
        self.backends = BackendTable("r", Random(1))
        self.backends.configure(cfg, 0)
        self.admission = RankAdmission(self.backends)
        self.admission.configure(cfg, 0)
        self.now_ms = 0
        self.next_id = 0
        self.ends = []
        self.ranks = {}
        self.served = dict.fromkeys(Rank, 0)
        self.refused = []

    def offer(self, rank, deadline_ms=1_000):
        self.next_id += 1
        self.ranks[self.next_id] = rank
        req = RequestArrived(
            self.next_id, "s", "page", "c", self.now_ms + deadline_ms, rank, True
        )
        decision = self.admission.offer(req, self.now_ms)
        self.record_decision(decision)
        return decision

    def record_decision(self, decision):
        if isinstance(decision, Admitted):
            self.ends.append((self.now_ms + HOLD_MS, decision.request_id))
        elif isinstance(decision, Refused):
            self.refused.append(decision)

    def advance(self, ms=10):
        self.now_ms += ms
        while self.ends and self.ends[0][0] <= self.now_ms:
            _, request_id = self.ends.pop(0)
            self.served[self.ranks[request_id]] += 1
            self.admission.release(request_id, self.now_ms)
        for decision in self.admission.dispatch_queued(self.now_ms):
            self.record_decision(decision)


def flood(service, flooding, seconds=10):
    """Offer 5 times the capacity in one rank and a third of it in each other rank."""
    for step in range(seconds * 100):
        for rank in Rank:
            if rank is flooding:
                for _ in range(5):
                    service.offer(rank)
            elif step % 3 == 0:
                service.offer(rank)
        service.advance()


@pytest.mark.parametrize("flooding", Rank)
def test_flood_of_any_rank_leaves_the_others_their_floor(flooding):
    service = Service()
    flood(service, flooding)
    capacity = 10 * 1_000
    floors = {Rank.URGENT: 0.5, Rank.STANDARD: 0.2, Rank.BULK: 0.1}
    assert sum(service.served.values()) * HOLD_MS >= 0.95 * capacity * 10
    for rank in Rank:
        owed = min(floors[rank], 1.0 if rank is flooding else 1 / 3)
        assert service.served[rank] * HOLD_MS >= 0.95 * owed * capacity * 10


def test_urgent_work_goes_first():
    service = Service()
    for _ in range(10):
        service.offer(Rank.BULK)
    assert isinstance(service.offer(Rank.BULK), Queued)
    assert isinstance(service.offer(Rank.URGENT), Queued)
    started = service.next_id
    service.advance(HOLD_MS)
    assert service.ends[0][1] == started


def test_request_is_refused_at_once_when_its_wait_would_pass_the_deadline():
    service = Service()
    for _ in range(10):
        service.offer(Rank.URGENT)
    service.advance(HOLD_MS)
    decisions = [service.offer(Rank.URGENT, deadline_ms=150) for _ in range(40)]
    reasons = {d.reason for d in decisions if isinstance(d, Refused)}
    queued = sum(isinstance(d, Queued) for d in decisions)
    assert reasons == {Reason.OVERLOAD} and 10 <= queued <= 20


def test_standing_overload_serves_the_newest_and_refuses_the_oldest():
    service = Service()
    for _ in range(200):
        for _ in range(5):
            service.offer(Rank.STANDARD)
        service.advance()
    newest = service.next_id
    assert all(newest - request_id < 100 for _, request_id in service.ends)


def test_queued_requests_are_refused_for_another_region_when_all_servers_leave():
    service = Service()
    for _ in range(12):
        service.offer(Rank.STANDARD)
    for name in ("b0", "b1"):
        service.backends.on_leaving(BackendLeaving(name, "list"), 0)
    service.advance()
    assert {r.reason for r in service.refused} == {Reason.NO_BACKEND}
    assert service.offer(Rank.URGENT) == Refused(13, Reason.NO_BACKEND)


def test_withdrawn_request_is_never_decided():
    service = Service()
    for _ in range(11):
        service.offer(Rank.STANDARD)
    service.admission.withdraw(11, 0)
    service.advance(HOLD_MS)
    assert service.ends == [] and service.refused == []


def test_sheds_lower_the_limit():
    service = Service()
    for _ in range(30):
        service.offer(Rank.BULK)
        shed = AttemptEnded("a", AttemptEnd.SHED, 1, 1)
        service.admission.observe(1, shed, 0)
    service.admission.adjust(1_000)
    assert service.admission.concurrency_limit("s") < 10


def test_forwarded_request_never_takes_a_borrowed_slot():
    service = Service()
    service.backends.set_member_position(0, 2, 0)
    hop = ForwardedFrom("peer", "grant", "attempt", 1)
    decisions = []
    for request_id in range(6):
        req = RequestArrived(
            request_id, "s", "page", "c", 900, Rank.URGENT, True, forwarded=hop
        )
        decisions.append(service.admission.offer(req, 0))
    assert decisions[:5] == [Admitted(request_id) for request_id in range(5)]
    assert decisions[5] == Refused(5, Reason.OVERLOAD)
