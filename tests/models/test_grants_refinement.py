"""The real grantor and borrower take only steps that the specification allows."""

from random import Random

import pytest
from models import grants_spec as spec
from models.grants_spec import CAP, DURATION, Ask, Move, Reply, State
from rhubarbwell_core.grants import Borrower, BorrowerKey, Grantor, LenderKey
from rhubarbwell_core.messages import Allowance
from rhubarbwell_core.model import Rank

TICK_MS = 1_000
SERVICE = "slotsvc"
GRANTOR = "g"
KEY = LenderKey(GRANTOR, SERVICE)


class Real:
    """Run the real classes beside the specification, one tick being 1 s."""

    def __init__(self):
        self.now_ms = 0
        self.grantors = [Grantor(GRANTOR, f"g-{n}") for n in (0, 1)]
        self.borrowers = [Borrower(f"b{n}", f"b{n}-1", "north") for n in (0, 1)]
        self.asks = {}
        self.replies = {}
        self.grant_ids = {}
        self.lines = {}
        self.arrived = None

    def make(self, move: Move, state: State) -> None:
        getattr(self, f"make_{move.kind}")(move, state)

    def make_tick(self, move, state):
        self.now_ms += TICK_MS
        for grantor in self.grantors:
            grantor.remove_expired(self.now_ms)

    def make_claim(self, move, state):
        return None

    def make_ask(self, move, state):
        borrower = self.borrowers[move.borrower]
        wanted = Allowance(CAP, CAP, CAP)
        ask = borrower.ask(GRANTOR, "south", SERVICE, wanted, self.now_ms)
        self.asks[move.message] = ask

    def make_grant(self, move, state):
        elsewhere = self.grantors[1 - move.incarnation].running_requests(SERVICE)
        cap = Allowance(CAP - elsewhere, CAP, CAP)
        reply = self.grantors[move.incarnation].answer(
            self.asks[move.message], cap, self.now_ms, duration_ms=DURATION * TICK_MS
        )
        self.replies[move.borrower, move.message.number, move.incarnation] = reply

    def make_reply(self, move, state):
        borrower, number, incarnation, _ = move.message
        reply = self.replies[borrower, number, incarnation]
        self.grant_ids[borrower, incarnation, number] = reply.grant.grant_id
        self.borrowers[borrower].apply_reply(reply, self.now_ms)

    def make_send(self, move, state):
        borrower = self.borrowers[move.borrower]
        assert borrower.usable_lenders(SERVICE, Rank.URGENT, self.now_ms) == [KEY]
        borrower.record_start(KEY)

    def make_arrive(self, move, state):
        work = move.message
        grant_id = self.grant_ids[work.borrower, work.incarnation, work.ask]
        grantor = self.grantors[work.incarnation]
        line = grantor.accept(grant_id, Rank.URGENT, self.now_ms)
        if line is None:
            self.borrowers[work.borrower].record_end(KEY)

    def make_end(self, move, state):
        incarnation = f"b{move.borrower}-1"
        self.grantors[move.incarnation].record_end(BorrowerKey(incarnation, SERVICE))
        self.borrowers[move.borrower].record_end(KEY)

    def view(self):
        """Return what both worlds must agree on."""
        sides = []
        for n, borrower in enumerate(self.borrowers):
            line = borrower.lenders.get(KEY)
            in_use = 0 if line is None else line.in_use
            free = bool(borrower.usable_lenders(SERVICE, Rank.URGENT, self.now_ms))
            lines = [
                grantor.borrowers.get(BorrowerKey(f"b{n}-1", SERVICE))
                for grantor in self.grantors
            ]
            running = [0 if line is None else line.running for line in lines]
            sides.append(
                (in_use, borrower.granted_slots(SERVICE, self.now_ms), free, running)
            )
        reserved = [g.reserved_slots(SERVICE, self.now_ms) for g in self.grantors]
        return sides, reserved


def view_of(state: State):
    sides = []
    for n, side in enumerate(state.sides):
        usable = spec.usable(state, n)
        running = [lines[n].running for lines in state.lines]
        sides.append((side.in_use, usable, side.in_use < usable, running))
    return sides, [sum(map(spec.reserved, lines)) for lines in state.lines]


def choose(state: State, rng: Random) -> tuple[Move, list[State]] | None:
    by_move: dict[Move, list[State]] = {}
    for move, successor in spec.moves(state):
        by_move.setdefault(move, []).append(successor)
    if not by_move:
        return None
    moves = sorted(by_move, key=repr)
    weights = [0.3 if move.kind == "tick" else 1.0 for move in moves]
    move = rng.choices(moves, weights)[0]
    return move, by_move[move]


def walk(seed: int, length: int = 60) -> int:
    """Take random moves in both worlds and return how many were compared."""
    rng, real, state = Random(seed), Real(), State()
    for step in range(length):
        chosen = choose(state, rng)
        if chosen is None:
            return step
        move, successors = chosen
        real.make(move, state)
        fitting = [s for s in successors if _fits(s, move, real)]
        assert fitting, (seed, step, move, real.view(), list(map(view_of, successors)))
        state = fitting[0]
    return length


def _fits(state: State, move: Move, real: Real) -> bool:
    if view_of(state) != real.view():
        return False
    if move.kind != "grant":
        return True
    key = (move.borrower, move.message.number, move.incarnation)
    grant = real.replies[key].grant
    amount = 0 if grant is None else grant.allowance.concurrent
    net = {msg for msg in state.net if isinstance(msg, Reply) and _key(msg) == key}
    return {msg.amount for msg in net} == ({amount} if amount else set())


def _key(reply: Reply):
    return reply.borrower, reply.number, reply.incarnation


@pytest.mark.parametrize("seed", range(8))
def test_random_walks_agree(seed):
    compared = sum(walk(1_000 * seed + n) for n in range(150))
    assert compared > 3_000


def test_disagreement_is_noticed(monkeypatch):
    monkeypatch.setattr(spec, "MARGIN", 2)
    with pytest.raises(AssertionError):
        for seed in range(60):
            walk(seed)


def test_ask_in_transit_is_the_same_in_both_worlds():
    real, state = Real(), State()
    move, state = next(s for s in spec.moves(state) if s[0].kind == "ask")
    real.make(move, state)
    assert state.net == {Ask(0, 1)} and view_of(state) == real.view()
