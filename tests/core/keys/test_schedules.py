"""The core's own code under random schedules of a key's claims, runs and restarts."""

from collections import Counter
from random import Random

import pytest
from rhubarbwell_core import Core
from rhubarbwell_core.keys import KeyState, parse_ticket
from rhubarbwell_core.keys import requests as keyed_requests
from rhubarbwell_core.lookups import LookUpQuery
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    ClaimKey,
    ClaimResult,
    ConfigReceived,
    EndRequest,
    KeptAnswer,
    KeyClaimEnded,
    KeyRead,
    OutcomesRecorded,
    PassToOwner,
    PeerRecord,
    PeerState,
    ReadKey,
    RecordOutcomes,
    ReplayAnswer,
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
NAMES = ("a", "b", "c")
REQUESTS = 6
RESTARTS = 2
KEPT = KeptAnswer(201, (), b"booked")


class Schedule:
    """Deliver one message after another, drawn by the seed, to three cores."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.now_ms = 0
        self.cores = {}
        self.lives = Counter()
        self.rows = {}
        self.pending = []
        self.runs = []
        self.told = {}
        self.passed = {}
        self.asked = {}
        self.next_id = 0
        for name in NAMES:
            self.start(name)

    def start(self, name):
        self.lives[name] += 1
        identity = Identity(name, f"{name}-{self.lives[name]}", "r-a", "r", HERE, HERE)
        core = Core(identity, self.rng, now_ms=self.now_ms)
        servers = tuple(BackendSpec(f"b{n}", "r-a", *HERE, slots=9) for n in range(2))
        service = ServiceSpec("paysvc", (WorkKind("pay", "POST", "/"),), servers)
        deployment = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 3),))
        cfg = Configuration(1, "x", deployment, {"paysvc": service})
        self.cores[name] = core
        self.do(name, core.handle(ConfigReceived(cfg), self.now_ms))
        for other, there in self.cores.items():
            for to, about in ((core, there), (there, core)):
                if to is not about and self.rng.random() < 0.8:
                    to.peers.put(about.identity.instance_id, _heard(about, other))

    def feed(self, name, event, core=None):
        """Hand an event to a core unless it has been replaced since."""
        if core is None or self.cores[name] is core:
            self.do(name, self.cores[name].handle(event, self.now_ms))

    def do(self, name, actions):
        core = self.cores[name]
        for action in actions:
            act = _ACTS.get(type(action))
            if act is not None:
                act(self, name, core, action)

    def later(self, call):
        self.pending.append(call)

    def ask(self, name, key, *, passed_for=None):
        self.next_id += 1
        if passed_for is None:
            self.told[self.next_id] = []
            self.asked[self.next_id] = self.next_id
        else:
            *origin, request_id = passed_for
            self.passed[name, self.cores[name], self.next_id] = origin
            self.asked[self.next_id] = self.asked[request_id]
        event = RequestArrived(
            self.next_id,
            "paysvc",
            "pay",
            "caller",
            self.now_ms + self.rng.choice((50, 5_000)),
            Rank.STANDARD,
            False,
            key=key,
            body_bytes=0,
            body_digest="f",
            is_from_peer=passed_for is not None,
        )
        self.feed(name, event)

    def run(self, own_key):
        key = "order-1" if own_key else self.ticket()
        asks, restarts = REQUESTS, RESTARTS
        while asks or self.pending:
            self.now_ms += self.rng.choice((0, 1, 20, 200))
            for name in NAMES:
                self.do(name, self.cores[name].advance(self.now_ms))
            draw = self.rng.random()
            if asks and draw < 0.3:
                asks -= 1
                self.ask(self.rng.choice(NAMES), key)
            elif restarts and draw < 0.36:
                restarts -= 1
                self.start(self.rng.choice(NAMES))
            elif self.pending:
                self.pending.pop(self.rng.randrange(len(self.pending)))()

    def ticket(self):
        core = self.cores["a"]
        key = core.look_up(LookUpQuery("paysvc", wants_ticket=True), 0).ticket
        assert parse_ticket(key or "") or core.state is not PeerState.READY
        return key

    def claim(self, name, core, action):
        row = action.row

        def land():
            return self.rows.setdefault(row.scope, row) == row

        def end(result):
            self.feed(name, KeyClaimEnded(row.scope, row.claim_id, result), core)

        def deliver():
            draw = self.rng.random()
            if draw < 0.5:
                end(ClaimResult.CLAIMED if _lands(self, row) else ClaimResult.TAKEN)
            elif draw < 0.65:
                land()
                end(ClaimResult.LOST)
            elif draw < 0.8:
                self.later(land)
                end(ClaimResult.LOST)
            elif draw < 0.9:
                end(ClaimResult.LOST)
            else:
                end(ClaimResult.UNAVAILABLE)

        self.later(deliver)

    def read(self, name, core, action):
        def deliver():
            available = self.rng.random() < 0.8
            row = self.rows.get(action.scope) if available else None
            self.feed(name, KeyRead(action.scope, row, available), core)

        self.later(deliver)

    def record(self, name, core, action):
        def deliver():
            written = self.rng.random() < 0.8
            if written:
                self.rows.update((row.scope, row) for row in action.rows)
            recorded = written and self.rng.random() < 0.8
            self.feed(name, OutcomesRecorded(action.batch_id, recorded), core)

        self.later(deliver)

    def send(self, name, core, action):
        def end(how, sent=1, answer=None):
            event = AttemptEnded(action.attempt_id, how, sent, 1, 201, answer=answer)
            self.feed(name, event, core)

        def deliver():
            draw = self.rng.random()
            if draw < 0.4:
                self.runs.append(self.asked[action.request_id])
                self.later(lambda: end(AttemptEnd.ANSWERED, answer=KEPT))
            elif draw < 0.6:
                end(AttemptEnd.CONNECT_REFUSED, sent=0)
            elif draw < 0.7:
                end(AttemptEnd.SHED)
            elif draw < 0.85:
                self.runs.append(self.asked[action.request_id])
                end(AttemptEnd.RESET_BEFORE_ANSWER)
            else:
                self.later(lambda: self.runs.append(self.asked[action.request_id]))
                end(AttemptEnd.RESET_BEFORE_ANSWER)

        self.later(deliver)

    def pass_on(self, name, core, action):
        def deliver():
            key = core.keys.waiting.get(action.request_id)
            owner = self.rng.choice(NAMES)
            for other, there in self.cores.items():
                if there is not core and self.rng.random() < 0.7:
                    owner = other
            if key is None or self.cores[owner] is core or self.rng.random() < 0.1:
                how, sent = AttemptEnd.CONNECT_REFUSED, 0
                event = AttemptEnded(action.attempt_id, how, sent, 1)
                self.feed(name, event, core)
                return
            origin = (name, core, action.attempt_id, action.request_id)
            self.ask(owner, key.arrived.key, passed_for=origin)

        self.later(deliver)

    def end(self, name, core, action):
        origin = self.passed.pop((name, core, action.request_id), None)
        if origin is None:
            self.told.get(action.request_id, []).append(action.outcome)
            return
        to, asker, attempt_id = origin
        end = _PEER_ENDS[action.outcome]
        self.later(lambda: self.feed(to, AttemptEnded(attempt_id, end, 1, 1), asker))


def _lands(schedule, row):
    return schedule.rows.setdefault(row.scope, row) is row


def _heard(core, name):
    incarnation = core.identity.incarnation
    there, ready = core.identity.callers, PeerState.READY
    return PeerRecord(name, incarnation, "r-a", "r", there, there, ready, 1, 1)


_PEER_ENDS = {
    Outcome.ANSWERED: AttemptEnd.ANSWERED,
    Outcome.NOT_RUN: AttemptEnd.PEER_NOT_RUN,
    Outcome.UNKNOWN: AttemptEnd.PEER_UNKNOWN,
}
_ACTS = {
    ClaimKey: Schedule.claim,
    ReadKey: Schedule.read,
    RecordOutcomes: Schedule.record,
    SendAttempt: Schedule.send,
    PassToOwner: Schedule.pass_on,
    EndRequest: Schedule.end,
    ReplayAnswer: lambda *_: None,
}


def find_wrongs(own_key, seeds):
    wrongs, outcomes = [], Counter()
    for seed in seeds:
        schedule = Schedule(seed)
        schedule.run(own_key)
        told = {outcome for words in schedule.told.values() for outcome in words}
        outcomes.update(told)
        if len(schedule.runs) > 1:
            wrongs.append((seed, "two runs"))
        if any(len(words) > 1 for words in schedule.told.values()):
            wrongs.append((seed, "told twice"))
        if Outcome.ANSWERED in told and not schedule.runs:
            wrongs.append((seed, "answered without a run"))
        not_run = {n for n, words in schedule.told.items() if Outcome.NOT_RUN in words}
        if not_run & set(schedule.runs):
            wrongs.append((seed, "told not run, but run"))
        if schedule.runs and len(not_run) == len(schedule.told):
            wrongs.append((seed, "all told not run, but run"))
    return wrongs, outcomes


@pytest.mark.parametrize("own_key", [True, False])
def test_no_schedule_runs_a_key_twice_or_tells_a_false_outcome(own_key):
    wrongs, outcomes = find_wrongs(own_key, range(250))
    assert wrongs == []
    assert min(outcomes[outcome] for outcome in Outcome) > 20


@pytest.mark.parametrize("own_key", [True, False])
def test_schedules_find_a_run_repeated_after_an_unknown_outcome(monkeypatch, own_key):
    states = keyed_requests._STATES_AFTER_RUN
    monkeypatch.setitem(states, Outcome.UNKNOWN, KeyState.FREE)
    assert find_wrongs(own_key, range(120))[0]
