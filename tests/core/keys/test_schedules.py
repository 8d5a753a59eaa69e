"""Run cores under random schedules of a key's claims, runs and restarts."""

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

LOCAL_ADDRESS = Address("127.0.0.1", 1)
NAMES = ("a", "b", "c")
REQUESTS = 6
RESTARTS = 2
KEPT_ANSWER = KeptAnswer(201, (), b"booked")


class Schedule:
    """Deliver messages to three cores in a random order given by the seed."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.now_ms = 0
        self.cores = {}
        self.incarnations = Counter()
        self.rows = {}
        self.pending = []
        self.runs = []
        self.reported = {}
        self.passed_origins = {}
        self.original_ids = {}
        self.next_id = 0
        for name in NAMES:
            self.start_core(name)

    def start_core(self, name):
        self.incarnations[name] += 1
        identity = Identity(
            name,
            f"{name}-{self.incarnations[name]}",
            "r-a",
            "r",
            LOCAL_ADDRESS,
            LOCAL_ADDRESS,
        )
        core = Core(identity, self.rng, now_ms=self.now_ms)
        servers = tuple(
            BackendSpec(f"b{n}", "r-a", *LOCAL_ADDRESS, slots=9) for n in range(2)
        )
        service = ServiceSpec("paysvc", (WorkKind("pay", "POST", "/"),), servers)
        deployment = DeploymentSpec("d", (RegionSpec("r"),), (ZoneSpec("r-a", "r", 3),))
        cfg = Configuration(1, "x", deployment, {"paysvc": service})
        self.cores[name] = core
        self.apply_actions(name, core.handle(ConfigReceived(cfg), self.now_ms))
        for other, other_core in self.cores.items():
            for receiver, subject in ((core, other_core), (other_core, core)):
                if receiver is not subject and self.rng.random() < 0.8:
                    receiver.peers.put(
                        subject.identity.instance_id, _peer_record(subject, other)
                    )

    def feed(self, name, event, core=None):
        """Send an event to a core unless a restart has replaced it."""
        if core is None or self.cores[name] is core:
            self.apply_actions(name, self.cores[name].handle(event, self.now_ms))

    def apply_actions(self, name, actions):
        core = self.cores[name]
        for action in actions:
            handler = _HANDLERS.get(type(action))
            if handler is not None:
                handler(self, name, core, action)

    def defer(self, call):
        self.pending.append(call)

    def send_request(self, name, key, *, passed_for=None):
        self.next_id += 1
        if passed_for is None:
            self.reported[self.next_id] = []
            self.original_ids[self.next_id] = self.next_id
        else:
            *origin, request_id = passed_for
            self.passed_origins[name, self.cores[name], self.next_id] = origin
            self.original_ids[self.next_id] = self.original_ids[request_id]
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

    def run_until_settled(self, *, caller_chose_key):
        key = "order-1" if caller_chose_key else self.new_ticket()
        requests_left, restarts_left = REQUESTS, RESTARTS
        while requests_left or self.pending:
            self.now_ms += self.rng.choice((0, 1, 20, 200))
            for name in NAMES:
                self.apply_actions(name, self.cores[name].advance(self.now_ms))
            draw = self.rng.random()
            if requests_left and draw < 0.3:
                requests_left -= 1
                self.send_request(self.rng.choice(NAMES), key)
            elif restarts_left and draw < 0.36:
                restarts_left -= 1
                self.start_core(self.rng.choice(NAMES))
            elif self.pending:
                self.pending.pop(self.rng.randrange(len(self.pending)))()

    def new_ticket(self):
        core = self.cores["a"]
        key = core.look_up(LookUpQuery("paysvc", wants_ticket=True), 0).ticket
        assert parse_ticket(key or "") or core.state is not PeerState.READY
        return key

    def handle_claim_key(self, name, core, action):
        row = action.row

        def write_row():
            return self.rows.setdefault(row.scope, row) == row

        def end(result):
            self.feed(name, KeyClaimEnded(row.scope, row.claim_id, result), core)

        def deliver():
            draw = self.rng.random()
            if draw < 0.5:
                end(
                    ClaimResult.CLAIMED
                    if _try_insert_row(self, row)
                    else ClaimResult.TAKEN
                )
            elif draw < 0.65:
                write_row()
                end(ClaimResult.LOST)
            elif draw < 0.8:
                self.defer(write_row)
                end(ClaimResult.LOST)
            elif draw < 0.9:
                end(ClaimResult.LOST)
            else:
                end(ClaimResult.UNAVAILABLE)

        self.defer(deliver)

    def handle_read_key(self, name, core, action):
        def deliver():
            available = self.rng.random() < 0.8
            row = self.rows.get(action.scope) if available else None
            self.feed(name, KeyRead(action.scope, row, available), core)

        self.defer(deliver)

    def handle_record_outcomes(self, name, core, action):
        def deliver():
            written = self.rng.random() < 0.8
            if written:
                self.rows.update((row.scope, row) for row in action.rows)
            recorded = written and self.rng.random() < 0.8
            self.feed(name, OutcomesRecorded(action.batch_id, recorded), core)

        self.defer(deliver)

    def handle_send_attempt(self, name, core, action):
        def end(how, sent=1, answer=None):
            event = AttemptEnded(action.attempt_id, how, sent, 1, 201, answer=answer)
            self.feed(name, event, core)

        def deliver():
            draw = self.rng.random()
            if draw < 0.4:
                self.runs.append(self.original_ids[action.request_id])
                self.defer(lambda: end(AttemptEnd.ANSWERED, answer=KEPT_ANSWER))
            elif draw < 0.6:
                end(AttemptEnd.CONNECT_REFUSED, sent=0)
            elif draw < 0.7:
                end(AttemptEnd.SHED)
            elif draw < 0.85:
                self.runs.append(self.original_ids[action.request_id])
                end(AttemptEnd.RESET_BEFORE_ANSWER)
            else:
                self.defer(
                    lambda: self.runs.append(self.original_ids[action.request_id])
                )
                end(AttemptEnd.RESET_BEFORE_ANSWER)

        self.defer(deliver)

    def handle_pass_to_owner(self, name, core, action):
        def deliver():
            waiting = core.keys.waiting.get(action.request_id)
            owner = self.rng.choice(NAMES)
            for other, other_core in self.cores.items():
                if other_core is not core and self.rng.random() < 0.7:
                    owner = other
            if waiting is None or self.cores[owner] is core or self.rng.random() < 0.1:
                how, sent = AttemptEnd.CONNECT_REFUSED, 0
                event = AttemptEnded(action.attempt_id, how, sent, 1)
                self.feed(name, event, core)
                return
            origin = (name, core, action.attempt_id, action.request_id)
            self.send_request(owner, waiting.request.key, passed_for=origin)

        self.defer(deliver)

    def handle_end_request(self, name, core, action):
        origin = self.passed_origins.pop((name, core, action.request_id), None)
        if origin is None:
            self.reported.get(action.request_id, []).append(action.outcome)
            return
        origin_name, origin_core, attempt_id = origin
        end = _PEER_ENDS[action.outcome]
        self.defer(
            lambda: self.feed(
                origin_name, AttemptEnded(attempt_id, end, 1, 1), origin_core
            )
        )


def _try_insert_row(schedule, row):
    return schedule.rows.setdefault(row.scope, row) is row


def _peer_record(core, name):
    incarnation = core.identity.incarnation
    address, ready = core.identity.callers, PeerState.READY
    return PeerRecord(name, incarnation, "r-a", "r", address, address, ready, 1, 1)


_PEER_ENDS = {
    Outcome.ANSWERED: AttemptEnd.ANSWERED,
    Outcome.NOT_RUN: AttemptEnd.PEER_NOT_RUN,
    Outcome.UNKNOWN: AttemptEnd.PEER_UNKNOWN,
}
_HANDLERS = {
    ClaimKey: Schedule.handle_claim_key,
    ReadKey: Schedule.handle_read_key,
    RecordOutcomes: Schedule.handle_record_outcomes,
    SendAttempt: Schedule.handle_send_attempt,
    PassToOwner: Schedule.handle_pass_to_owner,
    EndRequest: Schedule.handle_end_request,
    ReplayAnswer: lambda *_: None,
}


def find_violations(caller_chose_key, seeds):
    violations, outcomes = [], Counter()
    for seed in seeds:
        schedule = Schedule(seed)
        schedule.run_until_settled(caller_chose_key=caller_chose_key)
        reported = {
            outcome for reports in schedule.reported.values() for outcome in reports
        }
        outcomes.update(reported)
        if len(schedule.runs) > 1:
            violations.append((seed, "two runs"))
        if any(len(reports) > 1 for reports in schedule.reported.values()):
            violations.append((seed, "two outcomes reported"))
        if Outcome.ANSWERED in reported and not schedule.runs:
            violations.append((seed, "answered without a run"))
        not_run = {
            n for n, reports in schedule.reported.items() if Outcome.NOT_RUN in reports
        }
        if not_run & set(schedule.runs):
            violations.append((seed, "reported not run, but ran"))
        if schedule.runs and len(not_run) == len(schedule.reported):
            violations.append((seed, "all reported not run, but ran"))
    return violations, outcomes


@pytest.mark.parametrize("caller_chose_key", [True, False])
def test_no_schedule_runs_a_key_twice_or_reports_a_false_outcome(caller_chose_key):
    violations, outcomes = find_violations(caller_chose_key, range(250))
    assert violations == []
    assert min(outcomes[outcome] for outcome in Outcome) > 20


@pytest.mark.parametrize("caller_chose_key", [True, False])
def test_schedules_find_a_run_repeated_after_an_unknown_outcome(
    monkeypatch, caller_chose_key
):
    states = keyed_requests._STATES_AFTER_RUN
    monkeypatch.setitem(states, Outcome.UNKNOWN, KeyState.FREE)
    assert find_violations(caller_chose_key, range(120))[0]
