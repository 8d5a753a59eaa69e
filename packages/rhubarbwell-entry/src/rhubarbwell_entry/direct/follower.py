"""Replication of the metadata store's tables by long polling."""

import asyncio
import logging
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from rhubarbwell_core.direct import NO_VERSION, ReplicaUpdate
from rhubarbwell_platform.errors import HistoryLostError, PlatformError
from rhubarbwell_platform.services import MetadataStore

from rhubarbwell_entry.direct.state import FleetState
from rhubarbwell_entry.logs import log_event

__all__ = ["PollSchedule", "StoreHealth", "TableFollower", "Upstream"]

_log = logging.getLogger(__name__)

# Bounds of the random retry delay, before it is multiplied for the instance's rank.
MIN_RETRY_MS = 100
MAX_RETRY_MS = 500
# From the second failure on, the retry delay doubles with each instance ranked before
# this one, up to this rank, so that the whole fleet does not call an unavailable store
# at once. A single failed call must not make a stale copy older than its bound.
MAX_RANK = 3
# In a new era of the store, an instance that follows a reader lists a table itself only
# after a random time up to this one, in which the reader passes its listing on.
MAX_LISTING_DELAY_MS = 500
UPSTREAM_CHECK_S = 0.1
# Servers' entries expire after three missed heartbeats of 1.5 s, two of which a server
# may have missed before the store failed.
MIN_EXPIRY_OUTAGE_MS = 1_500
# Longer than the store's calls may take besides the time for which they are held open.
MAX_ANSWER_MS = 1_000
MS_PER_S = 1_000


class PollSchedule(NamedTuple):
    """Hold the times, in ms, with which a table is polled.

    The store holds a call open for wait_ms. The next call follows after pause_ms, so
    that many changes take few calls, or after settle_ms if the call listed the whole
    table: instances that start together choose their reader in that time. A copy
    older than stale_ms counts as stale.
    """

    table: str
    wait_ms: int
    pause_ms: int
    stale_ms: int
    settle_ms: int = 1_100


class Upstream:
    """Store the id of the instance that this instance polls, None for the store.

    rank is the number of instances that are preferred over this one as store reader.
    awaits_seeds is True while a starting instance asks seed instances first.
    """

    def __init__(self) -> None:
        self.reader: str | None = None
        self.rank = 0
        self.awaits_seeds = False

    @property
    def reads_store(self) -> bool:
        """Return True if this instance reads the store itself."""
        return self.reader is None and not self.awaits_seeds


