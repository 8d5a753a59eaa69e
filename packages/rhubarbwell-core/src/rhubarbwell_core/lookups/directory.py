"""Store ready entry instances with weights by their free capacity."""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from itertools import accumulate
from random import Random
from typing import NamedTuple

from rhubarbwell_core.messages import PeerRecord, PeerState
from rhubarbwell_core.model import Address

__all__ = ["InstanceDirectory", "OfferedInstance"]

MIN_FREE_SHARE = 0.05
MS_PER_S = 1_000
WEIGHT_TOLERANCE = 1e-6


class OfferedInstance(NamedTuple):
    """Represent one entry instance; the weights of a zone add up to 1."""

    instance_id: str
    zone: str
    address: Address
    weight: float


class _ZoneOffers(NamedTuple):
    ready: list[PeerRecord]
    offers: tuple[OfferedInstance, ...]
    cumulative: tuple[float, ...]
    is_settled: bool


_NO_OFFERS = _ZoneOffers([], (), (), True)


class InstanceDirectory:
    """Store the ready instances of each zone for weighted draws."""

    def __init__(self) -> None:
        self._by_zone: dict[str, _ZoneOffers] = {}
        self._updated_ms: int | None = None

    def update(
        self, peers: Iterable[PeerRecord], now_ms: int, *, shift_cap_per_s: float
    ) -> None:
        """Replace the instances and move weights toward shares of free capacity.

        A known weight moves by at most shift_cap_per_s for each second since the
        last update, before the zone's weights are scaled to add up to 1. An instance
        that left is removed at once and its weight goes to the others.
        """
        max_change = self._max_change_since_update(now_ms, shift_cap_per_s)
        by_zone: dict[str, list[PeerRecord]] = {}
        for peer in peers:
            if peer.state is PeerState.READY:
                by_zone.setdefault(peer.zone, []).append(peer)
        self._by_zone = {
            zone: self._next_offers(zone, ready, max_change)
            for zone, ready in by_zone.items()
        }

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have a ready instance."""
        return tuple(self._by_zone)

    def offered_instances(self, zone: str) -> tuple[OfferedInstance, ...]:
        """Return every ready instance of the zone."""
        return self._by_zone.get(zone, _NO_OFFERS).offers

    def draw(self, zone: str, count: int, rng: Random) -> list[OfferedInstance]:
        """Return up to count different instances of the zone, drawn by weight."""
        zone_offers = self._by_zone.get(zone, _NO_OFFERS)
        if len(zone_offers.offers) <= count:
            return sorted(zone_offers.offers, key=lambda o: -o.weight * rng.random())
        drawn: dict[int, OfferedInstance] = {}
        while len(drawn) < count:
            index = bisect_right(
                zone_offers.cumulative, rng.random() * zone_offers.cumulative[-1]
            )
            index = min(index, len(zone_offers.offers) - 1)
            drawn[index] = zone_offers.offers[index]
        return list(drawn.values())

    def _max_change_since_update(self, now_ms: int, shift_cap_per_s: float) -> float:
        elapsed_ms = 0 if self._updated_ms is None else now_ms - self._updated_ms
        self._updated_ms = now_ms
        return shift_cap_per_s * elapsed_ms / MS_PER_S

    def _next_offers(
        self, zone: str, ready: list[PeerRecord], max_change: float
    ) -> _ZoneOffers:
        known = self._by_zone.get(zone, _NO_OFFERS)
        if known.is_settled and known.ready == ready:
            return known
        weights = {offer.instance_id: offer.weight for offer in known.offers}
        return _weighted_offers(ready, weights, max_change)


def _weighted_offers(
    ready: list[PeerRecord], known: Mapping[str, float], max_change: float
) -> _ZoneOffers:
    free = [max(MIN_FREE_SHARE, 1.0 - peer.load) for peer in ready]
    target_sum = sum(free)
    weights = [
        _weight_toward(known.get(peer.instance_id), share / target_sum, max_change)
        for peer, share in zip(ready, free, strict=True)
    ]
    total = sum(weights)
    offers = tuple(
        OfferedInstance(peer.instance_id, peer.zone, peer.callers, weight / total)
        for peer, weight in zip(ready, weights, strict=True)
    )
    cumulative = tuple(accumulate(offer.weight for offer in offers))
    is_settled = all(
        abs(offer.weight - share / target_sum) < WEIGHT_TOLERANCE
        for offer, share in zip(offers, free, strict=True)
    )
    return _ZoneOffers(ready, offers, cumulative, is_settled)


def _weight_toward(known: float | None, target: float, max_change: float) -> float:
    if known is None:
        return target
    return known + min(max_change, max(-max_change, target - known))
