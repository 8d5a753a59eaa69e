"""Check that requests are forwarded to peers, with a scripted route chooser."""

from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    EndRequest,
    ForwardedFrom,
    RequestArrived,
    SendAttempt,
    Target,
)
from rhubarbwell_core.model import Address, Outcome, Rank, Reason
from rhubarbwell_core.requests import RequestLifecycle
from rhubarbwell_core.routing import RetryBudget, RouteChooser
from support.admissions import SlotAdmission

LOCAL_ADDRESS = Address("127.0.0.1", 1)


class ScriptedRoutes(RouteChooser):
    def __init__(self, peers=(), local=None, accepts=False):
        self.peers = list(peers)
        self.local = local
        self.accepts = accepts
        self.ended = []

    def configure(self, configuration, now_ms):
        return None

    def choose(self, req, attempt_id, *, exclude, now_ms):
        return self.local

    def record_attempt_end(self, ended, now_ms):
        return None

    def choose_peer(self, req, attempt_id, *, exclude, refused, now_ms):
        return self.peers.pop(0) if refused and self.peers else None

    def accept_forwarded(self, req, now_ms):
        return self.accepts

    def record_forwarded_end(self, req, now_ms):
        self.ended.append(req.request_id)


def make_part(**options):
    routes = ScriptedRoutes(**options)
    return RequestLifecycle("i-1", SlotAdmission("r"), routes, RetryBudget()), routes


def handle_arrival(part, forwarded=None):
    event = RequestArrived(
        1, "slotsvc", "page", "c", 900, Rank.URGENT, True, forwarded=forwarded
    )
    return list(part.handlers()[RequestArrived](event, 0))


def end_attempt(part, attempt_id, how):
    event = AttemptEnded(attempt_id, how, 0, 1)
    return list(part.handlers()[AttemptEnded](event, 1))


def test_request_refused_after_its_wait_goes_to_a_peer():
    part, _ = make_part(peers=[Target("p", LOCAL_ADDRESS, "g")])
    assert handle_arrival(part) == []
    (sent,) = part.drain_queue(900)
    assert isinstance(sent, SendAttempt) and sent.target.grant_id == "g"
    (ended,) = end_attempt(part, sent.attempt_id, AttemptEnd.ANSWERED)
    assert ended.outcome is Outcome.ANSWERED


def test_request_that_the_peer_refused_passes_admission_again():
    part, _ = make_part(peers=[Target("p", LOCAL_ADDRESS, "g")])
    for _ in range(10):
        part._retry_budget.record_first_attempt("slotsvc")
    handle_arrival(part)
    (sent,) = part.drain_queue(900)
    assert end_attempt(part, sent.attempt_id, AttemptEnd.PEER_NOT_RUN) == []
    assert part.requests[1].attempts == ()


def test_forwarded_request_without_grant_is_not_run():
    part, routes = make_part(accepts=False)
    actions = handle_arrival(part, ForwardedFrom("p", "g", "a", 1))
    assert actions == [EndRequest(1, Outcome.NOT_RUN, Reason.NO_CAPACITY)]
    assert routes.ended == []


def test_forwarded_request_is_not_forwarded_again_and_its_end_is_counted():
    part, routes = make_part(peers=[Target("p", LOCAL_ADDRESS, "g")], accepts=True)
    handle_arrival(part, ForwardedFrom("p", "g", "a", 1))
    (ended,) = part.drain_queue(900)
    assert ended.outcome is Outcome.NOT_RUN
    assert routes.ended == [1]
