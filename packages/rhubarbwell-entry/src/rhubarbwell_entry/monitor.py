"""Polling of the load and health endpoints of backend servers."""

import asyncio
import logging

import aiohttp
from rhubarbwell_core.messages import LoadReported
from rhubarbwell_core.model import BackendSpec, ServiceSpec, zones_of_region

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.logs import log_event

__all__ = ["BackendMonitor"]

_log = logging.getLogger(__name__)

POLL_PERIOD_S = 1.0
POLL_TIMEOUT_S = 0.8
MAX_REPORT_BYTES = 4_096


class BackendMonitor:
    """Ask the region's backend servers for their load once a period."""

    def __init__(
        self,
        driver: CoreDriver,
        session: aiohttp.ClientSession,
        *,
        period_s: float = POLL_PERIOD_S,
    ) -> None:
        self._driver = driver
        self._session = session
        self._period_s = period_s

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            polls = [
                self._poll(service, spec) for service, spec in self._regional_backends()
            ]
            await asyncio.gather(*polls)
            await asyncio.sleep(self._period_s)

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

    async def _poll(self, service: ServiceSpec, spec: BackendSpec) -> None:
        url = f"http://{spec.host}:{spec.port}{service.load_path}"
        timeout = aiohttp.ClientTimeout(total=POLL_TIMEOUT_S)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                report = _read_report(spec.backend_id, await answer.json())
        except (aiohttp.ClientError, TimeoutError, ValueError, TypeError) as exc:
            log_event(
                _log,
                logging.DEBUG,
                "load_report_missing",
                "backend server gave no load report",
                backend_id=spec.backend_id,
                error=type(exc).__name__,
            )
            return
        now_ms = self._driver.clock_ms()
        self._driver.handle(report._replace(measured_ms=now_ms))


def _read_report(backend_id: str, body: object) -> LoadReported:
    """Return the report; raise TypeError or ValueError for a malformed one."""
    if not isinstance(body, dict):
        raise TypeError("report is not an object")
    return LoadReported(
        backend_id,
        in_flight=int(body["in_flight"]) if "in_flight" in body else 0,
        measured_ms=0,
        healthy=bool(body.get("healthy", True)),
        draining=bool(body.get("draining", False)),
    )
