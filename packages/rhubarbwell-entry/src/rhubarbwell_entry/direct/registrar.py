"""Registration and heartbeats of an entry instance in the metadata store."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

from rhubarbwell_core.direct import (
    FollowerTracker,
    InstanceEntry,
    InstanceTable,
    ReplicaRow,
    StoreVersion,
)
from rhubarbwell_platform.errors import ConflictError, PlatformError
from rhubarbwell_platform.services import EraTracker, MetadataStore, RowWrite

from rhubarbwell_entry.clocks import suspended_ms
from rhubarbwell_entry.direct.follower import Upstream
from rhubarbwell_entry.direct.registrations import encode_instance
from rhubarbwell_entry.logs import log_event

__all__ = ["Registrar"]

_log = logging.getLogger(__name__)

# Changes within one period, as at the start of a fleet, share one write.
CHECK_PERIOD_MS = 400
# Two heartbeats and their propagation fit into the liveness timeout of 4.4 s.
HEARTBEAT_PERIOD_MS = 2_000
# Half a heartbeat period, so that a failed write is retried before the next heartbeat
# is due.
WRITE_RETRY_MS = 1_000
# An instance that does not read the store registers once it is ready, or after this
# time, because nobody needs to find it before. The configuration of a fleet that starts
# for the first time is published meanwhile.
REGISTRATION_DELAY_MS = 4_000
# A follower that no reader has listed for this time writes its own heartbeat. The
# reader's heartbeats, every 2 s, reach its followers within about 1 s.
CONFIRMATION_TIMEOUT_MS = 3_300
# After a loss of the store's rows, a follower looks whether its row was lost once a
# reader has listed the rows, and writes it again at a random time of a period in which
# all instances together stay within this share of the store's rate of writes.
RESTORE_DELAY_MS = 1_000
MIN_RESTORE_SPREAD_MS = 1_000
MAX_RESTORE_SPREAD_MS = 2_500
RESTORE_WRITES_SHARE = 0.5
# Rows without a sign of life for this time, such as those of crashed instances, are
# removed.
EXPIRY_MS = 60_000
MS_PER_S = 1_000


class Registrar:
    """Keep an instance's row in the store up to date.

    Instances that read the store write heartbeats, which also list their live
    followers. A follower writes its row when its state changes, and writes heartbeats
    only while no reader lists it.

    If the store comes back from a copy, a reader writes its row again at once; a
    follower does so only if the store has lost the row.
    """

    def __init__(
        self,
        own: InstanceEntry,
        table: str,
        store: MetadataStore,
        instances: InstanceTable,
        followers: FollowerTracker,
        upstream: Upstream,
        row_version: Callable[[str], StoreVersion],
        is_ready: Callable[[], bool],
        clock_ms: Callable[[], int],
        *,
        eras: EraTracker,
        own_row: Callable[[], ReplicaRow | None],
        on_restored: Callable[[bool], None],
        synced_until_ms: Callable[[], int],
        divides_quotas: bool,
        max_writes_per_s: float,
        rng: Random,
        suspended_ms: Callable[[], int] = suspended_ms,
    ) -> None:
        self._own_entry = own
        self._table = table
        self._store = store
        self._instances = instances
        self._followers = followers
        self._upstream = upstream
        self._row_version = row_version
        self._is_ready = is_ready
        self._clock_ms = clock_ms
        self._eras = eras
        self._own_row = own_row
        self._on_restored = on_restored
        self._synced_until_ms = synced_until_ms
        # Only quotas need to know whether a listed row was removed before the start,
        # and the write that tells so may have to be repeated.
        self._divides_quotas = divides_quotas
        self._max_writes_per_s = max_writes_per_s
        self._rng = rng
        self._suspended_ms = suspended_ms
        # The beats of the entry go on from its first one like a clock.
        self._beat_offset_ms = own.beat - clock_ms() - suspended_ms()
        # Time from which the row is written again unless the store still has it.
        self._restore_due_ms: int | None = None
        eras.subscribe(self._schedule_restoration)
        self._written_entry: InstanceEntry | None = None
        self._last_attempt_ms = -HEARTBEAT_PERIOD_MS
        self._started_ms = clock_ms()
        self._has_registered = False
        # True if the row of an earlier process was listed before the first write.
        self.was_listed = False
        # Time in ms up to which that list was current; None if the row may have been
        # removed before the first write.
        self.listed_ms: int | None = None
        # Time in ms before the last write that succeeded.
        self._written_ms: int | None = None

    @property
    def confirmed_ms(self) -> int | None:
        """Return the last time in ms at which the row was known to be in the store.

        This is None if the row was not seen since the start.
        """
        listed_ms = self._instances.own_confirmed_ms
        if self._written_ms is None:
            return listed_ms if listed_ms >= self._started_ms else None
        return max(self._written_ms, listed_ms)

    async def run(self) -> None:
        """Write due changes and heartbeats until cancelled."""
        while True:
            await self.write_if_due()
            await asyncio.sleep(CHECK_PERIOD_MS / MS_PER_S)

    async def write_if_due(self) -> None:
        """Write the row if a write is due; a store reader then removes expired rows."""
        if not self._is_due(self._clock_ms()):
            return
        await self.write_heartbeat()
        if self._upstream.reads_store:
            await self.remove_expired()

    async def write_heartbeat(self) -> None:
        """Write the row with the next heartbeat; log a failed write."""
        self._last_attempt_ms = self._clock_ms()
        expected_version = None
        listed = None if self._has_registered else self._own_row()
        if listed is not None:
            self.was_listed = True
            if self._divides_quotas:
                self.listed_ms = self._synced_until_ms()
                expected_version = listed.version
        self._has_registered = True
        self._own_entry = self._own_entry._replace(beat=self._next_beat())
        entry = self._current_entry(self._last_attempt_ms)
        self._written_entry = None
        try:
            era = await self._store.write(
                RowWrite(
                    self._table,
                    entry.instance_id,
                    encode_instance(entry),
                    expected_version=expected_version,
                )
            )
        except PlatformError as exc:
            # The row may have been removed since it was listed.
            self.listed_ms = None
            if expected_version is not None and isinstance(exc, ConflictError):
                await self.write_heartbeat()
                return
            log_event(
                _log,
                logging.WARNING,
                "beat_failed",
                "cannot write the registration of this instance to the store",
                beat=entry.beat,
                error=str(exc),
            )
            return
        self._written_entry = entry
        self._written_ms = self._last_attempt_ms
        if era == self._eras.current and self._restore_due_ms is not None:
            self._restore_due_ms = None
            self._on_restored(True)

    async def remove_expired(self) -> None:
        """Remove the rows of instances without a sign of life for EXPIRY_MS.

        A row stays if its instance, which was only suspended, has written it since it
        was read.
        """
        for instance_id in self._instances.expired_ids(EXPIRY_MS):
            version = self._row_version(instance_id)
            try:
                await self._store.write(
                    RowWrite(self._table, instance_id, None, expected_version=version)
                )
            except PlatformError as exc:
                log_event(
                    _log,
                    logging.INFO,
                    "registration_kept",
                    "cannot remove the row of an expired instance",
                    instance_id=instance_id,
                    error=str(exc),
                )
                return

    def _is_due(self, now_ms: int) -> bool:
        elapsed_ms = now_ms - self._last_attempt_ms
        if not self._has_registered and not self._upstream.reads_store:
            waited_ms = now_ms - self._started_ms
            return self._is_ready() or waited_ms >= REGISTRATION_DELAY_MS
        if self._written_entry is None:
            return elapsed_ms >= WRITE_RETRY_MS
        if self._current_entry(now_ms) != self._written_entry:
            return True
        if self._is_restoration_due(now_ms):
            return True
        if elapsed_ms < HEARTBEAT_PERIOD_MS:
            return False
        confirmed_ms = max(self._instances.own_confirmed_ms, self._last_attempt_ms)
        return (
            self._upstream.reads_store
            or now_ms - confirmed_ms >= CONFIRMATION_TIMEOUT_MS
        )

    def _next_beat(self) -> int:
        """Return the time in ms by a steady clock, which no other beat has."""
        # Others tell from it how late the row is, also after a suspension.
        elapsed_ms = self._clock_ms() + self._suspended_ms()
        return max(self._beat_offset_ms + elapsed_ms, self._own_entry.beat + 1)

    def _schedule_restoration(self, old_era: int, new_era: int) -> None:
        """Set the time at which the row is written again in a new era of the store."""
        now_ms = self._clock_ms()
        if self._upstream.reads_store:
            self._restore_due_ms = now_ms
            return
        writers = len(self._instances.sender_ids())
        spread_ms = MS_PER_S * writers / (RESTORE_WRITES_SHARE * self._max_writes_per_s)
        spread_ms = min(max(spread_ms, MIN_RESTORE_SPREAD_MS), MAX_RESTORE_SPREAD_MS)
        delay_ms = RESTORE_DELAY_MS + self._rng.uniform(0.0, spread_ms)
        self._restore_due_ms = now_ms + round(delay_ms)

    def _is_restoration_due(self, now_ms: int) -> bool:
        """Return True if the store may have lost the row and it is time to write it."""
        if self._restore_due_ms is None or now_ms < self._restore_due_ms:
            return False
        row = self._own_row()
        is_kept = (
            row is not None
            and row.version.era == self._eras.current
            and self._written_entry is not None
            and row.value == encode_instance(self._written_entry)
        )
        if is_kept:
            self._restore_due_ms = None
            self._on_restored(False)
        return not is_kept

    def _current_entry(self, now_ms: int) -> InstanceEntry:
        entry = self._own_entry._replace(leaving=not self._is_ready())
        if not self._upstream.reads_store:
            return entry
        busy = self._followers.busy_ids(now_ms)
        if self._instances.own_is_busy:
            busy = (*busy, self._own_entry.instance_id)
        return entry._replace(followers=self._followers.ids(now_ms), busy=busy)
