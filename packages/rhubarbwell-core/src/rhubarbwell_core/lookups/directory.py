"""The directory of ready entry instances, weighted by their free capacity."""

from bisect import bisect_right
from collections.abc import Iterable, Mapping
from itertools import accumulate
from random import Random
from typing import NamedTuple

from rhubarbwell_core.messages import PeerHeard, PeerState
from rhubarbwell_core.model import Address

__all__ = ["InstanceDirectory", "OfferedInstance"]

MIN_FREE_SHARE = 0.05
MS_PER_S = 1_000
SETTLED = 1e-6


class OfferedInstance(NamedTuple):
    """Offer one entry instance; the weights of a zone add up to 1."""

    instance_id: str
    zone: str
    address: Address
    weight: float


class _ZoneRoll(NamedTuple):
    ready: list[PeerHeard]
    offers: tuple[OfferedInstance, ...]
    cumulative: tuple[float, ...]
    settled: bool


_EMPTY_ROLL = _ZoneRoll([], (), (), True)


class InstanceDirectory:
    """Hold the ready instances of each zone, ready for weighted draws."""

    def __init__(self) -> None:
        self._rolls: dict[str, _ZoneRoll] = {}
        self._updated_ms: int | None = None

    def update(
        self, peers: Iterable[PeerHeard], now_ms: int, *, shift_cap_per_s: float
    ) -> None:
        """Take in the ready peers; known weights move at most by the shift cap.

        An instance that left goes at once: its share falls to the others.
        """
        step = self._step(now_ms, shift_cap_per_s)
        by_zone: dict[str, list[PeerHeard]] = {}
        for peer in peers:
            if peer.state is PeerState.READY:
                by_zone.setdefault(peer.zone, []).append(peer)
        self._rolls = {
            zone: self._next_roll(zone, ready, step) for zone, ready in by_zone.items()
        }

    def zones(self) -> tuple[str, ...]:
        """Return the zones that have a ready instance."""
        return tuple(self._rolls)

    def offers(self, zone: str) -> tuple[OfferedInstance, ...]:
        """Return every ready instance of the zone."""
        return self._rolls.get(zone, _EMPTY_ROLL).offers

    def draw(self, zone: str, count: int, rng: Random) -> list[OfferedInstance]:
        """Draw up to count different instances of the zone by weight."""
        roll = self._rolls.get(zone, _EMPTY_ROLL)
        if len(roll.offers) <= count:
            return sorted(roll.offers, key=lambda o: -o.weight * rng.random())
        drawn: dict[int, OfferedInstance] = {}
        while len(drawn) < count:
            place = bisect_right(roll.cumulative, rng.random() * roll.cumulative[-1])
            place = min(place, len(roll.offers) - 1)
            drawn[place] = roll.offers[place]
        return list(drawn.values())

    def _step(self, now_ms: int, shift_cap_per_s: float) -> float:
        elapsed_ms = 0 if self._updated_ms is None else now_ms - self._updated_ms
        self._updated_ms = now_ms
        return shift_cap_per_s * elapsed_ms / MS_PER_S

    def _next_roll(self, zone: str, ready: list[PeerHeard], step: float) -> _ZoneRoll:
        known = self._rolls.get(zone, _EMPTY_ROLL)
        if known.settled and known.ready == ready:
            return known
        weights = {offer.instance_id: offer.weight for offer in known.offers}
        return _make_roll(ready, weights, step)


def _make_roll(
    ready: list[PeerHeard], known: Mapping[str, float], step: float
) -> _ZoneRoll:
    free = [max(MIN_FREE_SHARE, 1.0 - peer.load) for peer in ready]
    target_sum = sum(free)
    weights = [
        _moved(known.get(peer.instance_id), share / target_sum, step)
        for peer, share in zip(ready, free, strict=True)
    ]
    total = sum(weights)
    offers = tuple(
        OfferedInstance(peer.instance_id, peer.zone, peer.callers, weight / total)
        for peer, weight in zip(ready, weights, strict=True)
    )
    cumulative = tuple(accumulate(offer.weight for offer in offers))
    settled = all(
        abs(offer.weight - share / target_sum) < SETTLED
        for offer, share in zip(offers, free, strict=True)
    )
    return _ZoneRoll(ready, offers, cumulative, settled)


def _moved(known: float | None, target: float, step: float) -> float:
    if known is None:
        return target
    return known + min(step, max(-step, target - known))
