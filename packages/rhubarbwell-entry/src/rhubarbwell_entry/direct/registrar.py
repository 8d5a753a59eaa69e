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
CHECK_MS = 400
# Two beats and their way fit into the silence after which an instance counts as gone.
BEAT_PERIOD_MS = 2_000
# Half of a beat's period, so that one failed write is made good before the next beat.
RETRY_MS = 1_000
# The reader's beats, every 2 s, reach its followers within about a second.
ANSWERED_FOR_MS = 3_300
# Registrations of instances that ended without one word are removed after this time.
FORGET_MS = 60_000
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
        self._own = own
        self._table = table
        self._store = store
        self._instances = instances
        self._followers = followers
        self._upstream = upstream
        self._is_ready = is_ready
        self._clock_ms = clock_ms
        self._written: InstanceEntry | None = None
        self._tried_ms = -BEAT_PERIOD_MS

    async def run(self) -> None:
        """Keep the row up to date until cancelled."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_MS / MS_PER_S)

    async def check(self) -> None:
        """Write what is due now."""
        if not self._is_due(self._clock_ms()):
            return
        await self.announce()
        if self._upstream.reads_store:
            await self.remove_lapsed()

    async def announce(self) -> None:
        """Write the row with the next beat."""
        self._tried_ms = self._clock_ms()
        self._own = self._own._replace(beat=self._own.beat + 1)
        entry = self._entry(self._tried_ms)
        self._written = None
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
        self._written = entry

    async def remove_lapsed(self) -> None:
        """Remove the rows of instances that have been silent for long."""
        for instance_id in self._instances.expired_ids(FORGET_MS):
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
        since_ms = now_ms - self._tried_ms
        if self._written is None:
            return since_ms >= RETRY_MS
        if self._entry(now_ms) != self._written:
            return True
        if since_ms < BEAT_PERIOD_MS:
            return False
        known_ms = max(self._instances.own_confirmed_ms, self._tried_ms)
        return self._upstream.reads_store or now_ms - known_ms >= ANSWERED_FOR_MS

    def _entry(self, now_ms: int) -> InstanceEntry:
        entry = self._own._replace(leaving=not self._is_ready())
        if not self._upstream.reads_store:
            return entry
        busy = self._followers.busy_ids(now_ms)
        if self._instances.own_is_busy:
            busy = (*busy, self._own.instance_id)
        return entry._replace(followers=self._followers.ids(now_ms), busy=busy)

    async def _write(self, instance_id: str, value: bytes | None) -> None:
        await self._store.write(RowWrite(self._table, instance_id, value))
