"""Stand-ins for the users' store and for a backend server, reached over HTTP."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from rhubarbwell_core.direct import RetryBudgetRule
from rhubarbwell_core.model import Address, host_port
from rhubarbwell_entry.direct.settings import DirectSettings
from rhubarbwell_platform.http import ClientOptions
from rhubarbwell_wire.adapter import UsersPlatform
from support.loopback import LOOPBACK

__all__ = ["StoreStandIn", "UsersBackend", "config_body", "make_settings"]


class LoopbackServer:
    """Serve HTTP requests on a loopback port."""

    async def start(self) -> None:
        server = web.Server(self.handle, access_log=None, auto_decompress=False)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.0)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = Address(host, port)

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        raise NotImplementedError


class StoreStandIn(LoopbackServer):
    """Store rows in memory; `fault_handler` may answer a call instead."""

    def __init__(self) -> None:
        self.version = 0
        self.oldest_feed_version = 0
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self.calls: list[str] = []
        self.fault_handler: (
            Callable[[web.BaseRequest], Awaitable[web.Response | None]] | None
        )
        self.fault_handler = None
        self._changed = asyncio.Condition()

    async def write(self, table: str, key: str, value: Any) -> None:
        """Write a row and wake the waiting feeds; the value None deletes the row."""
        async with self._changed:
            self.version += 1
            data = value if isinstance(value, bytes | None) else _encode_json(value)
            self.rows[table, key] = self.version, data
            self._changed.notify_all()

    def value(self, table: str, key: str) -> Any:
        """Return a row's decoded value, None for a missing or deleted row."""
        row = self.rows.get((table, key))
        return None if row is None or row[1] is None else json.loads(row[1])

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        operation = request.path.rpartition("/")[2]
        self.calls.append(operation)
        if self.fault_handler is not None:
            resp = await self.fault_handler(request)
            if resp is not None:
                return resp
        if operation == "rows-get":
            return self._rows_response(self._table_rows(request.query["table"]))
        if operation == "rows-feed":
            return await self._wait_for_rows(request)
        return await self.transact(await request.json())

    def _table_rows(self, table: str) -> list[dict[str, Any]]:
        rows = [
            _row_body(name, key, version, value)
            for (name, key), (version, value) in sorted(self.rows.items())
            if name == table and value is not None
        ]
        return rows

    async def _wait_for_rows(self, request: web.BaseRequest) -> web.Response:
        table, after = request.query["table"], int(request.query["after"])
        if after < self.oldest_feed_version:
            return web.Response(status=410)
        wait_s = int(request.query["waitMs"]) / 1_000
        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: self._rows_after(table, after))
            except TimeoutError:
                pass
        return self._rows_response(self._rows_after(table, after))

    def _rows_after(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            _row_body(name, key, version, value)
            for (name, key), (version, value) in self.rows.items()
            if name == table and version > after
        ]
        return sorted(rows, key=lambda row: row["rowVersion"])

    async def transact(self, body: dict[str, Any]) -> web.Response:
        """Apply a transaction if the expected versions hold; return its response."""
        for item in body["expect"]:
            version, value = self.rows.get((item["table"], item["key"]), (0, None))
            if item["rowVersion"] != (0 if value is None else version):
                return web.json_response({"rows": []}, status=412)
        for item in body["writes"]:
            value = base64.b64decode(item["value"])
            await self.write(item["table"], item["key"], value)
        for item in body["remove"]:
            await self.write(item["table"], item["key"], None)
        return web.json_response({"rowVersion": self.version, "now": "1ms"})

    def _rows_response(self, rows: list[dict[str, Any]]) -> web.Response:
        body = {"rows": rows, "hasMore": False, "rowVersion": self.version}
        return web.json_response({**body, "now": "1ms"})


