"""Delays, message loss, partitions and failed regions of the simulated network."""

from random import Random

from rhubarbwell_core.model import region_of_zone

from benchmarks.steering.deployments import Deployment

__all__ = ["Network"]

PACKET_LOSS_PROBABILITY = 0.005
RETRANSMIT_MS = 200


class Network:
    """Hold the state of the network between zones, and draw delays and losses."""

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
        """Return True if the zone's region has failed."""
        return self._region_by_zone[zone] in self.failed_regions

    def reaches(self, source: str, target: str) -> bool:
        """Return True if neither failure nor partition separates two zones."""
        if self.is_zone_down(source) or self.is_zone_down(target):
            return False
        return source == target or not {source, target} & self.partitioned_zones

    def delay_ms(self, source: str, target: str) -> int:
        """Return a one-way delay in ms, with a retransmission at random."""
        if source == target:
            return 0
        delay_ms = self._deployment.region_delay_ms
        if self._region_by_zone[source] == self._region_by_zone[target]:
            delay_ms = self._deployment.zone_delay_ms
        if self._rng.random() < PACKET_LOSS_PROBABILITY:
            delay_ms += RETRANSMIT_MS
        return delay_ms

    def drops_message(self, source: str, target: str) -> bool:
        """Return True if a message between instances is lost, drawn at random."""
        if not self.reaches(source, target):
            return True
        return source != target and self._rng.random() < PACKET_LOSS_PROBABILITY
