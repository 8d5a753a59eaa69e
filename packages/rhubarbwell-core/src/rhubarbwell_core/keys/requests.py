"""Handle requests with idempotency keys, which run at most once."""

from collections.abc import Callable, Mapping, Sequence

from rhubarbwell_core.engine import (
    Action,
    EventHandler,
    Part,
    PeriodicCall,
    System,
    Table,
)
from rhubarbwell_core.keys.decisions import KeyDecision, key_decision
from rhubarbwell_core.keys.outcomes import OutcomeQueue
from rhubarbwell_core.keys.records import KeyRecord, KeyState, KeyTable, key_scope
from rhubarbwell_core.keys.tickets import TICKET_LIFETIME_MS, parse_ticket
from rhubarbwell_core.keys.waiting import (
    OwnerCheck,
    OwnerFinder,
    WaitingRequests,
    request_ids_of,
)
from rhubarbwell_core.messages import (
    ClaimKey,
    ClaimResult,
    KeptAnswer,
    KeyClaimEnded,
    KeyRead,
    OutcomesRecorded,
    ReadKey,
    RequestArrived,
    StoredKey,
)
from rhubarbwell_core.model import Outcome, Reason

__all__ = ["KeyedRequests", "StartRequest"]

StartRequest = Callable[[RequestArrived, int], list[Action]]

RECORD_LIFETIME_MS = TICKET_LIFETIME_MS
DEADLINE_PERIOD_MS = 50
OUTCOME_PERIOD_MS = 200
EXPIRY_PERIOD_MS = 5_000
MAX_STORED_BODY_BYTES = 4_096  # larger answers are kept in memory only


