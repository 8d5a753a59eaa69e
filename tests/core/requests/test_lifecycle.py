from random import Random

import pytest
from rhubarbwell_core import Core
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    AttemptHeadersReceived,
    CallerGone,
    CancelAttempt,
    ConfigReceived,
    EndRequest,
    RequestArrived,
    SendAttempt,
    ShutdownForced,
)
from rhubarbwell_core.model import (
    Address,
    BackendSpec,
    Configuration,
    DeploymentSpec,
    Identity,
    Outcome,
    Rank,
    Reason,
    RegionSpec,
    ServiceSpec,
    WorkKind,
    ZoneSpec,
)

LOCAL_ADDRESS = Address("127.0.0.1", 1)


@pytest.fixture
def core():
    core = Core(
        Identity("i", "i-1", "r-a", "r", LOCAL_ADDRESS, LOCAL_ADDRESS), Random(1)
    )
    servers = tuple(BackendSpec(f"b{n}", "r-a", *LOCAL_ADDRESS) for n in range(3))
    service = ServiceSpec("slotsvc", (WorkKind("page", "GET", "/"),), servers)
    deployment = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 1),))
    core.handle(ConfigReceived(Configuration(1, "x", deployment, {"s": service})), 0)
    core.handle(
        ConfigReceived(Configuration(2, "x", deployment, {"slotsvc": service})), 0
    )
    # 40 answered requests save up 4 retries, which hedges need as well.
    for request_id in range(1000, 1040):
        (send,) = handle_arrival(core, request_id)
        core.handle(AttemptEnded(send.attempt_id, AttemptEnd.ANSWERED, 1, 1, 200), 1)
    return core


def handle_arrival(core, request_id=1, now_ms=1, idempotent=True, deadline_ms=1_000):
    event = RequestArrived(
        request_id,
        "slotsvc",
        "page",
        "c",
        deadline_ms,
        Rank.STANDARD,
        idempotent,
        body_bytes=0,
    )
    return of_type(core.handle(event, now_ms), SendAttempt, EndRequest)


def of_type(actions, *types):
    return [action for action in actions if isinstance(action, types)]


def end_attempt(core, attempt_id, how, sent=1, now_ms=2, **options):
    event = AttemptEnded(attempt_id, how, sent, 1, **options)
    return of_type(core.handle(event, now_ms), SendAttempt, EndRequest, CancelAttempt)


def in_flight(core):
    return sum(row.in_flight for row in core.backends.rows.rows())


def test_not_run_is_not_reported_once_an_earlier_attempt_may_have_run(core):
    (first,) = handle_arrival(core)
    (second,) = end_attempt(core, first.attempt_id, AttemptEnd.RESET_BEFORE_ANSWER)
    (third,) = end_attempt(core, second.attempt_id, AttemptEnd.CONNECT_REFUSED, sent=0)
    (ended,) = end_attempt(core, third.attempt_id, AttemptEnd.SHED)
    assert ended.outcome is Outcome.UNKNOWN


def spend_saved_retries(core):
    """Hedge slow requests until no saved retries are left."""
    for now_ms in range(0, 20_000, 400):
        deadline_ms = now_ms + 1_000
        (first,) = handle_arrival(core, 2000 + now_ms, now_ms, deadline_ms=deadline_ms)
        hedges = of_type(core.advance(now_ms + 260), SendAttempt)
        for send in [first, *hedges]:
            end_attempt(core, send.attempt_id, AttemptEnd.ANSWERED)
        if not hedges:
            return
    raise AssertionError("hedges did not spend the saved retries")


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize(
    "how", [AttemptEnd.CONNECT_REFUSED, AttemptEnd.CONNECT_TIMEOUT]
)
def test_server_without_connection_is_replaced_without_saved_retries(
    core, how, idempotent
):
    spend_saved_retries(core)
    (first,) = handle_arrival(core, idempotent=idempotent)
    (second,) = end_attempt(core, first.attempt_id, how, sent=0)
    assert isinstance(second, SendAttempt) and second.target != first.target
    (ended,) = end_attempt(core, second.attempt_id, AttemptEnd.ANSWERED)
    assert ended.outcome is Outcome.ANSWERED


def test_attempts_without_connection_are_limited(core):
    (send,) = handle_arrival(core)
    targets = set()
    while isinstance(send, SendAttempt):
        targets.add(send.target)
        (send,) = end_attempt(core, send.attempt_id, AttemptEnd.CONNECT_REFUSED, sent=0)
    assert (send.outcome, len(targets)) == (Outcome.NOT_RUN, 3)


def test_attempt_whose_bytes_were_sent_needs_a_saved_retry(core):
    spend_saved_retries(core)
    (first,) = handle_arrival(core)
    (ended,) = end_attempt(core, first.attempt_id, AttemptEnd.RESET_BEFORE_ANSWER)
    assert (ended.outcome, ended.reason) == (Outcome.UNKNOWN, Reason.BACKEND_FAILED)


def test_consumed_body_is_not_sent_again(core):
    (first,) = handle_arrival(core)
    how = AttemptEnd.RESET_BEFORE_ANSWER
    (ended,) = end_attempt(core, first.attempt_id, how, body_replayable=False)
    assert ended.outcome is Outcome.UNKNOWN


def test_silent_idempotent_attempt_is_hedged_and_the_loser_cancelled(core):
    (first,) = handle_arrival(core)
    assert of_type(core.advance(240), SendAttempt) == []
    (hedge,) = of_type(core.advance(260), SendAttempt)
    assert hedge.fresh_connection and hedge.target != first.target
    actions = core.handle(AttemptHeadersReceived(hedge.attempt_id, 200), 270)
    assert actions == [CancelAttempt(first.attempt_id)]
    (ended,) = end_attempt(core, hedge.attempt_id, AttemptEnd.ANSWERED, now_ms=271)
    assert ended.outcome is Outcome.ANSWERED
    assert end_attempt(core, first.attempt_id, AttemptEnd.CANCELLED, now_ms=272) == []
    assert in_flight(core) == 0


def test_hedge_that_fails_leaves_the_first_attempt_alone(core):
    (first,) = handle_arrival(core)
    (hedge,) = of_type(core.advance(260), SendAttempt)
    assert end_attempt(core, hedge.attempt_id, AttemptEnd.RESET_BEFORE_ANSWER) == []
    (ended,) = end_attempt(core, first.attempt_id, AttemptEnd.ANSWERED)
    assert ended.outcome is Outcome.ANSWERED


def test_silent_non_idempotent_attempt_is_not_hedged(core):
    handle_arrival(core, idempotent=False)
    assert of_type(core.advance(900), SendAttempt) == []


def test_caller_disconnect_cancels_attempts_and_starts_none(core):
    (first,) = handle_arrival(core)
    assert core.handle(CallerGone(1), 3) == [CancelAttempt(first.attempt_id)]
    (ended,) = end_attempt(core, first.attempt_id, AttemptEnd.CANCELLED)
    assert ended.reason is Reason.CALLER_GONE and in_flight(core) == 0


def test_stop_ends_all_open_requests_as_unknown(core):
    started = [handle_arrival(core, n, idempotent=False) for n in range(12)]
    actions = core.handle(ShutdownForced(), 5)
    outcomes = {end.request_id: end.outcome for end in of_type(actions, EndRequest)}
    assert outcomes == dict.fromkeys(range(12), Outcome.UNKNOWN)
    cancelled = {cancel.attempt_id for cancel in of_type(actions, CancelAttempt)}
    assert cancelled == {send.attempt_id for sends in started for send in sends}
