"""Fake backend server that has slots and a drain state and records its requests."""

import asyncio
import hashlib
from collections import Counter
from typing import NamedTuple

from aiohttp import web
from rhubarbwell_core.model import Address

__all__ = ["BackendRun", "FakeBackend"]

ATTEMPT_HEADER = "Rhubarbwell-Attempt"
OUTCOME_HEADER = "Rhubarbwell-Outcome"


class BackendRun(NamedTuple):
    """Hold a request that was run, with the size and digest of its body."""

    attempt_id: str
    method: str
    path: str
    body_bytes: int
    body_digest: str


class FakeBackend:
    """Answer any request after service_ms and record it.

    Answers are JSON, or `answer_bytes` bytes if that is set. Requests beyond the
    slots are shed with status 503 if `sheds` is set, else they wait for a slot.
    """

    def __init__(
        self,
        backend_id: str,
        *,
        slots: int = 3,
        service_ms: float = 0.0,
        answer_bytes: int | None = None,
        sheds: bool = True,
        echoes_attempt: bool = True,
    ) -> None:
        self.backend_id = backend_id
        self.slots = slots
        self.service_ms = service_ms
        self.answer_bytes = answer_bytes
        self.sheds = sheds
        self.echoes_attempt = echoes_attempt
        self.in_flight = 0
        self.started = 0
        self.shed = 0
        self.cancelled = 0
        self.draining = False
        self.healthy = True
        self.runs: list[BackendRun] = []
        self._free_slots = asyncio.Semaphore(slots)
        self._runner: web.AppRunner | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Start listening, by default on a free port, and return the address."""
        app = web.Application()
        app.router.add_get("/health", self._health_response)
        app.router.add_get("/load", self._load_response)
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=0.2
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        bound_host, bound_port, *_ = self._runner.addresses[0]
        return Address(bound_host, bound_port)

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def drain(self) -> None:
        """Report the draining state from now on and continue to serve requests."""
        self.draining = True

    def runs_by_path(self) -> Counter[str]:
        """Return the number of runs of each path, query included."""
        return Counter(run.path for run in self.runs)

    async def _health_response(self, request: web.Request) -> web.Response:
        status = "draining" if self.draining else "ok"
        code = 200 if self.healthy else 503
        return web.json_response({"status": status}, status=code)

    async def _load_response(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "in_flight": self.in_flight,
                "slots": self.slots,
                "draining": self.draining,
            }
        )

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        if self.sheds and self.in_flight >= self.slots:
            self.shed += 1
            return self._shed_response(request.headers.get(ATTEMPT_HEADER, ""))
        self.in_flight += 1
        try:
            async with self._free_slots:
                return await self._run_request(request)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.in_flight -= 1

    def _shed_response(self, attempt_id: str) -> web.Response:
        headers = {OUTCOME_HEADER: "not_run", "Retry-After": "1"}
        if self.echoes_attempt:
            headers[ATTEMPT_HEADER] = attempt_id
        return web.Response(status=503, headers=headers)

    async def _run_request(self, request: web.Request) -> web.Response:
        self.started += 1
        size, digest = 0, hashlib.sha256()
        async for chunk in request.content.iter_any():
            size += len(chunk)
            digest.update(chunk)
        if self.service_ms:
            await asyncio.sleep(self.service_ms / 1_000)
        run = BackendRun(
            request.headers.get(ATTEMPT_HEADER, ""),
            request.method,
            request.path_qs,
            size,
            digest.hexdigest(),
        )
        self.runs.append(run)
        return self._make_answer(run)

    def _make_answer(self, run: BackendRun) -> web.Response:
        headers = {ATTEMPT_HEADER: run.attempt_id} if self.echoes_attempt else {}
        if self.answer_bytes is not None:
            return web.Response(body=b"x" * self.answer_bytes, headers=headers)
        document = {
            "backend": self.backend_id,
            "path": run.path,
            "body_bytes": run.body_bytes,
            "body_digest": run.body_digest,
        }
        return web.json_response(document, headers=headers)
