"""Answer look-ups from a directory that is refreshed periodically."""

from collections.abc import Mapping, Sequence
from random import Random

from rhubarbwell_core.engine import Part, PeriodicCall, System, Table
from rhubarbwell_core.lookups.answers import LookUpAnswer, LookUpQuery, answer_look_up
from rhubarbwell_core.lookups.directory import InstanceDirectory
from rhubarbwell_core.lookups.prefixes import PrefixIndex, index_blocks
from rhubarbwell_core.messages import PeerRecord
from rhubarbwell_core.model import (
    Configuration,
    DeploymentSpec,
    Identity,
    region_of_zone,
    zones_of_region,
)

__all__ = ["LookUpPart"]

MAX_ZONES_OFFERED = 6
REFRESH_PERIOD_MS = 500


class LookUpPart(Part):
    """Hold the directory and zone orders from which look-ups are answered."""

    def __init__(
        self, identity: Identity, peers: Table[str, PeerRecord], rng: Random
    ) -> None:
        self.directory = InstanceDirectory()
        self._identity = identity
        self._peers = peers
        self._rng = rng
        self._deployment = DeploymentSpec("", (), ())
        self._site_index: PrefixIndex = index_blocks(())
        self._site_zones: dict[str, tuple[str, ...]] = {}
        self._zone_orders: dict[str, tuple[str, ...]] = {}

    def systems(self) -> Sequence[System]:
        """Return the system that refreshes the directory."""
        return (PeriodicCall(REFRESH_PERIOD_MS, self.refresh),)

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply the deployment of a configuration."""
        deployment = configuration.deployment
        if deployment.client_blocks != self._deployment.client_blocks:
            self._site_index = index_blocks(deployment.client_blocks)
        self._deployment = deployment
        self._site_zones = {site.name: site.zones for site in deployment.sites}
        self._zone_orders = {}
        self.refresh(now_ms)

    def refresh(self, now_ms: int) -> None:
        """Update the directory from the peers table."""
        cap = self._deployment.shift_cap_per_s
        self.directory.update(self._peers.rows(), now_ms, shift_cap_per_s=cap)

    def look_up(
        self,
        zones: Sequence[str],
        *,
        shares: Mapping[str, float],
        ticket: str | None = None,
    ) -> LookUpAnswer:
        """Return instances drawn from live zones, given in order of preference.

        shares holds the fraction of a service's load that each zone should get.
        """
        return answer_look_up(
            self.directory,
            zones,
            shares=shares,
            ttl_ms=self._deployment.look_up_ttl_ms,
            rng=self._rng,
            ticket=ticket,
        )

    def zone_order(self, query: LookUpQuery) -> tuple[str, ...]:
        """Return the zones to offer, in the caller's order of preference.

        Raises ValueError for a malformed address.
        """
        if query.zone is None and query.address is not None:
            site = self._site_index.site_of(query.address)
            if site is not None and site in self._site_zones:
                return self._site_zones[site][:MAX_ZONES_OFFERED]
        zone = query.zone or self._identity.zone
        if zone not in self._zone_orders:
            self._zone_orders[zone] = self._zones_by_delay(zone)
        return self._zone_orders[zone]

    def live_zones(self, zones: Sequence[str]) -> list[str]:
        """Return the zones that have a ready instance, in the given order."""
        return [zone for zone in zones if self.directory.offered_instances(zone)]

    def _zones_by_delay(self, zone: str) -> tuple[str, ...]:
        """Return the zone, its region's other zones, then other regions by delay."""
        region = region_of_zone(self._deployment, zone) or self._identity.region
        delays = _delays_from(self._deployment, region)
        regions = sorted(delays, key=lambda name: (delays[name], name))
        order = [zone]
        for name in (region, *regions):
            region_zones = zones_of_region(self._deployment, name)
            order += [
                region_zone for region_zone in region_zones if region_zone not in order
            ]
        return tuple(order[:MAX_ZONES_OFFERED])


def _delays_from(deployment: DeploymentSpec, region: str) -> dict[str, float]:
    delays = {}
    for link in deployment.links:
        if region in (link.first, link.second):
            other = link.second if link.first == region else link.first
            delays[other] = link.delay_ms
    return delays