class StoreHealth:
    """Track since when the store is up, over the calls for all tables.

    Failed calls of this instance alone do not show that the store is out. What another
    store reader has seen meanwhile goes before them, and a failure between successful
    calls that is too short for entries to expire does not count as an outage.

    on_lost is called when calls begin to fail, on_up with the time in ms since which
    the store is known to be up when that changes.
    """

    def __init__(
        self,
        on_lost: Callable[[], None],
        on_up: Callable[[int], None],
        clock_ms: Callable[[], int],
    ) -> None:
        self.is_out = False
        self._on_lost = on_lost
        self._on_up = on_up
        self._clock_ms = clock_ms
        self._up_since_ms = self._last_success_ms = clock_ms()

    @property
    def up_ms(self) -> int:
        """Return for how many ms the store is known to be up, 0 while it is out."""
        return 0 if self.is_out else self._clock_ms() - self._up_since_ms

    def record_success(self) -> None:
        """Mark the store as up after a successful call."""
        now_ms = self._clock_ms()
        if self.is_out:
            outage_ms = now_ms - self._last_success_ms
            is_short = outage_ms < MIN_EXPIRY_OUTAGE_MS
            self._mark_up(self._up_since_ms if is_short else now_ms)
        self._last_success_ms = now_ms

    def record_peer(self, up_ms: int) -> None:
        """Mark the store as up for as long as another store reader has seen it up."""
        now_ms = self._clock_ms()
        since_ms = now_ms - up_ms
        if since_ms <= self._last_success_ms:
            # The store answered one of the two readers all the time.
            since_ms = min(since_ms, self._up_since_ms)
        if self.is_out or since_ms < self._up_since_ms:
            self._mark_up(since_ms)
        self._last_success_ms = now_ms

    def _mark_up(self, since_ms: int) -> None:
        if self.is_out:
            log_event(
                _log,
                logging.INFO,
                "store_regained",
                "the metadata store answers again",
                up_ms=self._clock_ms() - since_ms,
            )
        self.is_out = False
        self._up_since_ms = since_ms
        self._on_up(since_ms)

    def record_failure(self, table: str, exc: Exception) -> None:
        """Mark the store as unavailable after a failed call."""
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
    """Keep the local copy of one table up to date."""

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
        self._needs_listing = False
        self._failures = 0
        self._next_read_ms = 0

    async def run(self) -> None:
        """Poll the table until cancelled."""
        while True:
            if self._clock_ms() < self._next_read_ms or not self._needs_store_read():
                await asyncio.sleep(UPSTREAM_CHECK_S)
                continue
            started_ms = self._clock_ms()
            try:
                update = await self._read_update()
            except PlatformError as exc:
                self._health.record_failure(self._schedule.table, exc)
                self._schedule_retry()
                continue
            if update is None:
                continue
            self._failures = 0
            self._health.record_success()
            schedule = self._schedule
            now_ms = self._clock_ms()
            took_ms = now_ms - started_ms
            # A call that takes longer than its timeout was paused with the process, and
            # its answer may be as old as the call.
            is_paused = took_ms > schedule.wait_ms + MAX_ANSWER_MS
            age_ms = took_ms if is_paused else 0
            self._state.apply(schedule.table, update, now_ms, age_ms=age_ms)
            pause_ms = schedule.settle_ms if update.complete else schedule.pause_ms
            await asyncio.sleep(pause_ms / MS_PER_S)

    def _needs_store_read(self) -> bool:
        """Return True if this instance reads the store itself or its copy is stale.

        Logs a stale copy of the table.
        """
        if self._upstream.reads_store:
            return True
        if self._upstream.awaits_seeds:
            return False
        age_ms = self._clock_ms() - self._state.synced_until_ms[self._schedule.table]
        is_stale = age_ms > self._schedule.stale_ms
        if is_stale:
            log_event(
                _log,
                logging.INFO,
                "copy_stale",
                "the local copy of a table is stale; reading it from the store",
                table=self._schedule.table,
                reader=self._upstream.reader,
                age_ms=age_ms,
            )
        return is_stale

    async def _read_update(self) -> ReplicaUpdate | None:
        """Return an update, or None if the table is to be listed later."""
        table = self._schedule.table
        version = self._state.replicas[table].version
        if version > NO_VERSION and not self._needs_listing:
            try:
                return await self._store.read_changes(
                    table, version, self._schedule.wait_ms
                )
            except HistoryLostError:
                log_event(
                    _log,
                    logging.WARNING,
                    "history_lost",
                    "the store no longer holds a table's changes; listing it again",
                    table=table,
                    era=version.era,
                    version=version.number,
                )
                self._needs_listing = True
                is_new_era = self._state.eras.current > version.era
                if is_new_era and not self._upstream.reads_store:
                    delay_ms = self._rng.uniform(0.0, MAX_LISTING_DELAY_MS)
                    self._next_read_ms = self._clock_ms() + round(delay_ms)
                    return None
        update = await self._store.read_table(table)
        self._needs_listing = False
        return update

    def _schedule_retry(self) -> None:
        """Set the time of the next read after a failed call."""
        self._failures += 1
        longest_ms = min(MIN_RETRY_MS << min(self._failures, 4), MAX_RETRY_MS)
        pause_ms = self._rng.uniform(MIN_RETRY_MS, longest_ms)
        if self._failures > 1:
            pause_ms *= 1 << min(self._upstream.rank, MAX_RANK)
        self._next_read_ms = self._clock_ms() + round(pause_ms)
