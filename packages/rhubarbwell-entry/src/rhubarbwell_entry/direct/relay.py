"""Propagation of the store's table changes among entry instances."""

import asyncio
import logging
from collections.abc import Callable, Sequence

from aiohttp import web
from rhubarbwell_core.direct import (
    NO_VERSION,
    FollowerTracker,
    InstanceEntry,
    InstanceTable,
    ReaderSelector,
)

from rhubarbwell_entry.direct.changes import (
    ChangesClient,
    ChangesError,
    ChangesQuery,
    ChangesResponse,
    changes_response,
)
from rhubarbwell_entry.direct.follower import PollSchedule, StoreHealth, Upstream
from rhubarbwell_entry.direct.seeds import SeedLoader
from rhubarbwell_entry.direct.state import FleetState
from rhubarbwell_entry.logs import log_event

__all__ = ["ChangeRelay", "PeerFollower"]

_log = logging.getLogger(__name__)

# An unreachable reader is detected after POLL_WAIT_MS + RESPONSE_SLACK_MS.
POLL_WAIT_MS = 300
RESPONSE_SLACK_MS = 500
POLL_PAUSE_MS = 150
READER_RECHECK_MS = 500
# Instances that start together have read each other's registrations by then.
STARTUP_DELAY_MS = 800
# A reader that another instance named goes first for this time. Then the instances of
# a region agree on the one that they prefer.
HINT_MS = 3_000
MS_PER_S = 1_000


