"""Following the tables of the metadata store."""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from rhubarbwell_core.direct import ReplicaUpdate
from rhubarbwell_platform.errors import HistoryLostError, PlatformError
from rhubarbwell_platform.services import MetadataStore

from rhubarbwell_entry.direct.state import FleetState
from rhubarbwell_entry.logs import log_event

__all__ = ["PollSchedule", "StoreHealth", "TableFollower", "Upstream"]

_log = logging.getLogger(__name__)

FIRST_RETRY_MS = 100
MAX_RETRY_MS = 500
# The pause doubles with each instance that is to read before this one, as a store that
# is out for all would get the calls of all.
MAX_RANK = 3
UPSTREAM_CHECK_S = 0.1
MS_PER_S = 1_000


class PollSchedule(NamedTuple):
    """Set how a table is followed.

    A call waits at the store for wait_ms; pause_ms passes between two calls, so that
    many changes cost few calls, and settle_ms after a listing, in which instances that
    start together find out who reads. A copy older than stale_ms is not relied on.
    """

    table: str
    wait_ms: int
    pause_ms: int
    stale_ms: int
    settle_ms: int = 1_100


class Upstream:
    """Name the instance that reads the store for this one, None for itself.

    rank counts the instances that are to read the store rather than this one.
    """

    def __init__(self) -> None:
        self.reader: str | None = None
        self.rank = 0

    @property
    def reads_store(self) -> bool:
        """Tell whether this instance reads the store itself."""
        return self.reader is None


class StoreHealth:
    """Know since when the store has not answered, over all tables."""

    def __init__(
        self,
        on_lost: Callable[[], None],
        on_regained: Callable[[], None],
    ) -> None:
        self.is_out = False
        self._on_lost = on_lost
        self._on_regained = on_regained

    def record_success(self) -> None:
        """Note an answer."""
        if self.is_out:
            self.is_out = False
            log_event(
                _log, logging.INFO, "store_regained", "the metadata store answers again"
            )
            self._on_regained()

    def record_failure(self, table: str, exc: Exception) -> None:
        """Note a failed call."""
        if not self.is_out:
            self.is_out = True
            log_event(
                _log,
                logging.WARNING,
                "store_lost",
                "a call to the metadata store failed",
                table=table,
                error=str(exc),
            )
            self._on_lost()


class TableFollower:
    """Keep one table of the fleet's state up to date, until cancelled."""

    def __init__(
        self,
        schedule: PollSchedule,
        store: MetadataStore,
        state: FleetState,
        health: StoreHealth,
        upstream: Upstream,
        *,
        rng: Random,
        clock_ms: Callable[[], int],
    ) -> None:
        self._schedule = schedule
        self._store = store
        self._state = state
        self._health = health
        self._upstream = upstream
        self._rng = rng
        self._clock_ms = clock_ms
        self._needs_listing = True
        self._failures = 0
        self._next_read_ms = 0

    async def run(self) -> None:
        """Follow the table."""
        while True:
            if self._clock_ms() < self._next_read_ms or not self._needs_store_read():
                await asyncio.sleep(UPSTREAM_CHECK_S)
                continue
            try:
                update = await self._read()
            except PlatformError as exc:
                self._health.record_failure(self._schedule.table, exc)
                self._schedule_retry()
                continue
            self._failures = 0
            self._health.record_success()
            self._state.apply(self._schedule.table, update, self._clock_ms())
            schedule = self._schedule
            pause_ms = schedule.settle_ms if update.complete else schedule.pause_ms
            await asyncio.sleep(pause_ms / MS_PER_S)

    def _needs_store_read(self) -> bool:
        """Tell whether no other instance keeps the table fresh for this one."""
        if self._upstream.reads_store:
            return True
        age_ms = self._clock_ms() - self._state.synced_until_ms[self._schedule.table]
        is_stale = age_ms > self._schedule.stale_ms
        if is_stale:
            log_event(
                _log,
                logging.INFO,
                "copy_stale",
                "the copy of a table is old; reading it from the store",
                table=self._schedule.table,
                reader=self._upstream.reader,
                age_ms=age_ms,
            )
        return is_stale

    async def _read(self) -> ReplicaUpdate:
        table = self._schedule.table
        if not self._needs_listing:
            version = self._state.replicas[table].version
            try:
                return await self._store.read_changes(
                    table, version, self._schedule.wait_ms
                )
            except HistoryLostError:
                log_event(
                    _log,
                    logging.WARNING,
                    "history_lost",
                    "the store no longer has the changes of a table; listing it",
                    table=table,
                    version=version,
                )
                self._needs_listing = True
        update = await self._store.read_table(table)
        self._needs_listing = False
        return update

    def _schedule_retry(self) -> None:
        """Set when the store is asked again after a failed call."""
        self._failures += 1
        longest_ms = min(FIRST_RETRY_MS << min(self._failures, 4), MAX_RETRY_MS)
        pause_ms = self._rng.uniform(FIRST_RETRY_MS, longest_ms)
        pause_ms *= 1 << min(self._upstream.rank, MAX_RANK)
        self._next_read_ms = self._clock_ms() + round(pause_ms)
