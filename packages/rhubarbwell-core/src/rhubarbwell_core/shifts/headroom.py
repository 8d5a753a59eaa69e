"""The headroom of zones, as long as it is fresh."""

from collections.abc import Collection
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import ServiceHeadroom, ZoneHeadroomHeard

__all__ = ["HeadroomTable"]

HEADROOM_MAX_AGE_MS = 10_000


class _Heard(NamedTuple):
    region: str
    services: dict[str, ServiceHeadroom]
    measured_ms: int


class HeadroomTable:
    """Keep what was last heard of each zone.

    >>> table = HeadroomTable()
    >>> room = ServiceHeadroom("slotsvc", 9, 4)
    >>> table.hear(ZoneHeadroomHeard("r-a", "r", (room,)), 0)
    >>> table.room("r-a", "slotsvc", 10_000) == room
    True
    >>> table.room("r-a", "slotsvc", 10_001) is None
    True
    """

    def __init__(self) -> None:
        self._heard = Table[str, _Heard]("headroom of zones")

    def hear(self, event: ZoneHeadroomHeard, now_ms: int) -> None:
        """Take in the headroom of a zone."""
        services = {room.service: room for room in event.services}
        measured_ms = now_ms - event.age_ms
        self._heard.put(event.zone, _Heard(event.region, services, measured_ms))

    def room(self, zone: str, service: str, now_ms: int) -> ServiceHeadroom | None:
        """Return a service's headroom in a zone, None if old or never heard."""
        heard = self._heard.get(zone)
        if heard is None or now_ms > heard.measured_ms + HEADROOM_MAX_AGE_MS:
            return None
        return heard.services.get(service)

    def zones_of(self, regions: Collection[str]) -> list[str]:
        """Return the zones that were heard of in the regions."""
        return [zone for zone, heard in self._heard.items() if heard.region in regions]
