"""A stand-in for the users' store that may come back from a copy."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

from aiohttp import web
from support.loopback_server import LoopbackServer
from support.store_copies import StoreCopies, StoredRows

__all__ = ["StoreStandIn"]

ERA_HEADER = "Store-Era"


class StoreStandIn(LoopbackServer):
    """Store rows in memory; `fault_handler` may answer a call instead.

    All answers name the era unless `names_era` is False.
    """

    def __init__(self, *, names_era: bool = True, seed: int = 1) -> None:
        self.version = 0
        self.era = 1
        self.names_era = names_era
        self.oldest_feed_version = 0
        self.rows: StoredRows = {}
        self.calls: list[str] = []
        self.fault_handler: (
            Callable[[web.BaseRequest], Awaitable[web.Response | None]] | None
        )
        self.fault_handler = None
        self.is_away = False
        # What calls get while the store is away: "busy", "reset" or "silent".
        self.away_mode = "busy"
        self.copies = StoreCopies()
        self._rng = Random(seed)
        self._changed = asyncio.Condition()
        self._rewrites: set[asyncio.Task[None]] = set()

    async def write(self, table: str, key: str, value: Any) -> None:
        """Write a row and wake the waiting feeds; the value None deletes the row.

        A store that is away writes the row when it is back.
        """
        data = value if isinstance(value, bytes | None) else _encode_json(value)
        self.copies.note_write(table, key, data)
        async with self._changed:
            await self._changed.wait_for(lambda: not self.is_away)
            self._put(table, key, data)
            self._changed.notify_all()

    def _put(self, table: str, key: str, data: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = self.version, data
        self.copies.take(_now_s(), self.version, self.rows)

    async def be_away(self, away_s: float) -> None:
        """Be away for a time and lose nothing."""
        await self._leave()
        await asyncio.sleep(away_s)
        await self._return()

    async def restore(
        self, age_s: float, away_s: float, *, max_rewrite_s: float = 0.0
    ) -> None:
        """Be away for a time and come back from a copy of `age_s` before.

        Rows of the operator and of servers that differ from what these wrote last are
        written again after up to `max_rewrite_s`, each at a time of its own.
        """
        copy = self.copies.at(_now_s() - age_s)
        await self._leave()
        await asyncio.sleep(away_s)
        self.era += 1
        self.version, self.rows = copy.version, dict(copy.rows)
        self.oldest_feed_version = min(self.oldest_feed_version, self.version)
        self.copies.take(_now_s(), self.version, self.rows)
        delays_s = {
            row: self._rng.uniform(0.0, max_rewrite_s)
            for row in self.copies.lost_rows(self.rows)
        }
        for row, delay_s in delays_s.items():
            task = asyncio.create_task(self._write_again(*row, delay_s))
            self._rewrites.add(task)
            task.add_done_callback(self._rewrites.discard)
        await self._return()

    async def _leave(self) -> None:
        async with self._changed:
            self.is_away = True
            self._changed.notify_all()

    async def _return(self) -> None:
        async with self._changed:
            self.is_away = False
            self._changed.notify_all()

    async def _write_again(self, table: str, key: str, delay_s: float) -> None:
        """Write what the row's writer wrote last, unless it has done so."""
        await asyncio.sleep(delay_s)
        async with self._changed:
            await self._changed.wait_for(lambda: not self.is_away)
            value = self.copies.outside_value(table, key)
            if self.rows.get((table, key), (0, None))[1] != value:
                self._put(table, key, value)
                self._changed.notify_all()

    def value(self, table: str, key: str) -> Any:
        """Return a row's decoded value, None for a missing or deleted row."""
        row = self.rows.get((table, key))
        return None if row is None or row[1] is None else json.loads(row[1])

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        resp = await self._answer(request)
        if self.names_era:
            resp.headers.setdefault(ERA_HEADER, str(self.era))
        return resp

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        operation = request.path.rpartition("/")[2]
        self.calls.append(operation)
        if self.fault_handler is not None:
            resp = await self.fault_handler(request)
            if resp is not None:
                return resp
        body = await request.json() if operation == "rows-tx" else {}
        if self.is_away:
            return await self._answer_away(request)
        if operation == "rows-get":
            return self._rows_response(self._table_rows(request.query["table"]))
        if operation == "rows-feed":
            return await self._wait_for_rows(request)
        return await self.transact(body)

    async def _answer_away(self, request: web.BaseRequest) -> web.Response:
        if self.away_mode == "silent":
            async with self._changed:
                await self._changed.wait_for(lambda: not self.is_away)
        if self.away_mode != "busy" and request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)

    def _table_rows(self, table: str) -> list[dict[str, Any]]:
        rows = [
            _row_body(name, key, version, value)
            for (name, key), (version, value) in sorted(self.rows.items())
            if name == table and value is not None
        ]
        return rows

    async def _wait_for_rows(self, request: web.BaseRequest) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        if after < self.oldest_feed_version or after > self.version:
            return web.Response(status=410)
        era, wait_s = self.era, int(request.query["waitMs"]) / 1_000
        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(
                        lambda: (
                            self.is_away
                            or self.era != era
                            or self._rows_after(table, after)
                        )
                    )
            except TimeoutError:
                pass
        if self.is_away or self.era != era:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        return self._rows_response(self._rows_after(table, after))

    def _rows_after(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            _row_body(name, key, version, value)
            for (name, key), (version, value) in self.rows.items()
            if name == table and version > after
        ]
        return sorted(rows, key=lambda row: row["rowVersion"])

    async def transact(self, body: dict[str, Any]) -> web.Response:
        """Apply a transaction if the expected versions hold; return its response.

        A store that is away applies it when it is back, which may be in another era.
        """
        async with self._changed:
            await self._changed.wait_for(lambda: not self.is_away)
            for item in body["expect"]:
                version, value = self.rows.get((item["table"], item["key"]), (0, None))
                if item["rowVersion"] != (0 if value is None else version):
                    return web.json_response({"rows": []}, status=412)
            for item in body["writes"]:
                value = base64.b64decode(item["value"])
                self._put(item["table"], item["key"], value)
            for item in body["remove"]:
                self._put(item["table"], item["key"], None)
            self._changed.notify_all()
            return web.json_response({"rowVersion": self.version, "now": "1ms"})

    def _rows_response(self, rows: list[dict[str, Any]]) -> web.Response:
        body = {"rows": rows, "hasMore": False, "rowVersion": self.version}
        return web.json_response({**body, "now": "1ms"})


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _encode_json(value: Any) -> bytes:
    return json.dumps(value).encode()


def _row_body(
    table: str, key: str, version: int, value: bytes | None
) -> dict[str, Any]:
    row: dict[str, Any] = {
        "table": table,
        "part": "",
        "key": key,
        "rowVersion": version,
    }
    if value is None:
        return {**row, "deleted": True}
    return {**row, "value": base64.b64encode(value).decode()}
