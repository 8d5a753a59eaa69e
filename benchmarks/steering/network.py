"""Delays between places, and the places that are cut off or lost."""

from random import Random

from rhubarbwell_core.model import region_of_zone

from benchmarks.steering.deployments import Deployment

__all__ = ["Network"]

PACKET_LOSS_PROBABILITY = 0.005
RETRANSMIT_MS = 200


class Network:
    """Know the one-way delay between zones and whether they reach each other."""

    def __init__(self, deployment: Deployment, rng: Random) -> None:
        spec = deployment.configuration.deployment
        self._deployment = deployment
        self._rng = rng
        self._region_by_zone = {
            zone.name: region_of_zone(spec, zone.name) or "" for zone in spec.zones
        }
        self.partitioned_zones: set[str] = set()
        self.failed_regions: set[str] = set()

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return self._region_by_zone[zone]

    def is_zone_down(self, zone: str) -> bool:
        """Tell whether the zone's region is lost."""
        return self._region_by_zone[zone] in self.failed_regions

    def reaches(self, source: str, target: str) -> bool:
        """Tell whether two zones reach each other."""
        if self.is_zone_down(source) or self.is_zone_down(target):
            return False
        return source == target or not {source, target} & self.partitioned_zones

    def delay_ms(self, source: str, target: str) -> int:
        """Return the one-way delay of a packet, with retransmissions."""
        if source == target:
            return 0
        delay_ms = self._deployment.region_delay_ms
        if self._region_by_zone[source] == self._region_by_zone[target]:
            delay_ms = self._deployment.zone_delay_ms
        if self._rng.random() < PACKET_LOSS_PROBABILITY:
            delay_ms += RETRANSMIT_MS
        return delay_ms

    def drops_message(self, source: str, target: str) -> bool:
        """Tell whether a message between instances is lost."""
        if not self.reaches(source, target):
            return True
        return source != target and self._rng.random() < PACKET_LOSS_PROBABILITY
