"""Store slot leases in the table service."""

import json
import logging
from collections.abc import Mapping

from rhubarbwell_core.errors import DECODING_ERRORS
from rhubarbwell_core.messages import (
    ClaimSlot,
    ReadSlots,
    ReleaseSlot,
    RenewalResult,
    RenewSlots,
    SlotClaimAnswered,
    SlotRenewal,
    SlotRow,
    SlotsAnswered,
    SlotsRenewed,
    StoreResult,
)
from rhubarbwell_platform import (
    Absent,
    AnswerLostError,
    Condition,
    ConflictError,
    PlatformError,
    Row,
    TableService,
    UnavailableError,
    VersionIs,
    Write,
)
from rhubarbwell_platform.http import SocketTimeout
from tenacity import AsyncRetrying, retry_if_exception_type, stop_after_attempt

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event
from rhubarbwell_entry.tasks import BackgroundTasks

__all__ = ["SlotStore", "decode_slot", "encode_slot", "slot_key"]

_log = logging.getLogger(__name__)

SLOT_PREFIX = "slots/"
CALL_TIMEOUT_S = 2.0
MAX_RENEWAL_ATTEMPTS = 3


class SlotStore:
    """Execute the core's actions on slot leases.

    transactions counts write calls, including those that failed.
    """

    def __init__(self, driver: CoreDriver, tables: TableService) -> None:
        self.transactions = 0
        self._driver = driver
        self._tables = tables
        self._tasks = BackgroundTasks()
        spawn = self._tasks.spawn
        driver.register(ReadSlots, lambda action: spawn(self._read_slots(action)))
        driver.register(ClaimSlot, lambda action: spawn(self._claim_slot(action)))
        driver.register(RenewSlots, lambda action: spawn(self._renew_slots(action)))
        driver.register(ReleaseSlot, lambda action: spawn(self._release_slot(action)))

    async def close(self) -> None:
        """Cancel the calls in progress."""
        await self._tasks.close()

    async def _read_slots(self, action: ReadSlots) -> None:
        rows: tuple[SlotRow, ...] | None = None
        try:
            async with SocketTimeout(CALL_TIMEOUT_S):
                found = await self._tables.scan(f"{SLOT_PREFIX}{action.zone}/")
            rows = tuple(decode_slot(row.value) for row in found)
        except (PlatformError, TimeoutError, ValueError) as exc:
            log_event(
                _log,
                logging.WARNING,
                "slots_unreadable",
                "could not read the zone's slots",
                error=str(exc),
            )
        self._driver.handle(SlotsAnswered(action.call_id, rows))

    async def _claim_slot(self, action: ClaimSlot) -> None:
        try:
            async with SocketTimeout(CALL_TIMEOUT_S):
                await self._compare_and_set(action)
            result = StoreResult.DONE
        except ConflictError:
            result = StoreResult.CONFLICT
        except (PlatformError, TimeoutError, ValueError) as exc:
            log_event(
                _log,
                logging.WARNING,
                "slot_unclaimed",
                "could not claim a slot",
                error=str(exc),
            )
            result = StoreResult.UNAVAILABLE
        self._driver.handle(SlotClaimAnswered(action.call_id, result))

    async def _compare_and_set(self, action: ClaimSlot) -> None:
        key = slot_key(action.row.zone, action.row.slot)
        row = (await self._tables.read([key])).get(key)
        found = None if row is None else decode_slot(row.value)
        if found != action.expected:
            raise ConflictError(key)
        condition: Condition = Absent() if row is None else VersionIs(row.version)
        await self._transact([Write(key, encode_slot(action.row), condition)])

    async def _renew_slots(self, action: RenewSlots) -> None:
        retrying = AsyncRetrying(
            retry=retry_if_exception_type(ConflictError),
            stop=stop_after_attempt(MAX_RENEWAL_ATTEMPTS),
            reraise=True,
        )
        try:
            async with SocketTimeout(CALL_TIMEOUT_S):
                results: tuple[RenewalResult, ...] = await retrying(
                    self._renew_slots_once, action.renewals
                )
        except (PlatformError, TimeoutError, ValueError) as exc:
            log_event(
                _log,
                logging.WARNING,
                "slots_unrenewed",
                "could not renew slots",
                error=str(exc),
            )
            results = (RenewalResult.UNAVAILABLE,) * len(action.renewals)
        self._driver.handle(SlotsRenewed(action.call_id, results))

    async def _renew_slots_once(
        self, renewals: tuple[SlotRenewal, ...]
    ) -> tuple[RenewalResult, ...]:
        rows = await self._tables.read([_renewal_key(renewal) for renewal in renewals])
        held = [_is_held(renewal, rows) for renewal in renewals]
        writes = {}
        for renewal, is_held in zip(renewals, held, strict=True):
            if is_held:
                key = _renewal_key(renewal)
                writes[key] = _renewal_write(rows[key])
        if writes:
            await self._transact(list(writes.values()))
        return tuple(
            RenewalResult.RENEWED if is_held else RenewalResult.LOST for is_held in held
        )

    async def _release_slot(self, action: ReleaseSlot) -> None:
        renewal = SlotRenewal(*action)
        key = _renewal_key(renewal)
        try:
            async with SocketTimeout(CALL_TIMEOUT_S):
                rows = await self._tables.read([key])
                if _is_held(renewal, rows):
                    condition = VersionIs(rows[key].version)
                    await self._transact([Write(key, None, condition)])
        except (PlatformError, TimeoutError, ValueError) as exc:
            log_event(
                _log,
                logging.WARNING,
                "slot_unreleased",
                "could not release a slot; its lease will expire",
                error=str(exc),
            )

    async def _transact(self, writes: list[Write]) -> None:
        self.transactions += 1
        try:
            await self._tables.transact(writes)
        except AnswerLostError as exc:
            raise UnavailableError(str(exc)) from exc


def slot_key(zone: str, slot: int) -> str:
    """Return the table key of a slot.

    >>> slot_key("tirol-a", 1)
    'slots/tirol-a/001'
    """
    return f"{SLOT_PREFIX}{zone}/{slot:03d}"


def encode_slot(row: SlotRow) -> str:
    """Return the JSON text that stores a slot's row."""
    return json.dumps(row._asdict(), sort_keys=True, separators=(",", ":"))


def decode_slot(text: str) -> SlotRow:
    """Return the row that a JSON text stores; raise ValueError if it is malformed."""
    try:
        return SlotRow(**json.loads(text))
    except DECODING_ERRORS as exc:
        raise ValueError(f"malformed row of a slot: {exc}") from exc


def _renewal_key(renewal: SlotRenewal) -> str:
    return slot_key(renewal.zone, renewal.slot)


def _is_held(renewal: SlotRenewal, rows: Mapping[str, Row]) -> bool:
    row = rows.get(_renewal_key(renewal))
    if row is None:
        return False
    return decode_slot(row.value).incarnation == renewal.incarnation


def _renewal_write(row: Row) -> Write:
    slot = decode_slot(row.value)
    renewed = slot._replace(renewals=slot.renewals + 1)
    return Write(row.key, encode_slot(renewed), VersionIs(row.version))
