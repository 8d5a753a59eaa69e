"""Delays between places, and the places that are cut off or lost."""

from random import Random

from rhubarbwell_core.model import region_of_zone

from benchmarks.steering.deployments import Deployment

__all__ = ["Network"]

ZONE_LOSS = 0.005
RETRANSMIT_MS = 200


class Network:
    """Know the one-way delay between zones and whether they reach each other."""

    def __init__(self, deployment: Deployment, rng: Random) -> None:
        spec = deployment.configuration.deployment
        self._deployment = deployment
        self._rng = rng
        self._regions = {
            zone.name: region_of_zone(spec, zone.name) or "" for zone in spec.zones
        }
        self.cut_zones: set[str] = set()
        self.lost_regions: set[str] = set()

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return self._regions[zone]

    def is_lost(self, zone: str) -> bool:
        """Tell whether the zone's region is lost."""
        return self._regions[zone] in self.lost_regions

    def reaches(self, source: str, target: str) -> bool:
        """Tell whether two zones reach each other."""
        if self.is_lost(source) or self.is_lost(target):
            return False
        return source == target or not {source, target} & self.cut_zones

    def delay_ms(self, source: str, target: str) -> int:
        """Return the one-way delay of a packet, with retransmissions."""
        if source == target:
            return 0
        delay_ms = self._deployment.region_delay_ms
        if self._regions[source] == self._regions[target]:
            delay_ms = self._deployment.zone_delay_ms
        if self._rng.random() < ZONE_LOSS:
            delay_ms += RETRANSMIT_MS
        return delay_ms

    def loses(self, source: str, target: str) -> bool:
        """Tell whether a message between instances is lost."""
        if not self.reaches(source, target):
            return True
        return source != target and self._rng.random() < ZONE_LOSS
