"""Weights by which look-ups distribute a service's callers over zones."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from rhubarbwell_core.engine import Action, System, Table
from rhubarbwell_core.messages import ServiceHeadroom, ZoneHeadroomReceived
from rhubarbwell_core.model import DeploymentSpec, Identity
from rhubarbwell_core.shifts.headroom import HeadroomTable
from rhubarbwell_core.shifts.weights import next_zone_weights, proportional_weights

__all__ = ["OwnZoneMeasurement", "ZoneShares"]

SHARE_PERIOD_MS = 500


class _Shares(NamedTuple):
    weights: dict[str, float]
    moved_ms: int


class ZoneShares:
    """Hold the weights of zones by service and caller's order of preference."""

    def __init__(self) -> None:
        self._deployment = DeploymentSpec("", (), ())
        self._regions: dict[str, str] = {}
        self._local_zones: dict[tuple[str, ...], tuple[str, ...]] = {}
        self._headroom = HeadroomTable()
        self._shares = Table[tuple[str, tuple[str, ...]], _Shares]("zone shares")

    def configure(self, deployment: DeploymentSpec) -> None:
        """Apply the zones and the shift cap."""
        self._deployment = deployment
        self._regions = {zone.name: zone.region for zone in deployment.zones}
        self._local_zones = {}
        for key in list(self._shares):
            _, zones = key
            if not self._regions.keys() >= set(zones):
                self._shares.remove(key)

    def update_headroom(self, event: ZoneHeadroomReceived, now_ms: int) -> None:
        """Store the reported headroom of a zone."""
        self._headroom.update(event, now_ms)

    def shares(
        self, service: str, zones: Sequence[str], live: Sequence[str], now_ms: int
    ) -> dict[str, float]:
        """Return the weights of live zones; zones is in order of preference.

        Only zones of the most preferred zone's region get weight, unless none of them
        is live.
        """
        local = self._zones_of_nearest_region(tuple(zones))
        near = tuple(zone for zone in live if zone in local)
        if not near:
            return proportional_weights(
                live, self._fresh_headroom(service, live, now_ms)
            )
        return self._local_shares(service, near, now_ms)

    def _local_shares(
        self, service: str, local: tuple[str, ...], now_ms: int
    ) -> dict[str, float]:
        known = self._shares.get((service, local))
        if known is not None and now_ms < known.moved_ms + SHARE_PERIOD_MS:
            return known.weights
        weights = next_zone_weights(
            {} if known is None else known.weights,
            local,
            self._fresh_headroom(service, local, now_ms),
            shift_cap_per_s=self._deployment.shift_cap_per_s,
            elapsed_ms=0 if known is None else now_ms - known.moved_ms,
        )
        self._shares.put((service, local), _Shares(weights, now_ms))
        return weights

    def _zones_of_nearest_region(self, zones: tuple[str, ...]) -> tuple[str, ...]:
        local = self._local_zones.get(zones)
        if local is None:
            regions = [self._regions.get(zone) for zone in zones]
            local = tuple(
                zone
                for zone, region in zip(zones, regions, strict=True)
                if region == regions[0]
            )
            self._local_zones[zones] = local
        return local

    def _fresh_headroom(
        self, service: str, zones: Iterable[str], now_ms: int
    ) -> dict[str, ServiceHeadroom]:
        headroom = {zone: self._headroom.get(zone, service, now_ms) for zone in zones}
        return {zone: known for zone, known in headroom.items() if known is not None}


class OwnZoneMeasurement(System):
    """Represent the periodic update of the shares with the own zone's headroom."""

    period_ms = SHARE_PERIOD_MS

    def __init__(
        self,
        identity: Identity,
        shares: ZoneShares,
        read_headroom: Callable[[], tuple[ServiceHeadroom, ...]],
    ) -> None:
        self._identity = identity
        self._shares = shares
        self._read_headroom = read_headroom

    def run(self, now_ms: int) -> Sequence[Action]:
        """Measure the headroom of this instance's zone and store it."""
        own = self._identity
        event = ZoneHeadroomReceived(own.zone, own.region, self._read_headroom())
        self._shares.update_headroom(event, now_ms)
        return ()
