"""Grantor and borrowers when messages are lost, late, duplicated or reordered."""

from hypothesis import settings, strategies
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    precondition,
    rule,
)
from rhubarbwell_core.grants import (
    GRANT_DURATION_MS,
    GRANT_MARGIN_MS,
    Borrower,
    BorrowerKey,
    Grantor,
    LenderKey,
    fits_within,
    sum_allowances,
)
from rhubarbwell_core.messages import Allowance
from rhubarbwell_core.model import Rank

CAP = Allowance(5, 1_000, 2_000)
SERVICE = "slotsvc"
KEY = LenderKey("g", SERVICE)
WANTED = strategies.builds(
    Allowance,
    strategies.integers(1, 8),
    strategies.integers(0, 1_500),
    strategies.integers(0, 2_500),
)
BORROWERS = strategies.integers(0, 2)


class GrantProtocol(RuleBasedStateMachine):
    asks = Bundle("asks")
    replies = Bundle("replies")
    forwarded = Bundle("forwarded")
    running = Bundle("running")

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.grantor = Grantor("g", "g-1")
        self.grants_from_ms = 0
        self.borrowers = [Borrower(f"b{n}", f"b{n}-1", "north") for n in range(3)]

    @rule(passed_ms=strategies.integers(1, 2_500))
    def wait(self, passed_ms):
        self.now_ms += passed_ms
        self.grantor.remove_expired(self.now_ms)

    @rule(target=asks, n=BORROWERS, wanted=WANTED)
    def ask(self, n, wanted):
        return n, self.borrowers[n].create_grant_ask(
            "g", "south", SERVICE, wanted, self.now_ms
        )

    @precondition(lambda self: self.now_ms >= self.grants_from_ms)
    @rule(target=replies, ask=asks)
    def answer(self, ask):
        n, message = ask
        return n, self.grantor.answer(message, CAP, self.now_ms)

    @rule(reply=replies)
    def apply_reply(self, reply):
        n, message = reply
        if message is not None:
            self.borrowers[n].apply_reply(message, self.now_ms)

    @rule(target=forwarded, n=BORROWERS)
    def send(self, n):
        borrower = self.borrowers[n]
        if not borrower.usable_lenders(SERVICE, Rank.URGENT, self.now_ms):
            return n, None, 0
        borrower.record_start(KEY)
        return n, borrower.lenders[KEY].grant.grant_id, self.now_ms

    @rule(target=running, sent=consumes(forwarded))
    def arrive(self, sent):
        n, grant_id, sent_ms = sent
        if grant_id is None:
            return n, None
        borrower_key = self.grantor.accept(grant_id, Rank.URGENT, self.now_ms)
        in_time = self.now_ms < sent_ms + GRANT_MARGIN_MS
        is_same = grant_id.startswith(self.grantor._incarnation)
        assert borrower_key is not None or not in_time or not is_same
        if borrower_key is None:
            self.borrowers[n].record_end(KEY)
        return n, borrower_key

    @rule(work=consumes(running))
    def end(self, work):
        n, borrower_key = work
        if borrower_key is None:
            return
        self.borrowers[n].record_end(KEY)
        if (
            borrower_key in self.grantor.borrowers
            and self.grantor.borrowers[borrower_key].running
        ):
            self.grantor.record_end(borrower_key)

    @rule()
    def restart_grantor(self):
        incarnation = f"g-{self.now_ms + 2}"
        self.grantor = Grantor("g", incarnation)
        self.grants_from_ms = self.now_ms + GRANT_DURATION_MS + GRANT_MARGIN_MS

    @invariant()
    def link_and_slots_stay_within_the_cap(self):
        usable = [
            borrower.lenders[KEY].grant.allowance
            for borrower in self.borrowers
            if borrower.granted_slots(SERVICE, self.now_ms)
        ]
        assert fits_within(sum_allowances(usable), CAP)
        assert self.grantor.reserved_slots(SERVICE, self.now_ms) <= CAP.concurrent
        assert fits_within(self.grantor.reserved_link("north", self.now_ms), CAP)

    @invariant()
    def borrower_stops_before_the_grantor_reuses(self):
        for n, borrower in enumerate(self.borrowers):
            if not borrower.granted_slots(SERVICE, self.now_ms):
                continue
            grant = borrower.lenders[KEY].grant
            if grant.grantor_incarnation != self.grantor._incarnation:
                assert self.now_ms < self.grants_from_ms
                continue
            state = self.grantor.borrowers[BorrowerKey(f"b{n}-1", SERVICE)]
            live = [r for r in state.reservations if self.now_ms < r.end_ms]
            assert any(fits_within(grant.allowance, r.allowance) for r in live)


GrantProtocol.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestGrantProtocol = GrantProtocol.TestCase
