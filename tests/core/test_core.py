from random import Random

from rhubarbwell_core import Core
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    ConfigReceived,
    EndRequest,
    RequestArrived,
    SendAttempt,
)
from rhubarbwell_core.model import (
    Address,
    BackendSpec,
    Configuration,
    DeploymentSpec,
    Identity,
    Outcome,
    Rank,
    RegionSpec,
    ServiceSpec,
    WorkKind,
    ZoneSpec,
)

HERE = Address("127.0.0.1", 1)


def make_core(backends=1):
    core = Core(Identity("i", "i-1", "r-a", "r", HERE, HERE), Random(1))
    servers = tuple(
        BackendSpec(f"b{n}", "r-a", "127.0.0.1", 9000 + n) for n in range(backends)
    )
    service = ServiceSpec("slotsvc", (WorkKind("page", "GET", "/"),), servers)
    deployment = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 1),))
    cfg = Configuration(1, "x", deployment, {"slotsvc": service})
    core.handle(ConfigReceived(cfg), 0)
    return core


def arrive(core, request_id=1, now_ms=0, idempotent=False):
    event = RequestArrived(
        request_id, "slotsvc", "page", "c", now_ms + 1000, Rank.STANDARD, idempotent
    )
    return core.handle(event, now_ms)


def test_request_is_sent_and_answered():
    core = make_core()
    (send,) = arrive(core)
    assert isinstance(send, SendAttempt) and send.target.target_id == "b0"
    actions = core.handle(AttemptEnded(send.attempt_id, AttemptEnd.ANSWERED, 9, 1), 1)
    assert actions == [EndRequest(1, Outcome.ANSWERED, actions[0].reason)]
    assert core.backends.rows["b0"].in_flight == 0


def test_request_without_backend_server_is_not_run():
    core = make_core(backends=0)
    ends = arrive(core) + core.advance(2_000)
    assert [end.outcome for end in ends] == [Outcome.NOT_RUN]
