"""Propagation of the store's table changes among entry instances."""

import asyncio
import base64
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import aiohttp
from aiohttp import web
from rhubarbwell_core.direct import (
    FollowerTracker,
    InstanceEntry,
    InstanceTable,
    ReaderSelector,
    ReplicaRow,
    ReplicaUpdate,
)
from rhubarbwell_core.model import host_port

from rhubarbwell_entry.direct.follower import PollSchedule, StoreHealth, Upstream
from rhubarbwell_entry.direct.state import FleetState
from rhubarbwell_entry.logs import log_event

__all__ = ["CHANGES_PATH", "ChangeRelay", "PeerFollower"]

_log = logging.getLogger(__name__)

CHANGES_PATH = "/changes"
# Query fields besides the table versions; no table has one of these names.
FOLLOWER_FIELD = "-follower"
BUSY_FIELD = "-busy"
# Set by an instance that does not follow yet and needs an immediate response.
FIRST_FIELD = "-first"
# An unreachable reader is detected after POLL_WAIT_MS + RESPONSE_SLACK_MS.
POLL_WAIT_MS = 300
RESPONSE_SLACK_MS = 500
POLL_PAUSE_MS = 150
READER_RECHECK_MS = 500
# Instances that start together have read each other's registrations by then.
STARTUP_DELAY_MS = 800
MS_PER_S = 1_000


class ChangeRelay:
    """Serve this instance's table changes to other entry instances."""

    def __init__(
        self,
        state: FleetState,
        health: StoreHealth,
        upstream: Upstream,
        followers: FollowerTracker,
        clock_ms: Callable[[], int],
    ) -> None:
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
        query = dict(request.query)
        follower = query.pop(FOLLOWER_FIELD, "")
        is_busy = query.pop(BUSY_FIELD, "") == "1"
        is_first = query.pop(FIRST_FIELD, "") == "1"
        try:
            known_versions = {name: int(v) for name, v in query.items()}
        except ValueError:
            return web.Response(status=400)
        if follower and self._upstream.reads_store:
            self._followers.record_poll(follower, is_busy, self._clock_ms())
        may_wait = self._upstream.reads_store and not is_first
        if may_wait and not self._state.has_urgent_changes_after(known_versions):
            await self._state.wait_for_change(POLL_WAIT_MS / MS_PER_S)
        return web.json_response(self._changes_body(known_versions))

    def _changes_body(self, known_versions: Mapping[str, int]) -> dict[str, Any]:
        now_ms = self._clock_ms()
        tables = {
            name: _encode_update(replica.changes_after(known_versions.get(name, 0)))
            | {"age_ms": now_ms - self._state.synced_until_ms[name]}
            for name, replica in self._state.replicas.items()
        }
        return {
            "store_is_out": self._health.is_out,
            "reads_store": self._upstream.reads_store,
            "tables": tables,
        }


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
        session: aiohttp.ClientSession,
        clock_ms: Callable[[], int],
    ) -> None:
        self._own_entry = own
        self._state = state
        self._instances = instances
        self._health = health
        self._upstream = upstream
        self._schedules = schedules
        self._session = session
        self._clock_ms = clock_ms
        self._selector = ReaderSelector(own)

    async def run(self) -> None:
        """Choose and poll a reader until cancelled."""
        await asyncio.sleep(STARTUP_DELAY_MS / MS_PER_S)
        while True:
            now_ms = self._clock_ms()
            if self._upstream.reads_store and self._has_stale_table(now_ms):
                self._selector.exclude(self._own_entry.instance_id, now_ms)
            others = self._instances.live()
            self._upstream.rank = self._selector.own_rank(others)
            reader = self._selector.choose(others, now_ms)
            if reader is None:
                self._set_reader(None)
                await asyncio.sleep(READER_RECHECK_MS / MS_PER_S)
            elif await self._poll_reader(reader):
                await asyncio.sleep(POLL_PAUSE_MS / MS_PER_S)

    async def _poll_reader(self, reader: InstanceEntry) -> bool:
        """Apply a reader's changes; return True if the reader can be followed."""
        try:
            body = await self._fetch_changes(reader)
            self._apply_tables(body)
            reads_store = bool(body["reads_store"])
            store_is_out = bool(body["store_is_out"])
        except (
            aiohttp.ClientError,
            TimeoutError,
            KeyError,
            TypeError,
            ValueError,
        ) as exc:
            self._exclude_reader(reader, repr(exc))
            return False
        # Chained followers could form a cycle in which no instance reads the store.
        if not reads_store:
            self._exclude_reader(reader, "the instance does not read the store")
            return False
        if self._has_stale_table(self._clock_ms()):
            self._exclude_reader(reader, "the tables of the instance are stale")
            return False
        self._set_reader(reader.instance_id)
        if not store_is_out:
            self._health.record_success()
        return True

    async def _fetch_changes(self, reader: InstanceEntry) -> Mapping[str, Any]:
        query = {name: str(r.version) for name, r in self._state.replicas.items()}
        query[FOLLOWER_FIELD] = self._own_entry.instance_id
        query[BUSY_FIELD] = str(int(self._instances.own_is_busy))
        query[FIRST_FIELD] = str(int(self._upstream.reads_store))
        timeout = aiohttp.ClientTimeout(
            total=(POLL_WAIT_MS + RESPONSE_SLACK_MS) / MS_PER_S
        )
        url = f"http://{host_port(reader.control)}{CHANGES_PATH}"
        async with self._session.get(url, params=query, timeout=timeout) as resp:
            resp.raise_for_status()
            body: Mapping[str, Any] = await resp.json()
            return body

    def _apply_tables(self, body: Mapping[str, Any]) -> None:
        now_ms = self._clock_ms()
        for name, table in body["tables"].items():
            update = _decode_update(table)
            self._state.apply(name, update, now_ms, age_ms=int(table["age_ms"]))

    def _has_stale_table(self, now_ms: int) -> bool:
        return any(
            now_ms - self._state.synced_until_ms[schedule.table] > schedule.stale_ms
            for schedule in self._schedules
        )

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


def _encode_update(update: ReplicaUpdate) -> dict[str, Any]:
    rows = [
        [row.key, row.version, None if row.value is None else _base64_text(row.value)]
        for row in update.rows
    ]
    return {"rows": rows, "version": update.version, "complete": update.complete}


def _decode_update(table: Mapping[str, Any]) -> ReplicaUpdate:
    rows = [
        ReplicaRow(
            str(key), int(version), None if text is None else _base64_bytes(text)
        )
        for key, version, text in table["rows"]
    ]
    return ReplicaUpdate(rows, int(table["version"]), bool(table["complete"]))


def _base64_text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _base64_bytes(text: str) -> bytes:
    return base64.b64decode(text)
