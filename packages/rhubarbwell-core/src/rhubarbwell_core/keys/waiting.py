"""Keyed requests that wait for a run, a row of the table service or an owner."""

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

__all__ = ["OwnerFinder", "WaitingRequest", "WaitingRequests", "members_of"]

OwnerFinder = Callable[[str], Address | None]


class WaitingRequest(NamedTuple):
    """Hold a keyed request that is not running; reads tells of a row being read."""

    arrived: RequestArrived
    scope: str
    attempt_id: str | None = None
    reads: bool = False


class WaitingRequests:
    """Hold the keyed requests that do not run and end each once."""

    def __init__(
        self, incarnation: str, records: KeyTable, find_owner: OwnerFinder
    ) -> None:
        self._rows = Table[int, WaitingRequest]("waiting keyed requests")
        self._attempts = Table[str, int]("attempts at owners")
        self._incarnation = incarnation
        self._records = records
        self._find_owner = find_owner
        self._next_id = 0

    def __contains__(self, request_id: int) -> bool:
        return request_id in self._rows

    def __getitem__(self, request_id: int) -> WaitingRequest:
        return self._rows[request_id]

    def __len__(self) -> int:
        return len(self._rows)

    def add(self, req: RequestArrived, scope: str) -> None:
        """Let a request wait."""
        self._rows.insert(req.request_id, WaitingRequest(req, scope))

    def get(self, request_id: int) -> WaitingRequest | None:
        """Return the waiting request, None once it has ended or runs."""
        return self._rows.get(request_id)

    def remove(self, request_id: int) -> None:
        """Let a request wait no longer because it runs."""
        self._rows.remove(request_id)

    def readers_of(self, scope: str) -> Iterator[int]:
        """Yield the requests that wait for the row of the key."""
        for request_id, waiting in self._rows.items():
            if waiting.scope == scope and waiting.reads:
                yield request_id

    def caller_gone(self, request_id: int) -> list[Action]:
        """Forget a waiting request whose caller has gone."""
        waiting = self._rows.get(request_id)
        if waiting is None:
            return []
        if waiting.attempt_id is not None:
            return [CancelAttempt(waiting.attempt_id)]
        return self._leave(request_id, Outcome.UNKNOWN, Reason.CALLER_GONE)

    def attempt_ended(self, event: AttemptEnded) -> list[Action]:
        """Take in the end of an attempt at a key's owner."""
        request_id = self._attempts.remove(event.attempt_id)
        if request_id is None or request_id not in self._rows:
            return []
        if event.end is AttemptEnd.ANSWERED:
            return self.end(request_id, Outcome.ANSWERED, Reason.SERVED)
        if event.end is AttemptEnd.PEER_NOT_RUN:
            reason = event.peer_reason or Reason.NO_CAPACITY
            return self.end(request_id, Outcome.NOT_RUN, reason)
        if event.bytes_sent == 0:
            return self.read(request_id)
        return self.end(request_id, Outcome.UNKNOWN, Reason.OWNER_LOST)

    def end_overdue(self, now_ms: int) -> list[Action]:
        """End the waiting requests past their deadline but those at an owner."""
        actions: list[Action] = []
        for request_id, waiting in self._rows.items():
            is_overdue = waiting.arrived.deadline_ms <= now_ms
            if is_overdue and waiting.attempt_id is None:
                actions += self._give_up(request_id, waiting, Reason.DEADLINE)
        return actions

    def stop(self) -> list[Action]:
        """End every waiting request because the entry instance ends."""
        actions: list[Action] = []
        for request_id, waiting in self._rows.items():
            if waiting.attempt_id is not None:
                actions.append(CancelAttempt(waiting.attempt_id))
            actions += self._leave(request_id, Outcome.UNKNOWN, Reason.STOPPING)
        return actions

    def ask_owner(self, request_id: int, owner: str) -> list[Action]:
        """Pass a request to its key's owner, or read the row where there is none."""
        waiting = self._rows[request_id]
        address = self._find_owner(owner)
        if address is None or waiting.arrived.is_from_peer:
            return self.read(request_id)
        attempt_id = self._new_id()
        self._rows.put(request_id, waiting._replace(attempt_id=attempt_id))
        self._attempts.insert(attempt_id, request_id)
        deadline_ms = waiting.arrived.deadline_ms
        return [PassToOwner(request_id, attempt_id, address, deadline_ms)]

    def read(self, request_id: int) -> list[Action]:
        """Let a request wait for the row of its key."""
        waiting = self._rows[request_id]
        self._rows.put(request_id, waiting._replace(attempt_id=None, reads=True))
        return [ReadKey(waiting.scope, waiting.arrived.deadline_ms)]

    def end_by_row(self, request_id: int, row: StoredKey | None) -> list[Action]:
        """End a request by the recorded outcome, as unknown without one."""
        waiting = self._rows[request_id]
        if row is None or row.status is None:
            return self.end(request_id, Outcome.UNKNOWN, Reason.OWNER_LOST)
        if row.fingerprint != (waiting.arrived.body_digest or ""):
            return self.end(request_id, Outcome.NOT_RUN, Reason.KEY_REUSED)
        return self._replay_answer(request_id, row.answer)

    def replay(self, request_id: int, record: KeyRecord) -> list[Action]:
        """Answer a repeat of a run that has been answered."""
        return self._replay_answer(request_id, self._records.answer(record.scope))

    def end(self, request_id: int, outcome: Outcome, reason: Reason) -> list[Action]:
        """End a waiting request."""
        waiting = self._rows.remove(request_id)
        if waiting is not None and waiting.attempt_id is not None:
            self._attempts.remove(waiting.attempt_id)
        return [EndRequest(request_id, outcome, reason)]

    def _replay_answer(
        self, request_id: int, answer: KeptAnswer | None
    ) -> list[Action]:
        if answer is None:
            return self.end(request_id, Outcome.ANSWERED, Reason.ANSWER_NOT_KEPT)
        end = self.end(request_id, Outcome.ANSWERED, Reason.SERVED)
        return [ReplayAnswer(request_id, answer), *end]

    def _give_up(
        self, request_id: int, waiting: WaitingRequest, reason: Reason
    ) -> list[Action]:
        record = self._records.get(waiting.scope)
        claiming = record is not None and record.state is KeyState.CLAIMING
        leads = record is not None and request_id in members_of(record)
        outcome = Outcome.NOT_RUN if claiming and leads else Outcome.UNKNOWN
        if outcome is Outcome.NOT_RUN:
            reason = Reason.STORE_UNAVAILABLE
        return self._leave(request_id, outcome, reason)

    def _leave(self, request_id: int, outcome: Outcome, reason: Reason) -> list[Action]:
        waiting = self._rows[request_id]
        record = self._records.get(waiting.scope)
        if record is not None and record.leader == request_id:
            self._records.put(record._replace(leader=None))
        elif record is not None and request_id in record.waiters:
            rest = tuple(other for other in record.waiters if other != request_id)
            self._records.put(record._replace(waiters=rest))
        return self.end(request_id, outcome, reason)

    def _new_id(self) -> str:
        self._next_id += 1
        return f"{self._incarnation}-o{self._next_id}"


def members_of(record: KeyRecord) -> tuple[int, ...]:
    """Return the requests that lead and wait, the leader first."""
    leader = () if record.leader is None else (record.leader,)
    return leader + record.waiters
