"""Test that the grantor and borrower take only steps of the specification."""

from random import Random

import pytest
from models import grants_spec as spec
from models.grants_spec import GRANT_TICKS, REGION_CAP, Action, Ask, Reply, State
from rhubarbwell_core.grants import Borrower, BorrowerKey, Grantor, LenderKey
from rhubarbwell_core.messages import Allowance
from rhubarbwell_core.model import Rank

TICK_MS = 1_000
SERVICE = "slotsvc"
GRANTOR = "g"
KEY = LenderKey(GRANTOR, SERVICE)


class Implementation:
    """Run the real grantors and borrowers; one tick of the specification is 1 s."""

    def __init__(self):
        self.now_ms = 0
        self.grantors = [Grantor(GRANTOR, f"g-{n}") for n in (0, 1)]
        self.borrowers = [Borrower(f"b{n}", f"b{n}-1", "north") for n in (0, 1)]
        self.asks = {}
        self.replies = {}
        self.grant_ids = {}
        self.lines = {}
        self.arrived = None

    def perform(self, action: Action, state: State) -> None:
        getattr(self, f"perform_{action.kind}")(action, state)

    def perform_tick(self, action, state):
        self.now_ms += TICK_MS
        for grantor in self.grantors:
            grantor.remove_expired(self.now_ms)

    def perform_claim(self, action, state):
        return None

    def perform_ask(self, action, state):
        borrower = self.borrowers[action.borrower]
        wanted = Allowance(REGION_CAP, REGION_CAP, REGION_CAP)
        ask = borrower.create_grant_ask(GRANTOR, "south", SERVICE, wanted, self.now_ms)
        self.asks[action.message] = ask

    def perform_grant(self, action, state):
        elsewhere = self.grantors[1 - action.incarnation].running_requests(SERVICE)
        cap = Allowance(REGION_CAP - elsewhere, REGION_CAP, REGION_CAP)
        reply = self.grantors[action.incarnation].answer(
            self.asks[action.message],
            cap,
            self.now_ms,
            duration_ms=GRANT_TICKS * TICK_MS,
        )
        self.replies[action.borrower, action.message.number, action.incarnation] = reply

    def perform_reply(self, action, state):
        borrower, number, incarnation, _ = action.message
        reply = self.replies[borrower, number, incarnation]
        self.grant_ids[borrower, incarnation, number] = reply.grant.grant_id
        self.borrowers[borrower].apply_reply(reply, self.now_ms)

    def perform_send(self, action, state):
        borrower = self.borrowers[action.borrower]
        assert borrower.usable_lenders(SERVICE, Rank.URGENT, self.now_ms) == [KEY]
        borrower.record_start(KEY)

    def perform_arrive(self, action, state):
        request = action.message
        grant_id = self.grant_ids[request.borrower, request.incarnation, request.ask]
        grantor = self.grantors[request.incarnation]
        accepted = grantor.accept(grant_id, Rank.URGENT, self.now_ms)
        if accepted is None:
            self.borrowers[request.borrower].record_end(KEY)

    def perform_end(self, action, state):
        incarnation = f"b{action.borrower}-1"
        self.grantors[action.incarnation].record_end(BorrowerKey(incarnation, SERVICE))
        self.borrowers[action.borrower].record_end(KEY)

    def compared_values(self):
        """Return the values that must equal those of the specification."""
        borrower_views = []
        for n, borrower in enumerate(self.borrowers):
            lender = borrower.lenders.get(KEY)
            in_use = 0 if lender is None else lender.in_use
            free = bool(borrower.usable_lenders(SERVICE, Rank.URGENT, self.now_ms))
            accounts = [
                grantor.borrowers.get(BorrowerKey(f"b{n}-1", SERVICE))
                for grantor in self.grantors
            ]
            running = [0 if acc is None else acc.running for acc in accounts]
            borrower_views.append(
                (in_use, borrower.granted_slots(SERVICE, self.now_ms), free, running)
            )
        reserved = [g.reserved_slots(SERVICE, self.now_ms) for g in self.grantors]
        return borrower_views, reserved


def compared_values_of_spec(state: State):
    borrower_views = []
    for n, borrower_state in enumerate(state.borrower_states):
        usable = spec.usable_slots(state, n)
        running = [accounts[n].running for accounts in state.accounts]
        borrower_views.append(
            (borrower_state.in_use, usable, borrower_state.in_use < usable, running)
        )
    return borrower_views, [
        sum(map(spec.reserved_slots, accounts)) for accounts in state.accounts
    ]


def random_action(state: State, rng: Random) -> tuple[Action, list[State]] | None:
    by_action: dict[Action, list[State]] = {}
    for action, successor in spec.transitions(state):
        by_action.setdefault(action, []).append(successor)
    if not by_action:
        return None
    actions = sorted(by_action, key=repr)
    weights = [0.3 if action.kind == "tick" else 1.0 for action in actions]
    action = rng.choices(actions, weights)[0]
    return action, by_action[action]


def compare_walk(seed: int, length: int = 60) -> int:
    """Return the number of random actions on which implementation and spec agree."""
    rng, implementation, state = Random(seed), Implementation(), State()
    for step in range(length):
        chosen = random_action(state, rng)
        if chosen is None:
            return step
        action, successors = chosen
        implementation.perform(action, state)
        matching = [s for s in successors if _matches(s, action, implementation)]
        assert matching, (
            seed,
            step,
            action,
            implementation.compared_values(),
            list(map(compared_values_of_spec, successors)),
        )
        state = matching[0]
    return length


def _matches(state: State, action: Action, implementation: Implementation) -> bool:
    if compared_values_of_spec(state) != implementation.compared_values():
        return False
    if action.kind != "grant":
        return True
    key = (action.borrower, action.message.number, action.incarnation)
    grant = implementation.replies[key].grant
    amount = 0 if grant is None else grant.allowance.concurrent
    net = {
        msg for msg in state.net if isinstance(msg, Reply) and _reply_key(msg) == key
    }
    return {msg.amount for msg in net} == ({amount} if amount else set())


def _reply_key(reply: Reply):
    return reply.borrower, reply.number, reply.incarnation


@pytest.mark.parametrize("seed", range(8))
def test_random_walks_agree(seed):
    compared = sum(compare_walk(1_000 * seed + n) for n in range(150))
    assert compared > 3_000


def test_wrong_margin_is_detected(monkeypatch):
    monkeypatch.setattr(spec, "MARGIN_TICKS", 2)
    with pytest.raises(AssertionError):
        for seed in range(60):
            compare_walk(seed)


def test_implementation_agrees_on_an_ask_in_transit():
    implementation, state = Implementation(), State()
    action, state = next(s for s in spec.transitions(state) if s[0].kind == "ask")
    implementation.perform(action, state)
    assert (
        state.net == {Ask(0, 1)}
        and compared_values_of_spec(state) == implementation.compared_values()
    )
