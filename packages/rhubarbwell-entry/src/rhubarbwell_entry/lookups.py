"""Serve look-ups of entry instances over HTTP."""

from aiohttp import web
from rhubarbwell_core.lookups import LookUpAnswer, LookUpQuery

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.metrics import InstanceMetrics

__all__ = ["LOOK_UP_PATH", "LookUpHandler"]

LOOK_UP_PATH = "/_rhubarbwell/look-up"
MS_PER_S = 1_000


class LookUpHandler:
    """Tell callers which entry instances to use."""

    def __init__(self, driver: CoreDriver, metrics: InstanceMetrics) -> None:
        self._driver = driver
        self._metrics = metrics

    def add_routes(self, app: web.Application) -> None:
        """Add the look-up route to the application."""
        app.router.add_get(LOOK_UP_PATH, self.handle)

    async def handle(self, req: web.Request) -> web.Response:
        """Return the response to a look-up.

        Raises HTTPBadRequest (400) for a missing service or an invalid address,
        HTTPNotFound (404) for an unknown service, and HTTPServiceUnavailable (503)
        while there is no configuration.
        """
        core = self._driver.core
        query = _read_query(req)
        cfg = core.configuration
        if cfg is None:
            raise web.HTTPServiceUnavailable(text="no configuration yet")
        if query.service not in cfg.services:
            raise web.HTTPNotFound(text=f"unknown service {query.service!r}")
        try:
            answer = core.look_up(query, self._driver.clock_ms())
        except ValueError as exc:
            raise web.HTTPBadRequest(text=f"address: {exc}") from exc
        self._metrics.record_look_up(query.service)
        return _encode_response(query.service, answer)


def _read_query(req: web.Request) -> LookUpQuery:
    service = req.query.get("service")
    if not service:
        raise web.HTTPBadRequest(text="service: missing from the query")
    zone = req.query.get("zone")
    address = req.query.get("address") or (None if zone else req.remote)
    return LookUpQuery(service, address, zone, req.query.get("ticket") == "1")


def _encode_response(service: str, answer: LookUpAnswer) -> web.Response:
    instances = [
        {
            "instance_id": instance.instance_id,
            "zone": instance.zone,
            "host": instance.address.host,
            "port": instance.address.port,
            "weight": instance.weight,
        }
        for instance in answer.instances
    ]
    body = {
        "service": service,
        "instances": instances,
        "ttl_ms": answer.ttl_ms,
        "ticket": answer.ticket,
    }
    max_age_s = answer.ttl_ms // MS_PER_S
    cache_control = "no-store" if answer.ticket else f"private, max-age={max_age_s}"
    return web.json_response(body, headers={"Cache-Control": cache_control})
