"""Stand-ins for the users' platform, reached over HTTP."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from rhubarbwell_core.direct import RetryBudgetRule
from rhubarbwell_core.model import Address, host_port
from rhubarbwell_entry.direct.settings import DirectSettings
from rhubarbwell_platform.http import ClientOptions
from rhubarbwell_wire.adapter import UsersPlatform
from support.loopback import LOOPBACK
from support.loopback_server import LoopbackServer
from support.store_stand_in import StoreStandIn

__all__ = ["StoreStandIn", "UsersBackend", "config_body", "make_settings"]


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
