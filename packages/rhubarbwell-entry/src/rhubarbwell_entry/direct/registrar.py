"""Registration and heartbeats of an entry instance in the metadata store."""

import asyncio
import logging
from collections.abc import Callable

from rhubarbwell_core.direct import (
    FollowerTracker,
    InstanceEntry,
    InstanceTable,
    StoreVersion,
)
from rhubarbwell_platform.errors import PlatformError
from rhubarbwell_platform.services import MetadataStore, RowWrite

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
# Rows without a sign of life for this time, such as those of crashed instances, are
# removed.
EXPIRY_MS = 60_000
MS_PER_S = 1_000


class Registrar:
    """Keep an instance's row in the store up to date.

    Instances that read the store write heartbeats, which also list their live
    followers. A follower writes its row when its state changes, and writes heartbeats
    only while no reader lists it.
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
        self._written_entry: InstanceEntry | None = None
        self._last_attempt_ms = -HEARTBEAT_PERIOD_MS
        self._started_ms = clock_ms()
        self._has_registered = False

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
        """Write the row with an incremented heartbeat; log a failed write."""
        self._last_attempt_ms = self._clock_ms()
        self._has_registered = True
        self._own_entry = self._own_entry._replace(beat=self._own_entry.beat + 1)
        entry = self._current_entry(self._last_attempt_ms)
        self._written_entry = None
        try:
            await self._store.write(
                RowWrite(self._table, entry.instance_id, encode_instance(entry))
            )
        except PlatformError as exc:
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
        if elapsed_ms < HEARTBEAT_PERIOD_MS:
            return False
        confirmed_ms = max(self._instances.own_confirmed_ms, self._last_attempt_ms)
        return (
            self._upstream.reads_store
            or now_ms - confirmed_ms >= CONFIRMATION_TIMEOUT_MS
        )

    def _current_entry(self, now_ms: int) -> InstanceEntry:
        entry = self._own_entry._replace(leaving=not self._is_ready())
        if not self._upstream.reads_store:
            return entry
        busy = self._followers.busy_ids(now_ms)
        if self._instances.own_is_busy:
            busy = (*busy, self._own_entry.instance_id)
        return entry._replace(followers=self._followers.ids(now_ms), busy=busy)
