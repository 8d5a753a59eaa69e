"""Track keyed requests that wait for a run, a stored row or the key's owner."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from rhubarbwell_core.engine import Action, Table
from rhubarbwell_core.keys.records import KeyRecord, KeyState, KeyTable
from rhubarbwell_core.messages import (
    AttemptEnd,
    AttemptEnded,
    CancelAttempt,
    EndRequest,
    KeptAnswer,
    PassToOwner,
    ReadKey,
    ReplayAnswer,
    RequestArrived,
    StoredKey,
)
from rhubarbwell_core.model import Address, Outcome, Reason

__all__ = [
    "OwnerCheck",
    "OwnerFinder",
    "WaitingRequest",
    "WaitingRequests",
    "request_ids_of",
]

OwnerFinder = Callable[[str], Address | None]
# Returns why a request must not be passed to the owner of its key, None if it may.
OwnerCheck = Callable[[RequestArrived, str], Reason | None]

_REFUSAL_REASONS = {
    AttemptEnd.ACCOUNT_REFUSED: Reason.UNKNOWN_ACCOUNT,
    AttemptEnd.REGION_REFUSED: Reason.HOME_REGION,
}


class WaitingRequest(NamedTuple):
    """Hold a keyed request that is not running.

    attempt_id names its attempt at the key's owner; awaits_row is set while the
    key's row is being read.
    """

    request: RequestArrived
    scope: str
    attempt_id: str | None = None
    awaits_row: bool = False


class WaitingRequests:
    """Hold the keyed requests that are not running and end each exactly once."""

    def __init__(
        self,
        incarnation: str,
        records: KeyTable,
        find_owner: OwnerFinder,
        check_owner: OwnerCheck = lambda req, owner: None,
    ) -> None:
        self._rows = Table[int, WaitingRequest]("waiting keyed requests")
        self._attempts = Table[str, int]("attempts at owners")
        self._incarnation = incarnation
        self._records = records
        self._find_owner = find_owner
        self._check_owner = check_owner
        self._last_id = 0

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._rows

    def __getitem__(self, request_id: int) -> WaitingRequest:
        return self._rows[request_id]

    def __len__(self) -> int:
        return len(self._rows)

    def add(self, req: RequestArrived, scope: str) -> None:
        """Add a request that waits."""
        self._rows.insert(req.request_id, WaitingRequest(req, scope))

    def get(self, request_id: int) -> WaitingRequest | None:
        """Return the request, or None if it is not waiting."""
        return self._rows.get(request_id)

    def remove(self, request_id: int) -> None:
        """Remove a request that starts to run."""
        self._rows.remove(request_id)

    def requests_awaiting_row(self, scope: str) -> Iterator[int]:
        """Yield the ids of the requests that wait for the key's row."""
        for request_id, waiting in self._rows.items():
            if waiting.scope == scope and waiting.awaits_row:
                yield request_id

    def handle_caller_gone(self, request_id: int) -> list[Action]:
        """End a waiting request whose caller has gone, or cancel its attempt."""
        waiting = self._rows.get(request_id)
        if waiting is None:
            return []
        if waiting.attempt_id is not None:
            return [CancelAttempt(waiting.attempt_id)]
        return self._detach_and_end_request(
            request_id, Outcome.UNKNOWN, Reason.CALLER_GONE
        )

    def handle_attempt_ended(self, event: AttemptEnded) -> list[Action]:
        """End a request after its attempt at the key's owner, or read the key's row."""
        request_id = self._attempts.remove(event.attempt_id)
        if request_id is None or request_id not in self._rows:
            return []
        if event.end is AttemptEnd.ANSWERED:
            return self.end(request_id, Outcome.ANSWERED, Reason.SERVED)
        if event.end is AttemptEnd.PEER_NOT_RUN:
            reason = event.peer_reason or Reason.NO_CAPACITY
            return self.end(request_id, Outcome.NOT_RUN, reason)
        if event.end in _REFUSAL_REASONS:
            refusal = _REFUSAL_REASONS[event.end]
            return self.end(request_id, Outcome.NOT_RUN, refusal)
        if event.bytes_sent == 0:
            return self.read_row(request_id)
        return self.end(request_id, Outcome.UNKNOWN, Reason.OWNER_LOST)

    def end_overdue(self, now_ms: int) -> list[Action]:
        """End the requests past their deadline, except those at a key's owner."""
        actions: list[Action] = []
        for request_id, waiting in self._rows.items():
            is_overdue = waiting.request.deadline_ms <= now_ms
            if is_overdue and waiting.attempt_id is None:
                actions += self._end_overdue_request(
                    request_id, waiting, Reason.DEADLINE
                )
        return actions

    def end_all(self) -> list[Action]:
        """End all waiting requests because the entry instance stops."""
        actions: list[Action] = []
        for request_id, waiting in self._rows.items():
            if waiting.attempt_id is not None:
                actions.append(CancelAttempt(waiting.attempt_id))
            actions += self._detach_and_end_request(
                request_id, Outcome.UNKNOWN, Reason.STOPPING
            )
        return actions

    def pass_to_owner(self, request_id: int, owner: str) -> list[Action]:
        """Pass a request to its key's owner, or read the row if the owner is unknown.

        A request that came from a peer is not passed on again; its row is read. One of
        an account that the owner must not get is refused.
        """
        waiting = self._rows[request_id]
        address = self._find_owner(owner)
        if address is None or waiting.request.is_from_peer:
            return self.read_row(request_id)
        refusal = self._check_owner(waiting.request, owner)
        if refusal is not None:
            return self.end(request_id, Outcome.NOT_RUN, refusal)
        attempt_id = self._new_attempt_id()
        self._rows.put(request_id, waiting._replace(attempt_id=attempt_id))
        self._attempts.insert(attempt_id, request_id)
        deadline_ms = waiting.request.deadline_ms
        return [PassToOwner(request_id, attempt_id, address, deadline_ms)]

    def read_row(self, request_id: int) -> list[Action]:
        """Read the row of a waiting request's key."""
        waiting = self._rows[request_id]
        self._rows.put(request_id, waiting._replace(attempt_id=None, awaits_row=True))
        return [ReadKey(waiting.scope, waiting.request.deadline_ms)]

    def end_with_row(self, request_id: int, row: StoredKey | None) -> list[Action]:
        """End a request with the row's outcome, or as unknown without an outcome."""
        waiting = self._rows[request_id]
        if row is None or row.status is None:
            return self.end(request_id, Outcome.UNKNOWN, Reason.OWNER_LOST)
        if row.fingerprint != (waiting.request.body_digest or ""):
            return self.end(request_id, Outcome.NOT_RUN, Reason.KEY_REUSED)
        return self._end_with_answer(request_id, row.answer)

    def replay_answer(self, request_id: int, record: KeyRecord) -> list[Action]:
        """End a repeat with the kept answer of the run."""
        return self._end_with_answer(
            request_id, self._records.kept_answer(record.scope)
        )

    def end(self, request_id: int, outcome: Outcome, reason: Reason) -> list[Action]:
        """Remove a waiting request and return the actions that end it."""
        waiting = self._rows.remove(request_id)
        if waiting is not None and waiting.attempt_id is not None:
            self._attempts.remove(waiting.attempt_id)
        return [EndRequest(request_id, outcome, reason)]

    def _end_with_answer(
        self, request_id: int, answer: KeptAnswer | None
    ) -> list[Action]:
        if answer is None:
            return self.end(request_id, Outcome.ANSWERED, Reason.ANSWER_NOT_KEPT)
        end = self.end(request_id, Outcome.ANSWERED, Reason.SERVED)
        return [ReplayAnswer(request_id, answer), *end]

    def _end_overdue_request(
        self, request_id: int, waiting: WaitingRequest, reason: Reason
    ) -> list[Action]:
        record = self._records.get(waiting.scope)
        is_claiming = record is not None and record.state is KeyState.CLAIMING
        is_attached = record is not None and request_id in request_ids_of(record)
        outcome = Outcome.NOT_RUN if is_claiming and is_attached else Outcome.UNKNOWN
        if outcome is Outcome.NOT_RUN:
            reason = Reason.STORE_UNAVAILABLE
        return self._detach_and_end_request(request_id, outcome, reason)

    def _detach_and_end_request(
        self, request_id: int, outcome: Outcome, reason: Reason
    ) -> list[Action]:
        waiting = self._rows[request_id]
        record = self._records.get(waiting.scope)
        if record is not None and record.leader == request_id:
            self._records.put(record._replace(leader=None))
        elif record is not None and request_id in record.waiters:
            rest = tuple(other for other in record.waiters if other != request_id)
            self._records.put(record._replace(waiters=rest))
        return self.end(request_id, outcome, reason)

    def _new_attempt_id(self) -> str:
        self._last_id += 1
        return f"{self._incarnation}-o{self._last_id}"


def request_ids_of(record: KeyRecord) -> tuple[int, ...]:
    """Return the ids of the leading and the waiting requests, the leader first."""
    leader = () if record.leader is None else (record.leader,)
    return leader + record.waiters
