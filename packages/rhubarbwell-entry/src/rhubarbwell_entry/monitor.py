"""Poll the load and health endpoints of backend servers."""

import asyncio
import json
import logging
from itertools import count
from typing import NamedTuple

import aiohttp
from rhubarbwell_core.errors import DECODING_ERRORS
from rhubarbwell_core.messages import LoadReported
from rhubarbwell_core.model import (
    Address,
    BackendSpec,
    ServiceSpec,
    host_port,
    zones_of_region,
)
from rhubarbwell_platform.http import SocketTimeout

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event

__all__ = ["SKIPPED_HEADERS", "BackendMonitor", "polls_per_s"]

_log = logging.getLogger(__name__)

POLL_TIMEOUT_S = 0.8
TARGET_FLEET_POLLS_PER_S = 240.0
MIN_POLLS_PER_S = 0.5
MAX_POLLS_PER_S = 20.0
NO_BACKENDS_WAIT_S = 0.25
ROUNDS_PER_HEALTH_POLL = 4
FIRST_ERROR_STATUS = 400
SKIPPED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")
MAX_REPORT_BYTES = 4_096
UNLIMITED = aiohttp.ClientTimeout()


class _Response(NamedTuple):
    status: int
    body: bytes


class BackendMonitor:
    """Poll the region's backend servers in turn for their load and health.

    All instances of the region poll the same servers. The rate of each falls as the
    fleet grows, so that the bytes of polls stay a small part of what control traffic
    may cost an instance.
    """

    def __init__(self, driver: CoreDriver, session: aiohttp.ClientSession) -> None:
        self._driver = driver
        self._session = session
        self._unhealthy: set[str] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        async with asyncio.TaskGroup() as polls:
            for round_number in count():
                backends = self._regional_backends()
                pause_s = 1.0 / polls_per_s(len(self._driver.core.peers))
                poll = (
                    self._poll_health_and_load
                    if round_number % ROUNDS_PER_HEALTH_POLL == 0
                    else self._poll_load
                )
                for service, spec in backends:
                    polls.create_task(poll(service, spec))
                    await asyncio.sleep(pause_s)
                if not backends:
                    await asyncio.sleep(NO_BACKENDS_WAIT_S)

    def _regional_backends(self) -> list[tuple[ServiceSpec, BackendSpec]]:
        core = self._driver.core
        if core.configuration is None:
            return []
        zones = zones_of_region(core.configuration.deployment, core.identity.region)
        return [
            (service, spec)
            for service in core.configuration.services.values()
            for spec in service.backends
            if spec.zone in zones
        ]

    async def _poll_health_and_load(
        self, service: ServiceSpec, spec: BackendSpec
    ) -> None:
        response = await self._fetch_response(spec, service.health_path)
        if response is None:
            return
        self._unhealthy.discard(spec.backend_id)
        if response.status >= FIRST_ERROR_STATUS:
            self._unhealthy.add(spec.backend_id)
        await self._poll_load(service, spec)

    async def _poll_load(self, service: ServiceSpec, spec: BackendSpec) -> None:
        sent_ms = self._driver.clock_ms()
        response = await self._fetch_response(spec, service.load_path)
        if response is None:
            return
        try:
            report = _read_report(spec.backend_id, json.loads(response.body), sent_ms)
        except DECODING_ERRORS as exc:
            self._log_missing_report(spec, exc)
            return
        healthy = report.healthy and spec.backend_id not in self._unhealthy
        self._driver.handle(report._replace(healthy=healthy))

    async def _fetch_response(self, spec: BackendSpec, path: str) -> _Response | None:
        url = f"http://{host_port(Address(spec.host, spec.port))}{path}"
        try:
            async with (
                SocketTimeout(POLL_TIMEOUT_S),
                self._session.get(
                    url, timeout=UNLIMITED, skip_auto_headers=SKIPPED_HEADERS
                ) as response,
            ):
                body = await response.content.read(MAX_REPORT_BYTES)
                return _Response(response.status, body)
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            self._log_missing_report(spec, exc)
            return None

    def _log_missing_report(self, spec: BackendSpec, exc: Exception) -> None:
        log_event(
            _log,
            logging.DEBUG,
            "load_report_missing",
            "backend server gave no usable load report",
            backend_id=spec.backend_id,
            error=type(exc).__name__,
        )


def polls_per_s(instances: int) -> float:
    """Return the polls per second of each instance in a fleet of the given size.

    >>> polls_per_s(12), polls_per_s(120), polls_per_s(2_900)
    (20.0, 2.0, 0.5)
    """
    rate = TARGET_FLEET_POLLS_PER_S / max(instances, 1)
    return min(MAX_POLLS_PER_S, max(MIN_POLLS_PER_S, rate))


def _read_report(backend_id: str, body: object, sent_ms: int) -> LoadReported:
    """Return the load report; raise one of DECODING_ERRORS if it is malformed."""
    if not isinstance(body, dict):
        raise TypeError("load report is not a JSON object")
    return LoadReported(
        backend_id,
        in_flight=int(body.get("in_flight", 0)),
        measured_ms=sent_ms,
        healthy=body.get("healthy", True) is not False,
        draining=body.get("draining", False) is True,
    )