class ChangeRelay:
    """Serve this instance's table changes to other entry instances."""

    def __init__(
        self,
        own_id: str,
        state: FleetState,
        health: StoreHealth,
        upstream: Upstream,
        followers: FollowerTracker,
        clock_ms: Callable[[], int],
    ) -> None:
        self._own_id = own_id
        self._state = state
        self._health = health
        self._upstream = upstream
        self._followers = followers
        self._clock_ms = clock_ms

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the table changes after the versions in the query.

        A store reader waits up to POLL_WAIT_MS for a change, except for a first query.
        Status 400 reports a version that is not an integer.
        """
        try:
            query = ChangesQuery.decode(request.query)
        except ValueError:
            return web.Response(status=400)
        reads_store = self._upstream.reads_store
        if query.follower and reads_store:
            now_ms = self._clock_ms()
            self._followers.record_poll(query.follower, query.is_busy, now_ms)
            self._state.instances.confirm_follower(
                query.follower, query.is_busy, now_ms
            )
        state = self._state
        if query.follower and query.config_version is not None:
            state.note_newer_config(query.follower, query.config_version)
        may_wait = reads_store and not query.is_first
        if (
            may_wait
            and not state.has_urgent_changes_after(query.known_versions)
            and state.config_copy_after(query.config_version) is None
        ):
            await state.wait_for_change(POLL_WAIT_MS / MS_PER_S)
        return changes_response(request, self._make_response(query))

    def _make_response(self, query: ChangesQuery) -> ChangesResponse:
        known_versions = query.known_versions
        now_ms = self._clock_ms()
        reads_store = self._upstream.reads_store
        tables = {
            name: replica.changes_after(known_versions.get(name, NO_VERSION))
            for name, replica in self._state.replicas.items()
        }
        return ChangesResponse(
            tables=tables,
            ages_ms={
                name: now_ms - synced_ms
                for name, synced_ms in self._state.synced_until_ms.items()
            },
            reads_store=reads_store,
            store_is_out=self._health.is_out,
            store_up_ms=self._health.up_ms,
            era=self._state.eras.current,
            era_age_ms=self._state.era_age_ms(now_ms),
            reader=self._own_id if reads_store else self._upstream.reader,
            config=self._state.config_copy_after(query.config_version),
            gone=self._state.gone_ages(tables, now_ms),
        )


class PeerFollower:
    """Poll the chosen store reader, or make this instance read the store itself."""

    def __init__(
        self,
        own: InstanceEntry,
        state: FleetState,
        instances: InstanceTable,
        health: StoreHealth,
        upstream: Upstream,
        schedules: Sequence[PollSchedule],
        client: ChangesClient,
        seeds: SeedLoader,
        clock_ms: Callable[[], int],
    ) -> None:
        self._own_entry = own
        self._state = state
        self._instances = instances
        self._health = health
        self._upstream = upstream
        self._schedules = schedules
        self._client = client
        self._seeds = seeds
        self._clock_ms = clock_ms
        self._selector = ReaderSelector(own)
        # Reader that another instance named in place of itself.
        self._hint: str | None = None
        self._hint_end_ms = 0

    async def run(self) -> None:
        """Choose and poll a reader until cancelled."""
        if await self._seeds.load_current():
            self._set_hint(self._upstream.reader)
        else:
            await asyncio.sleep(STARTUP_DELAY_MS / MS_PER_S)
        while True:
            now_ms = self._clock_ms()
            if self._upstream.reads_store and self._has_stale_table(now_ms):
                self._exclude_itself(now_ms)
            others = self._instances.live()
            self._upstream.rank = self._selector.own_rank(others)
            hint = self._hint if now_ms < self._hint_end_ms else None
            reader = self._selector.choose(others, now_ms, hint=hint)
            if reader is None:
                self._set_reader(None)
                await asyncio.sleep(READER_RECHECK_MS / MS_PER_S)
            elif await self._poll_reader(reader):
                await asyncio.sleep(POLL_PAUSE_MS / MS_PER_S)

    async def _poll_reader(self, reader: InstanceEntry) -> bool:
        """Apply a reader's changes; return True if the reader can be followed."""
        started_ms = self._clock_ms()
        try:
            resp = await self._fetch_changes(reader)
        except ChangesError as exc:
            self._exclude_reader(reader, str(exc))
            return False
        now_ms = self._clock_ms()
        if now_ms - started_ms > POLL_WAIT_MS + RESPONSE_SLACK_MS:
            # The process was paused: the response may be as old as the query.
            self._state.apply_response(resp, started_ms)
            return False
        # Before the tables: it decides whether a removed entry may have expired.
        if resp.reads_store and not resp.store_is_out:
            self._health.record_peer(resp.store_up_ms)
        self._state.apply_response(resp, now_ms)
        # Chained followers could form a cycle in which no instance reads the store.
        if not resp.reads_store:
            self._exclude_reader(reader, "the instance does not read the store")
            self._set_hint(resp.reader)
            return False
        if self._has_stale_table(now_ms):
            self._exclude_reader(reader, "the tables of the instance are stale")
            return False
        self._set_reader(reader.instance_id)
        self._instances.confirm_reader(reader.instance_id, now_ms)
        return True

    async def _fetch_changes(self, reader: InstanceEntry) -> ChangesResponse:
        query = ChangesQuery(
            {name: r.version for name, r in self._state.replicas.items()},
            follower=self._own_entry.instance_id,
            is_busy=self._instances.own_is_busy,
            is_first=self._upstream.reads_store,
            config_version=self._state.known_config_version,
        )
        timeout_ms = POLL_WAIT_MS + RESPONSE_SLACK_MS
        return await self._client.fetch(reader.control, query, timeout_ms)

    def _has_stale_table(self, now_ms: int) -> bool:
        return any(
            now_ms - self._state.synced_until_ms[schedule.table] > schedule.stale_ms
            for schedule in self._schedules
        )

    def _set_hint(self, reader: str | None) -> None:
        self._hint = reader
        self._hint_end_ms = self._clock_ms() + HINT_MS

    def _exclude_itself(self, now_ms: int) -> None:
        own_id = self._own_entry.instance_id
        if not self._selector.is_excluded(own_id, now_ms):
            log_event(
                _log,
                logging.WARNING,
                "reader_is_stale",
                "this instance reads the store, but its copies are stale",
                ages_ms={
                    schedule.table: now_ms - self._state.synced_until_ms[schedule.table]
                    for schedule in self._schedules
                },
            )
        self._selector.exclude(own_id, now_ms)

    def _exclude_reader(self, reader: InstanceEntry, reason: str) -> None:
        self._selector.exclude(reader.instance_id, self._clock_ms())
        log_event(
            _log,
            logging.WARNING,
            "reader_passed_over",
            "the chosen store reader cannot be followed; excluding it for a while",
            reader=reader.instance_id,
            reason=reason,
        )

    def _set_reader(self, reader: str | None) -> None:
        if self._upstream.reader == reader:
            return
        self._upstream.reader = reader
        log_event(
            _log,
            logging.INFO,
            "reader_chosen",
            "table changes are read from the store"
            if reader is None
            else "table changes are read from another instance",
            reader=reader,
        )