class UsersBackend(LoopbackServer):
    """Answer requests like a backend server; `custom_handler` may answer instead."""

    def __init__(
        self, backend_id: str, service: str = "svc", zone: str = "a-1"
    ) -> None:
        self.backend_id = backend_id
        self.service = service
        self.zone = zone
        self.received: list[tuple[str, str, dict[str, str], bytes]] = []
        self.custom_handler: (
            Callable[[web.BaseRequest], Awaitable[web.StreamResponse]] | None
        )
        self.custom_handler = None
        # Headers of every answer, such as those that name a limit.
        self.extra_headers: dict[str, str] = {}

    def registry_entry(self, **fields: Any) -> dict[str, Any]:
        """Return the server's registry entry, updated with `fields`."""
        return {
            "service": self.service,
            "address": host_port(self.address),
            "zone": self.zone,
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "coldRemaining": "0ms",
            "sequence": 1,
            **fields,
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        expected = request.headers.get("X-Rhubarbwell-Expect-Instance")
        if expected not in (None, self.backend_id):
            return web.Response(
                status=421,
                headers={
                    "X-Rhubarbwell-Instance-Id": self.backend_id,
                    **self.extra_headers,
                },
            )
        body = await request.read()
        headers = dict(request.headers)
        self.received.append((request.method, request.raw_path, headers, body))
        if self.custom_handler is not None:
            return await self.custom_handler(request)
        return self.signed_response(request, body=b"echo:" + body)

    def signed_response(
        self, request: web.BaseRequest, *, status: int = 200, body: bytes = b"ok"
    ) -> web.Response:
        """Return a response with the request id, the server stamp and the load."""
        headers = {
            "X-Rhubarbwell-Request-Id": request.headers["X-Rhubarbwell-Request-Id"],
            "X-Rhubarbwell-Server-Stamp": "3e1b.07",
            "X-Rhubarbwell-Server-Load": "1,0,3",
            **self.extra_headers,
        }
        return web.Response(status=status, body=body, headers=headers)


class TestPlatform(UsersPlatform):
    """Provide the settings that a test gives in place of a node file."""

    __test__ = False

    def __init__(self, settings: DirectSettings) -> None:
        self._settings = settings

    def read_settings(self) -> DirectSettings:
        return self._settings


def config_body(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration document with a safe and an unsafe route to svc.

    `changes` replace fields of both routes.
    """
    kinds = {"/read/": "safe", "/pay/": "unsafe"}
    routes = [
        {
            "resourceKind": "routes",
            "metadata": {"name": f"r{prefix.replace('/', '-')}"},
            "spec": {
                "host": "h.example",
                "prefix": prefix,
                "kind": kind,
                "timeout": "1s",
                "targetLatency": "300ms",
                "priority": 1,
                "service": "svc",
                "maxAttempts": 2,
                "sticky": True,
                "homeRegions": [],
                **changes,
            },
        }
        for prefix, kind in kinds.items()
    ]
    service = {
        "resourceKind": "services",
        "metadata": {"name": "svc"},
        "spec": {
            "healthPath": "/health",
            "maxConnections": 390,
            "coldStart": "3s",
            "coldPerS": 6.8,
        },
    }
    limits = {
        "resourceKind": "limits",
        "metadata": {},
        "spec": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
    }
    return {"version": version, "resources": [*routes, service, limits]}


def make_settings(
    store: Address, ports: list[int], *, name: str = "i-1", zone: str = "a-1"
) -> DirectSettings:
    """Return settings with a loopback port for each listener.

    The ports are those of callers, readiness, control, directory and metrics.
    """
    addresses = [Address(LOOPBACK, port) for port in ports]
    callers, readiness, control, directory, metrics = addresses
    return DirectSettings(
        name,
        zone,
        {"a-1": "a", "a-2": "a", "b-1": "b"},
        callers,
        readiness,
        control,
        directory,
        metrics,
        store,
        ClientOptions(timeout_ms=800, max_tries=1, failures_to_open=1_000_000),
        RetryBudgetRule(0.2, 62.0, 10_000),
        stop_max_ms=1_000,
    )


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
