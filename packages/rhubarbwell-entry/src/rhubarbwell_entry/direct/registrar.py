"""The registration of an entry instance in the store, and its heartbeats."""

import asyncio
import logging
from collections.abc import Callable

from rhubarbwell_core.direct import FollowerTracker, InstanceEntry, InstanceTable
from rhubarbwell_platform.errors import PlatformError
from rhubarbwell_platform.services import MetadataStore, RowWrite

from rhubarbwell_entry.direct.follower import Upstream
from rhubarbwell_entry.direct.registrations import encode_instance
from rhubarbwell_entry.logs import log_event

__all__ = ["Registrar"]

_log = logging.getLogger(__name__)

# Changes that come together, as when a fleet starts, cost one write.
CHECK_PERIOD_MS = 400
# Two beats and their way fit into the silence after which an instance counts as gone.
HEARTBEAT_PERIOD_MS = 2_000
# Half of a beat's period, so that one failed write is made good before the next beat.
WRITE_RETRY_MS = 1_000
# The reader's beats, every 2 s, reach its followers within about a second.
CONFIRMATION_TIMEOUT_MS = 3_300
# Registrations of instances that ended without one word are removed after this time.
EXPIRY_MS = 60_000
MS_PER_S = 1_000


class Registrar:
    """Keep an instance's row in the store as others need it.

    Instances that read the store beat, and answer in their beats for those that
    follow them. A follower writes its row when its own state changes, and beats
    itself where nobody answers for it.
    """

    def __init__(
        self,
        own: InstanceEntry,
        table: str,
        store: MetadataStore,
        instances: InstanceTable,
        followers: FollowerTracker,
        upstream: Upstream,
        is_ready: Callable[[], bool],
        clock_ms: Callable[[], int],
    ) -> None:
        self._own_entry = own
        self._table = table
        self._store = store
        self._instances = instances
        self._followers = followers
        self._upstream = upstream
        self._is_ready = is_ready
        self._clock_ms = clock_ms
        self._written_entry: InstanceEntry | None = None
        self._last_attempt_ms = -HEARTBEAT_PERIOD_MS

    async def run(self) -> None:
        """Keep the row up to date until cancelled."""
        while True:
            await self.write_if_due()
            await asyncio.sleep(CHECK_PERIOD_MS / MS_PER_S)

    async def write_if_due(self) -> None:
        """Write what is due now."""
        if not self._is_due(self._clock_ms()):
            return
        await self.write_heartbeat()
        if self._upstream.reads_store:
            await self.remove_expired()

    async def write_heartbeat(self) -> None:
        """Write the row with the next beat."""
        self._last_attempt_ms = self._clock_ms()
        self._own_entry = self._own_entry._replace(beat=self._own_entry.beat + 1)
        entry = self._current_entry(self._last_attempt_ms)
        self._written_entry = None
        try:
            await self._write(entry.instance_id, encode_instance(entry))
        except PlatformError as exc:
            log_event(
                _log,
                logging.WARNING,
                "beat_failed",
                "the own registration did not reach the store",
                beat=entry.beat,
                error=str(exc),
            )
            return
        self._written_entry = entry

    async def remove_expired(self) -> None:
        """Remove the rows of instances that have been silent for long."""
        for instance_id in self._instances.expired_ids(EXPIRY_MS):
            try:
                await self._write(instance_id, None)
            except PlatformError as exc:
                log_event(
                    _log,
                    logging.INFO,
                    "registration_kept",
                    "the row of an instance that is gone could not be removed",
                    instance_id=instance_id,
                    error=str(exc),
                )
                return

    def _is_due(self, now_ms: int) -> bool:
        elapsed_ms = now_ms - self._last_attempt_ms
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

    async def _write(self, instance_id: str, value: bytes | None) -> None:
        await self._store.write(RowWrite(self._table, instance_id, value))
