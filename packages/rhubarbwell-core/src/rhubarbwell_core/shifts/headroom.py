"""Recently reported headroom of zones."""

from collections.abc import Collection
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import ServiceHeadroom, ZoneHeadroomReceived

__all__ = ["HeadroomTable"]

HEADROOM_MAX_AGE_MS = 10_000


class _ZoneHeadroom(NamedTuple):
    region: str
    services: dict[str, ServiceHeadroom]
    measured_ms: int


class HeadroomTable:
    """Hold the latest headroom report of each zone.

    >>> table = HeadroomTable()
    >>> headroom = ServiceHeadroom("slotsvc", 9, 4)
    >>> table.update(ZoneHeadroomReceived("r-a", "r", (headroom,)), 0)
    >>> table.get("r-a", "slotsvc", 10_000) == headroom
    True
    >>> table.get("r-a", "slotsvc", 10_001) is None
    True
    """

    def __init__(self) -> None:
        self._zones = Table[str, _ZoneHeadroom]("headroom of zones")

    def update(self, event: ZoneHeadroomReceived, now_ms: int) -> None:
        """Store the reported headroom of a zone."""
        services = {headroom.service: headroom for headroom in event.services}
        measured_ms = now_ms - event.age_ms
        self._zones.put(event.zone, _ZoneHeadroom(event.region, services, measured_ms))

    def get(self, zone: str, service: str, now_ms: int) -> ServiceHeadroom | None:
        """Return a service's headroom in a zone, None if too old or never reported."""
        zone_headroom = self._zones.get(zone)
        if (
            zone_headroom is None
            or now_ms > zone_headroom.measured_ms + HEADROOM_MAX_AGE_MS
        ):
            return None
        return zone_headroom.services.get(service)

    def zones_in(self, regions: Collection[str]) -> list[str]:
        """Return the zones of the regions that have reported headroom."""
        return [
            zone
            for zone, zone_headroom in self._zones.items()
            if zone_headroom.region in regions
        ]
