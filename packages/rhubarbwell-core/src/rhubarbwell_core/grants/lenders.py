"""Selection of the peers that are asked for grants."""

from collections.abc import Collection, Iterable
from random import Random

from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import (
    PeerRecord,
    PeerState,
    ServiceHeadroom,
    ZoneHeadroomReceived,
)
from rhubarbwell_core.shifts import HeadroomTable

__all__ = ["LenderSelector"]

REFUSED_PAUSE_MS = 2_000
MIN_FREE_FRACTION = 0.1


class LenderSelector:
    """Select peers of other regions by the headroom of their zones."""

    def __init__(self, region: str, peers: Table[str, PeerRecord], rng: Random) -> None:
        self._region = region
        self._peers = peers
        self._rng = rng
        self._headroom = HeadroomTable()
        self._paused: dict[str, int] = {}

    def update_headroom(self, event: ZoneHeadroomReceived, now_ms: int) -> None:
        """Store the reported headroom of a zone."""
        self._headroom.update(event, now_ms)

    def pause(self, instance_id: str, now_ms: int) -> None:
        """Exclude for REFUSED_PAUSE_MS a peer that refused or is unreachable."""
        self._paused[instance_id] = now_ms + REFUSED_PAUSE_MS

    def is_paused(self, instance_id: str, now_ms: int) -> bool:
        """Return True if the peer is excluded at now_ms."""
        return now_ms < self._paused.get(instance_id, now_ms)

    def choose_lender(
        self,
        service: str,
        regions: Collection[str],
        excluded: Iterable[str],
        now_ms: int,
    ) -> PeerRecord | None:
        """Return a random ready peer of a zone drawn in proportion to its free slots.

        Return None if no zone has enough free slots or no peer is eligible.
        """
        excluded_ids = {*excluded, *self._paused_ids(now_ms)}
        free_slots = {
            zone: free
            for zone in self._headroom.zones_in(regions)
            if (free := _free_slots(self._headroom.get(zone, service, now_ms))) > 0
        }
        by_zone: dict[str, list[PeerRecord]] = {}
        for peer in self._peers.rows():
            is_candidate = peer.state is PeerState.READY and peer.zone in free_slots
            if is_candidate and peer.instance_id not in excluded_ids:
                by_zone.setdefault(peer.zone, []).append(peer)
        if not by_zone:
            return None
        zones = sorted(by_zone)
        zone = self._rng.choices(zones, [free_slots[name] for name in zones])[0]
        return self._rng.choice(by_zone[zone])

    def _paused_ids(self, now_ms: int) -> list[str]:
        """Remove the pauses that have ended and return the peers still paused."""
        self._paused = {
            instance_id: until_ms
            for instance_id, until_ms in self._paused.items()
            if now_ms < until_ms
        }
        return list(self._paused)


def _free_slots(headroom: ServiceHeadroom | None) -> int:
    if headroom is None:
        return 0
    return headroom.free if headroom.free >= MIN_FREE_FRACTION * headroom.slots else 0
