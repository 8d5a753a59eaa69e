"""HTTP handler of look-ups, readiness, table changes, tokens, queries and metrics."""

import logging
from collections.abc import Callable

from aiohttp import web
from rhubarbwell_core.direct import InstanceTable
from rhubarbwell_core.model import host_port

from rhubarbwell_entry.direct.changes import CHANGES_PATH
from rhubarbwell_entry.direct.credits import CREDITS_PATH, QuotaGate
from rhubarbwell_entry.direct.decisions import DECISIONS_PATH, DecisionHandler
from rhubarbwell_entry.direct.metrics import DirectMetrics
from rhubarbwell_entry.direct.relay import ChangeRelay
from rhubarbwell_entry.direct.wire import DirectPlatform
from rhubarbwell_entry.logs import log_event

__all__ = ["OperatorHandler"]

_log = logging.getLogger(__name__)

# Callers cache the answer to a look-up for this time, some for three times as long.
LOOK_UP_TTL_MS = 1_000
METRICS_PATH = "/metrics"


class OperatorHandler:
    """Serve the paths for operators, other instances and callers' look-ups."""

    def __init__(
        self,
        platform: DirectPlatform,
        instances: InstanceTable,
        metrics: DirectMetrics,
        relay: ChangeRelay,
        quotas: QuotaGate,
        decisions: DecisionHandler,
        is_ready: Callable[[], bool],
    ) -> None:
        self._platform = platform
        self._instances = instances
        self._metrics = metrics
        self._relay = relay
        self._quotas = quotas
        self._decisions = decisions
        self._is_ready = is_ready

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the response to a request."""
        if request.path == self._platform.readiness_path:
            return web.Response(status=200 if self._is_ready() else 503)
        if request.path == self._platform.look_up_path:
            return self._look_up(request)
        if request.path == CHANGES_PATH:
            return await self._relay.handle(request)
        if request.path == CREDITS_PATH:
            return await self._quotas.handle(request)
        if request.path == DECISIONS_PATH:
            return await self._decisions.handle(request)
        if request.path == METRICS_PATH:
            return web.Response(body=self._metrics.render(), content_type="text/plain")
        return web.Response(status=404)

    def _look_up(self, request: web.BaseRequest) -> web.Response:
        look_up = self._platform.decode_look_up(request.query)
        offered = self._instances.offered_addresses(
            look_up.zone, look_up.region, self._is_ready()
        )
        self._metrics.record_look_up(len(offered))
        if not offered:
            log_event(
                _log,
                logging.WARNING,
                "look_up_refused",
                "no entry instance is ready for the caller",
                zone=look_up.zone,
                instances_live=len(self._instances.live_ids()),
            )
            return web.Response(status=503)
        addresses = [host_port(address) for address in offered]
        body = self._platform.encode_look_up(addresses, LOOK_UP_TTL_MS)
        return web.json_response(body)
