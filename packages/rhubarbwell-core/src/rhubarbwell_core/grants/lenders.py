"""The choice of the peers that are asked for grants."""

from collections.abc import Collection, Iterable
from random import Random

from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import (
    PeerHeard,
    PeerState,
    ServiceHeadroom,
    ZoneHeadroomHeard,
)
from rhubarbwell_core.shifts import HeadroomTable

__all__ = ["LenderChoice"]

REFUSED_PAUSE_MS = 2_000
MIN_FREE_PART = 0.1


class LenderChoice:
    """Name peers of other regions by the headroom of their zones."""

    def __init__(self, region: str, peers: Table[str, PeerHeard], rng: Random) -> None:
        self._region = region
        self._peers = peers
        self._rng = rng
        self._headroom = HeadroomTable()
        self._paused: dict[str, int] = {}

    def hear(self, event: ZoneHeadroomHeard, now_ms: int) -> None:
        """Take in the headroom of a zone."""
        self._headroom.hear(event, now_ms)

    def pause(self, instance_id: str, now_ms: int) -> None:
        """Leave out a peer that refused or can't be reached for a while."""
        self._paused[instance_id] = now_ms + REFUSED_PAUSE_MS

    def is_paused(self, instance_id: str, now_ms: int) -> bool:
        """Tell whether the peer is to be left out for now."""
        return now_ms < self._paused.get(instance_id, now_ms)

    def choose(
        self, service: str, regions: Collection[str], taken: Iterable[str], now_ms: int
    ) -> PeerHeard | None:
        """Return a ready peer, zones with more free slots being likelier."""
        left_out = {*taken, *self._still_paused(now_ms)}
        rooms = {
            zone: free
            for zone in self._headroom.zones_of(regions)
            if (free := _free_slots(self._headroom.room(zone, service, now_ms))) > 0
        }
        by_zone: dict[str, list[PeerHeard]] = {}
        for peer in self._peers.rows():
            is_able = peer.state is PeerState.READY and peer.zone in rooms
            if is_able and peer.instance_id not in left_out:
                by_zone.setdefault(peer.zone, []).append(peer)
        if not by_zone:
            return None
        zones = sorted(by_zone)
        zone = self._rng.choices(zones, [rooms[name] for name in zones])[0]
        return self._rng.choice(by_zone[zone])

    def _still_paused(self, now_ms: int) -> list[str]:
        self._paused = {
            instance_id: until_ms
            for instance_id, until_ms in self._paused.items()
            if now_ms < until_ms
        }
        return list(self._paused)


def _free_slots(room: ServiceHeadroom | None) -> int:
    if room is None:
        return 0
    return room.free if room.free >= MIN_FREE_PART * room.slots else 0
