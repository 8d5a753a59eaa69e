"""Store claims and outcomes of idempotency keys in the table service."""

import base64
import json
import logging

from rhubarbwell_core.errors import DECODING_ERRORS
from rhubarbwell_core.messages import (
    ClaimKey,
    ClaimResult,
    KeptAnswer,
    KeyClaimEnded,
    KeyRead,
    OutcomesRecorded,
    ReadKey,
    RecordOutcomes,
    StoredKey,
)
from rhubarbwell_platform import (
    Absent,
    AnswerLostError,
    ConflictError,
    PlatformError,
    TableService,
    UnavailableError,
    Write,
)
from rhubarbwell_platform.http import SocketTimeout

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.tasks import BackgroundTasks

__all__ = ["KeyStore", "decode_stored_key", "encode_stored_key"]

_log = logging.getLogger(__name__)

KEY_PREFIX = "keys/"
RECORD_TIMEOUT_MS = 5_000


class KeyStore:
    """Execute the core's store actions for idempotency keys.

    claim_writes and outcome_writes count rows, transactions counts write calls. All
    three include failed calls.
    """

    def __init__(self, driver: CoreDriver, tables: TableService) -> None:
        self.claim_writes = 0
        self.outcome_writes = 0
        self.transactions = 0
        self._driver = driver
        self._tables = tables
        self._tasks = BackgroundTasks()
        spawn = self._tasks.spawn
        driver.register(ClaimKey, lambda action: spawn(self._claim_key(action)))
        driver.register(ReadKey, lambda action: spawn(self._read_key(action)))
        driver.register(
            RecordOutcomes, lambda action: spawn(self._record_outcomes(action))
        )

    async def close(self) -> None:
        """Cancel the calls in progress."""
        await self._tasks.close()

    async def _claim_key(self, action: ClaimKey) -> None:
        row = action.row
        self.claim_writes += 1
        self.transactions += 1
        write = Write(KEY_PREFIX + row.scope, encode_stored_key(row), Absent())
        try:
            async with SocketTimeout(self._remaining_s(action.deadline_ms)):
                await self._tables.transact([write])
            result = ClaimResult.CLAIMED
        except ConflictError:
            result = ClaimResult.TAKEN
        except UnavailableError:
            result = ClaimResult.UNAVAILABLE
        except (AnswerLostError, TimeoutError):
            result = ClaimResult.LOST
        self._driver.handle(KeyClaimEnded(row.scope, row.claim_id, result))

    async def _read_key(self, action: ReadKey) -> None:
        key = KEY_PREFIX + action.scope
        try:
            async with SocketTimeout(self._remaining_s(action.deadline_ms)):
                rows = await self._tables.read([key])
            found = decode_stored_key(rows[key].value) if key in rows else None
            event = KeyRead(action.scope, found)
        except (PlatformError, TimeoutError, ValueError) as exc:
            log_event(
                _log,
                logging.WARNING,
                "key_unreadable",
                "could not read the row of an idempotency key",
                error=str(exc),
            )
            event = KeyRead(action.scope, None, available=False)
        self._driver.handle(event)

    async def _record_outcomes(self, action: RecordOutcomes) -> None:
        self.outcome_writes += len(action.rows)
        self.transactions += 1
        writes = [
            Write(KEY_PREFIX + row.scope, encode_stored_key(row)) for row in action.rows
        ]
        try:
            async with SocketTimeout(RECORD_TIMEOUT_MS / 1_000):
                await self._tables.transact(writes)
            recorded = True
        except (PlatformError, TimeoutError) as exc:
            log_event(
                _log,
                logging.WARNING,
                "outcomes_unrecorded",
                "could not record outcomes of idempotency keys; trying again",
                error=str(exc),
            )
            recorded = False
        self._driver.handle(OutcomesRecorded(action.batch_id, recorded))

    def _remaining_s(self, deadline_ms: int) -> float:
        return max(deadline_ms - self._driver.clock_ms(), 0) / 1_000


def encode_stored_key(row: StoredKey) -> str:
    """Return the JSON text that stores a row."""
    fields: dict[str, object] = row._asdict()
    if row.answer is not None:
        body = base64.b64encode(row.answer.body).decode()
        fields["answer"] = [row.answer.status, row.answer.headers, body]
    return json.dumps(fields, separators=(",", ":"))


def decode_stored_key(value: str) -> StoredKey:
    """Return the row that a JSON text stores; raise ValueError if it is malformed.

    >>> row = StoredKey("s", "i-1", "c", "f", 201, KeptAnswer(201, (("A", "b"),), b"x"))
    >>> decode_stored_key(encode_stored_key(row)) == row
    True
    """
    try:
        fields = json.loads(value)
        answer = fields.pop("answer")
        if answer is not None:
            status, headers, body = answer
            pairs = tuple((name, text) for name, text in headers)
            answer = KeptAnswer(status, pairs, base64.b64decode(body))
        return StoredKey(**fields, answer=answer)
    except DECODING_ERRORS as exc:
        raise ValueError(f"malformed row of an idempotency key: {exc}") from exc
