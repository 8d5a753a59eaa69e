"""Store records of idempotency keys, limited in number, answer bytes and time."""

import hashlib
from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.messages import KeptAnswer, RequestArrived

__all__ = ["KeyRecord", "KeyState", "KeyTable", "key_scope"]

MAX_RECORDS = 20_000
MAX_KEPT_BYTES = 8 << 20


class KeyState(Enum):
    """Represent the state of a key's single run.

    TAKEN: the key already has a row, which is being read. UNSETTLED: the claim could
    not be confirmed, and the next request claims again with the same claim_id. FREE:
    the key is owned and has not run. UNKNOWN: the run may have happened.
    """

    CLAIMING = "claiming"
    TAKEN = "taken"
    UNSETTLED = "unsettled"
    FREE = "free"
    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class KeyRecord(NamedTuple):
    """Hold a key's state, its leading request and the requests that wait for it."""

    scope: str
    fingerprint: str
    state: KeyState
    expires_ms: int
    claim_id: str = ""
    is_ticket: bool = False
    leader: int | None = None
    waiters: tuple[int, ...] = ()
    status: int | None = None


class KeyTable:
    """Store key records and kept answers; only answers are evicted, oldest first."""

    def __init__(self) -> None:
        self._records: dict[str, KeyRecord] = {}
        self._answers: OrderedDict[str, KeptAnswer] = OrderedDict()
        self._kept_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[KeyRecord]:
        return iter(list(self._records.values()))

    @property
    def kept_bytes(self) -> int:
        """Return the size of the kept answers' bodies in bytes."""
        return self._kept_bytes

    def is_full(self) -> bool:
        """Return True if no more keys can be owned; records are never evicted."""
        return len(self._records) >= MAX_RECORDS

    def get(self, scope: str) -> KeyRecord | None:
        """Return the key record of a scope, or None if the scope has no record."""
        return self._records.get(scope)

    def put(self, record: KeyRecord) -> None:
        """Add a record, or replace the record of the same scope."""
        self._records[record.scope] = record

    def remove(self, scope: str) -> None:
        """Remove the record of a key that this instance failed to claim."""
        self._records.pop(scope, None)

    def kept_answer(self, scope: str) -> KeptAnswer | None:
        """Return the kept answer of a scope, or None if it was evicted."""
        return self._answers.get(scope)

    def keep_answer(self, scope: str, answer: KeptAnswer) -> None:
        """Keep an answer and evict the oldest answers beyond MAX_KEPT_BYTES."""
        self._drop_answer(scope)
        self._answers[scope] = answer
        self._kept_bytes += len(answer.body)
        while self._kept_bytes > MAX_KEPT_BYTES:
            self._drop_answer(next(iter(self._answers)))

    def expire(self, now_ms: int) -> None:
        """Remove the expired records that have no leading request."""
        for record in self:
            if record.expires_ms <= now_ms and record.leader is None:
                del self._records[record.scope]
                self._drop_answer(record.scope)

    def _drop_answer(self, scope: str) -> None:
        answer = self._answers.pop(scope, None)
        if answer is not None:
            self._kept_bytes -= len(answer.body)


def key_scope(req: RequestArrived) -> str:
    """Return the digest that identifies a caller's key at a service."""
    parts = (req.service, req.caller, req.key or "")
    digest = hashlib.sha256()
    for part in parts:
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.hexdigest()
