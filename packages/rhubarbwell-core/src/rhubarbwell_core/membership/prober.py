"""Schedule probes of peers and detect failures from missing answers."""

from collections.abc import Iterable
from random import Random

from rhubarbwell_core.membership.heartbeats import HeartbeatWriter
from rhubarbwell_core.membership.members import MemberTable
from rhubarbwell_core.membership.probes import Probe, ProbeTable
from rhubarbwell_core.membership.zones import ZoneWatch
from rhubarbwell_core.messages import (
    Liveness,
    MemberNews,
    PeerRecord,
    PeerState,
    SendPeerMessage,
    ZoneReach,
)
from rhubarbwell_core.model import Address, Identity

__all__ = ["Prober"]

PROBE_PERIOD_MS = 1_000
LARGE_FLEET_PROBE_PERIOD_MS = 2_000
LARGE_ZONE_INSTANCES = 9
LARGE_FLEET_ZONES = 24
JOIN_PERIOD_MS = 500
REJOIN_PERIOD_MS = 4_000
JOIN_PROBES = 4
SUSPICION_MS = 3_000


class Prober:
    """Hold the probe schedules of zone peers, watched zones and join addresses."""

    def __init__(
        self,
        identity: Identity,
        members: MemberTable,
        zones: ZoneWatch,
        heartbeats: HeartbeatWriter,
        probes: ProbeTable,
        rng: Random,
    ) -> None:
        self._identity = identity
        self._members = members
        self._zones = zones
        self._heartbeats = heartbeats
        self._probes = probes
        self._rng = rng
        self._probe_order: list[str] = []
        self._seeds: tuple[Address, ...] = ()
        self._answered_any = False
        self._own_zone_due_ms = 0
        self._other_zones_due_ms = 0
        self._join_due_ms = 0
        self._late_zone_probes: list[Probe] = []

    def set_seeds(self, addresses: Iterable[Address]) -> None:
        """Replace the seed addresses, at which instances may be found."""
        self._seeds = tuple(addresses)

    def has_joined(self) -> bool:
        """Return True if an instance has answered or there is no address to probe."""
        return self._answered_any or not self._join_addresses()

    def zone_peers(self) -> list[PeerRecord]:
        """Return the other instances of the zone that are not gone."""
        live = self._members.live_of_zone(self._identity.zone)
        return [peer for peer in live if peer.instance_id != self._identity.instance_id]

    def probe(self, peer: PeerRecord, now_ms: int) -> SendPeerMessage:
        """Record and return a probe of a known instance."""
        probe = self._probes.open(
            peer.peers, now_ms, instance_id=peer.instance_id, zone=peer.zone
        )
        return self._heartbeats.write_probe(
            peer.peers, probe.probe_id, peer.instance_id
        )

    def send_due_probes(self, now_ms: int) -> list[SendPeerMessage]:
        """Record and return the probes that are due."""
        sends: list[SendPeerMessage] = []
        if now_ms >= self._own_zone_due_ms:
            self._own_zone_due_ms = self._next_due_ms(
                self._time_between_probes_ms(), now_ms
            )
            sends += self._probe_zone(now_ms)
        if now_ms >= self._other_zones_due_ms:
            self._other_zones_due_ms = self._next_due_ms(
                self._time_between_probes_ms(), now_ms
            )
            target = self._zones.next_target()
            sends += [] if target is None else [self.probe(target, now_ms)]
        if now_ms >= self._join_due_ms:
            joining = not self._answered_any
            period_ms = JOIN_PERIOD_MS if joining else REJOIN_PERIOD_MS
            self._join_due_ms = self._next_due_ms(period_ms, now_ms)
            sends += self._probe_join_addresses(JOIN_PROBES if joining else 1, now_ms)
        return sends

    def record_answer(self, probe_id: int, now_ms: int) -> ZoneReach | None:
        """Close a probe; return a report if the probed zone became reachable again."""
        probe = self._probes.close(probe_id)
        if probe is None:
            return None
        self._answered_any = True
        if probe.zone is None or probe.zone == self._identity.zone:
            return None
        return self._zones.record_answer(probe.zone, now_ms)

    def detect_silent_members(self, now_ms: int) -> list[MemberNews]:
        """Expire probes; return updates that mark silent zone peers suspect or gone."""
        news: list[MemberNews] = []
        for probe in self._probes.expire(now_ms):
            if probe.zone == self._identity.zone:
                news += self._news_after_timeout(probe)
            elif probe.zone is not None:
                self._late_zone_probes.append(probe)
        for row in self._members.suspects():
            is_zone_peer = row.news.heard.zone == self._identity.zone
            if is_zone_peer and now_ms - row.changed_ms >= SUSPICION_MS:
                news.append(row.news._replace(liveness=Liveness.GONE))
        return news

    def detect_silent_zones(self, now_ms: int) -> list[ZoneReach]:
        """Count failures of zones whose probes timed out and return the due reports.

        These are the probes that detect_silent_members has expired. If there are
        any, the next probe of another zone is due at once.
        """
        late, self._late_zone_probes = self._late_zone_probes, []
        if late:
            self._other_zones_due_ms = now_ms
        reports = [
            self._zones.record_failure(probe.zone, now_ms)
            for probe in late
            if probe.zone
        ]
        return [report for report in reports if report is not None]

    def _news_after_timeout(self, probe: Probe) -> list[MemberNews]:
        row = self._members.get(probe.instance_id or "")
        if row is None or row.news.liveness is not Liveness.ALIVE:
            return []
        leaving = row.news.heard.state is PeerState.LEAVING
        liveness = Liveness.GONE if leaving else Liveness.SUSPECT
        return [row.news._replace(liveness=liveness)]

    def _probe_zone(self, now_ms: int) -> list[SendPeerMessage]:
        peers = {peer.instance_id: peer for peer in self.zone_peers()}
        suspects = [row.news.heard.instance_id for row in self._members.suspects()]
        chosen = [instance_id for instance_id in suspects if instance_id in peers]
        self._probe_order = [
            instance_id for instance_id in self._probe_order if instance_id in peers
        ]
        if not self._probe_order:
            self._probe_order = self._rng.sample(list(peers), len(peers))
        if self._probe_order:
            chosen.append(self._probe_order.pop())
        return [
            self.probe(peers[instance_id], now_ms)
            for instance_id in dict.fromkeys(chosen)
        ]

    def _probe_join_addresses(self, count: int, now_ms: int) -> list[SendPeerMessage]:
        addresses = self._join_addresses()
        chosen = self._rng.sample(addresses, min(count, len(addresses)))
        sends = []
        for address in chosen:
            probe = self._probes.open(address, now_ms)
            sends.append(self._heartbeats.write_probe(address, probe.probe_id, None))
        return sends

    def _join_addresses(self) -> list[Address]:
        """Return addresses of seeds and gone zone peers that no live instance has."""
        live = {
            peer.peers
            for zone in self._members.zones()
            for peer in self._members.live_of_zone(zone)
        }
        gone = {
            row.news.heard.peers
            for row in self._members.gone()
            if row.news.heard.zone == self._identity.zone
        }
        return sorted((gone | set(self._seeds)) - live)

    def _time_between_probes_ms(self) -> int:
        is_large = len(self.zone_peers()) + 1 >= LARGE_ZONE_INSTANCES
        is_large = is_large or len(self._members.zones()) >= LARGE_FLEET_ZONES
        return LARGE_FLEET_PROBE_PERIOD_MS if is_large else PROBE_PERIOD_MS

    def _next_due_ms(self, period_ms: int, now_ms: int) -> int:
        return now_ms + round(period_ms * self._rng.uniform(0.8, 1.2))