class KeyedRequests(Part):
    """Run the request of each key at most once and answer its repeats."""

    def __init__(
        self,
        incarnation: str,
        find_owner: OwnerFinder,
        check_owner: OwnerCheck = lambda req, owner: None,
    ) -> None:
        self.records = KeyTable()
        self.outcomes = OutcomeQueue()
        self.waiting = WaitingRequests(
            incarnation, self.records, find_owner, check_owner
        )
        self._incarnation = incarnation
        self._start: StartRequest = lambda req, now_ms: []
        self._running_scopes = Table[int, str]("scopes of running requests")
        self._last_id = 0

    def set_starter(self, start: StartRequest) -> None:
        """Set the function that is called to run a keyed request."""
        self._start = start

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handlers of the table service's replies."""
        return {
            KeyClaimEnded: self._on_claim_ended,
            KeyRead: self._on_key_read,
            OutcomesRecorded: self._on_outcomes_recorded,
        }

    def systems(self) -> Sequence[System]:
        """Return the systems that end waits, batch outcomes and expire records."""
        return (
            PeriodicCall(DEADLINE_PERIOD_MS, self.waiting.end_overdue),
            PeriodicCall(OUTCOME_PERIOD_MS, self._batch_outcomes),
            PeriodicCall(EXPIRY_PERIOD_MS, self.records.expire),
        )

    def is_keyed(self, req: RequestArrived) -> bool:
        """Return True if the request runs at most once under its key."""
        return bool(req.key) and not req.idempotent and req.forwarded is None

    def is_running(self, request_id: int) -> bool:
        """Return True if the request is the single run of a key."""
        return request_id in self._running_scopes

    def handle_request(self, req: RequestArrived, now_ms: int) -> list[Action]:
        """Run, replay, claim, pass on or queue a request with a key."""
        scope = key_scope(req)
        self.waiting.add(req, scope)
        record = self.records.get(scope)
        if record is not None:
            return self._apply_record(record, req, now_ms)
        ticket = parse_ticket(req.key or "")
        if ticket is None:
            return self._claim_key(req, scope, now_ms)
        if ticket.owner != self._incarnation:
            return self.waiting.pass_to_owner(req.request_id, ticket.owner)
        if not ticket.issued_ms <= now_ms < ticket.expires_ms():
            return self.waiting.read_row(req.request_id)
        return self._run_ticket(req, scope, ticket.expires_ms(), now_ms)

    def end_run(
        self,
        request_id: int,
        outcome: Outcome,
        reason: Reason,
        now_ms: int,
        *,
        status: int | None = None,
        answer: KeptAnswer | None = None,
    ) -> list[Action]:
        """Store the outcome of a key's run and end all requests waiting for the key.

        If the run was refused for its client account, the next request runs instead.
        """
        scope = self._running_scopes.remove(request_id)
        record = None if scope is None else self.records.get(scope)
        if record is None:
            return []
        if reason is Reason.UNKNOWN_ACCOUNT and record.waiters:
            # A repeat may have come with another key of the account, which is valid.
            return self._run_claimed_key(record._replace(leader=None), now_ms)
        state = _STATES_AFTER_RUN[outcome]
        expires_ms = max(record.expires_ms, now_ms + RECORD_LIFETIME_MS)
        ended = record._replace(
            state=state, leader=None, waiters=(), status=status, expires_ms=expires_ms
        )
        self.records.put(ended)
        if outcome is Outcome.ANSWERED:
            self._store_outcome(ended, answer)
        actions: list[Action] = []
        for waiter in record.waiters:
            if outcome is Outcome.ANSWERED:
                actions += self.waiting.replay_answer(waiter, ended)
            else:
                actions += self.waiting.end(waiter, outcome, reason)
        return actions

    def _batch_outcomes(self, now_ms: int) -> list[Action]:
        batch = self.outcomes.next_batch()
        return [] if batch is None else [batch]

    def _apply_record(
        self, record: KeyRecord, req: RequestArrived, now_ms: int
    ) -> list[Action]:
        request_id = req.request_id
        decision = key_decision(record, req.body_digest or "")
        if decision is KeyDecision.REFUSE_OTHER_BODY:
            return self.waiting.end(request_id, Outcome.NOT_RUN, Reason.KEY_REUSED)
        if decision is KeyDecision.REPLAY:
            return self.waiting.replay_answer(request_id, record)
        if decision is KeyDecision.END_UNKNOWN:
            return self.waiting.end(request_id, Outcome.UNKNOWN, Reason.BACKEND_FAILED)
        if decision is KeyDecision.RUN:
            return self._run_request(record, request_id, now_ms)
        if decision is KeyDecision.CLAIM:
            return self._claim_key(req, record.scope, now_ms)
        waiters = (*record.waiters, request_id)
        self.records.put(record._replace(waiters=waiters))
        return []

    def _run_ticket(
        self, req: RequestArrived, scope: str, expires_ms: int, now_ms: int
    ) -> list[Action]:
        if self.records.is_full():
            return self.waiting.end(req.request_id, Outcome.NOT_RUN, Reason.OVERLOAD)
        record = KeyRecord(
            scope, req.body_digest or "", KeyState.FREE, expires_ms, is_ticket=True
        )
        return self._run_request(record, req.request_id, now_ms)

    def _run_request(
        self, record: KeyRecord, request_id: int, now_ms: int
    ) -> list[Action]:
        req = self.waiting[request_id].request
        if req.deadline_ms <= now_ms:
            free = record._replace(state=KeyState.FREE, leader=None)
            self.records.put(free)
            expired = self.waiting.end(request_id, Outcome.NOT_RUN, Reason.DEADLINE)
            return [*expired, *self._run_claimed_key(free, now_ms)]
        self.records.put(record._replace(state=KeyState.RUNNING, leader=request_id))
        self.waiting.remove(request_id)
        self._running_scopes.insert(request_id, record.scope)
        return self._start(req, now_ms)

    def _claim_key(self, req: RequestArrived, scope: str, now_ms: int) -> list[Action]:
        if self.records.is_full():
            return self.waiting.end(req.request_id, Outcome.NOT_RUN, Reason.OVERLOAD)
        known = self.records.get(scope)
        record = KeyRecord(
            scope,
            req.body_digest or "",
            KeyState.CLAIMING,
            now_ms + RECORD_LIFETIME_MS,
            known.claim_id if known else self._new_claim_id(),
            leader=req.request_id,
        )
        self.records.put(record)
        return [ClaimKey(self._stored_key(record), req.deadline_ms)]

    def _on_claim_ended(self, event: KeyClaimEnded, now_ms: int) -> list[Action]:
        record = self.records.get(event.scope)
        if record is None or record.state is not KeyState.CLAIMING:
            return []
        if event.claim_id != record.claim_id:
            return []
        if event.result is ClaimResult.CLAIMED:
            return self._run_claimed_key(record, now_ms)
        if event.result is ClaimResult.UNAVAILABLE:
            return self._fail_claim(record)
        if event.result is ClaimResult.TAKEN:
            self.records.put(record._replace(state=KeyState.TAKEN))
        return [ReadKey(event.scope, self._latest_deadline_ms(record, now_ms))]

    def _on_key_read(self, event: KeyRead, now_ms: int) -> list[Action]:
        record = self.records.get(event.scope)
        if record is not None and record.state in _UNRESOLVED_STATES:
            return self._resolve_claim(record, event, now_ms)
        actions: list[Action] = []
        for request_id in list(self.waiting.requests_awaiting_row(event.scope)):
            actions += self.waiting.end_with_row(request_id, event.row)
        return actions

    def _resolve_claim(
        self, record: KeyRecord, event: KeyRead, now_ms: int
    ) -> list[Action]:
        row = event.row
        if row is None and record.state is KeyState.CLAIMING:
            return self._fail_claim(record)
        if row is not None and row.claim_id == record.claim_id:
            return self._run_claimed_key(record, now_ms)
        self.records.remove(record.scope)
        actions: list[Action] = []
        for request_id in request_ids_of(record):
            if row is None or row.status or row.claimer == self._incarnation:
                actions += self.waiting.end_with_row(request_id, row)
            else:
                actions += self.waiting.pass_to_owner(request_id, row.claimer)
        return actions

    def _run_claimed_key(self, record: KeyRecord, now_ms: int) -> list[Action]:
        request_ids = request_ids_of(record)
        if not request_ids:
            self.records.put(record._replace(state=KeyState.FREE))
            return []
        return self._run_request(
            record._replace(waiters=request_ids[1:]), request_ids[0], now_ms
        )

    def _fail_claim(self, record: KeyRecord) -> list[Action]:
        unsettled = record._replace(state=KeyState.UNSETTLED, leader=None, waiters=())
        self.records.put(unsettled)
        actions: list[Action] = []
        for request_id in request_ids_of(record):
            actions += self.waiting.end(
                request_id, Outcome.NOT_RUN, Reason.STORE_UNAVAILABLE
            )
        return actions

    def _store_outcome(self, record: KeyRecord, answer: KeptAnswer | None) -> None:
        if answer is not None:
            self.records.keep_answer(record.scope, answer)
        is_small = answer is not None and len(answer.body) <= MAX_STORED_BODY_BYTES
        row = self._stored_key(record)._replace(
            status=record.status, answer=answer if is_small else None
        )
        self.outcomes.add(row)

    def _on_outcomes_recorded(
        self, event: OutcomesRecorded, now_ms: int
    ) -> list[Action]:
        self.outcomes.on_recorded(event)
        return []

    def _latest_deadline_ms(self, record: KeyRecord, now_ms: int) -> int:
        deadlines = [
            self.waiting[request_id].request.deadline_ms
            for request_id in request_ids_of(record)
        ]
        return max(deadlines, default=now_ms)

    def _stored_key(self, record: KeyRecord) -> StoredKey:
        return StoredKey(
            record.scope, self._incarnation, record.claim_id, record.fingerprint
        )

    def _new_claim_id(self) -> str:
        self._last_id += 1
        return f"{self._incarnation}-k{self._last_id}"


_UNRESOLVED_STATES = frozenset({KeyState.CLAIMING, KeyState.TAKEN})
_STATES_AFTER_RUN = {
    Outcome.ANSWERED: KeyState.ANSWERED,
    Outcome.NOT_RUN: KeyState.FREE,
    Outcome.UNKNOWN: KeyState.UNKNOWN,
}
