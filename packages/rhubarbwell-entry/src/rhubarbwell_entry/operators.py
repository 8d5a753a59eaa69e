"""Serve the HTTP endpoints for operators."""

from collections.abc import Callable

from aiohttp import web
from rhubarbwell_core import Core
from rhubarbwell_core.messages import PeerState
from rhubarbwell_core.model import Configuration

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.metrics import InstanceMetrics
from rhubarbwell_entry.reports import encode_report, make_report

__all__ = ["OperatorHandler"]


class OperatorHandler:
    """Serve readiness, status, metrics and the report of an instance."""

    def __init__(
        self,
        driver: CoreDriver,
        metrics: InstanceMetrics,
        can_run: Callable[[], bool] = lambda: True,
    ) -> None:
        self._driver = driver
        self._metrics = metrics
        self._can_run = can_run

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the endpoints to the application."""
        app.router.add_get("/ready", self.ready)
        app.router.add_get("/status", self.status)
        app.router.add_get("/metrics", self.metrics)
        app.router.add_get("/report", self.report)

    async def ready(self, _: web.Request) -> web.Response:
        """Return 200 if the instance accepts work, 503 otherwise."""
        state = self._driver.core.state
        is_ready = state is PeerState.READY and self._can_run()
        status = 200 if is_ready else 503
        return web.json_response({"state": state.value}, status=status)

    async def status(self, _: web.Request) -> web.Response:
        """Return identity, state, configuration, accounts, peers and servers."""
        return web.json_response(_encode_status(self._driver.core))

    async def metrics(self, _: web.Request) -> web.Response:
        """Return all metrics in the Prometheus text format."""
        return web.Response(body=self._metrics.render(), content_type="text/plain")

    async def report(self, _: web.Request) -> web.Response:
        """Return this instance's part of the report on burn, headroom and drains."""
        report = make_report(self._driver.core, self._driver.clock_ms())
        return web.json_response(encode_report(report))


def _count_accounts(cfg: Configuration | None) -> int | None:
    """Return the number of active accounts, None if no account file is active."""
    return None if cfg is None or cfg.accounts is None else len(cfg.accounts)


def _encode_status(core: Core) -> dict[str, object]:
    cfg = core.configuration
    return {
        "instance_id": core.identity.instance_id,
        "incarnation": core.identity.incarnation,
        "zone": core.identity.zone,
        "region": core.identity.region,
        "state": core.state.value,
        "config_version": 0 if cfg is None else cfg.version,
        "config_digest": "" if cfg is None else cfg.digest,
        "accounts": _count_accounts(cfg),
        "peers": [
            {
                "instance_id": peer.instance_id,
                "zone": peer.zone,
                "state": peer.state.value,
                "config_version": peer.config_version,
            }
            for peer in core.peers.rows()
        ],
        "backends": [
            {
                "backend_id": row.backend_id,
                "service": row.service,
                "in_flight": row.in_flight,
                "draining": row.draining,
            }
            for row in core.backends.rows.rows()
        ],
    }
