"""When to probe whom, and what follows from silence."""

from collections.abc import Iterable
from random import Random

from rhubarbwell_core.membership.mail import Mail
from rhubarbwell_core.membership.members import MemberTable
from rhubarbwell_core.membership.probes import Probe, ProbeTable
from rhubarbwell_core.membership.zones import ZoneWatch
from rhubarbwell_core.messages import (
    Liveness,
    MemberNews,
    PeerHeard,
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
    """Probe zone peers in turn, watched zones, and addresses that are silent."""

    def __init__(
        self,
        identity: Identity,
        members: MemberTable,
        zones: ZoneWatch,
        mail: Mail,
        probes: ProbeTable,
        rng: Random,
    ) -> None:
        self._identity = identity
        self._members = members
        self._zones = zones
        self._mail = mail
        self._probes = probes
        self._rng = rng
        self._ring: list[str] = []
        self._hints: tuple[Address, ...] = ()
        self._answered_any = False
        self._zone_due_ms = 0
        self._watch_due_ms = 0
        self._rejoin_due_ms = 0
        self._late_watches: list[Probe] = []

    def hint(self, addresses: Iterable[Address]) -> None:
        """Take addresses at which instances may be found."""
        self._hints = tuple(addresses)

    def has_joined(self) -> bool:
        """Return whether an instance has answered or there is none to ask."""
        return self._answered_any or not self._silent_addresses()

    def zone_peers(self) -> list[PeerHeard]:
        """Return the zone's other instances that are not gone."""
        live = self._members.live_of_zone(self._identity.zone)
        return [peer for peer in live if peer.instance_id != self._identity.instance_id]

    def probe(self, peer: PeerHeard, now_ms: int) -> SendPeerMessage:
        """Return a probe of a known instance."""
        probe = self._probes.open(
            peer.peers, now_ms, instance_id=peer.instance_id, zone=peer.zone
        )
        return self._mail.probe(peer.peers, probe.probe_id, peer.instance_id)

    def send_due(self, now_ms: int) -> list[SendPeerMessage]:
        """Return the probes that are due."""
        sends: list[SendPeerMessage] = []
        if now_ms >= self._zone_due_ms:
            self._zone_due_ms = self._next_due_ms(self._period_ms(), now_ms)
            sends += self._probe_zone(now_ms)
        if now_ms >= self._watch_due_ms:
            self._watch_due_ms = self._next_due_ms(self._period_ms(), now_ms)
            target = self._zones.next_target()
            sends += [] if target is None else [self.probe(target, now_ms)]
        if now_ms >= self._rejoin_due_ms:
            joining = not self._answered_any
            period_ms = JOIN_PERIOD_MS if joining else REJOIN_PERIOD_MS
            self._rejoin_due_ms = self._next_due_ms(period_ms, now_ms)
            sends += self._probe_silent(JOIN_PROBES if joining else 1, now_ms)
        return sends

    def answered(self, probe_id: int, now_ms: int) -> ZoneReach | None:
        """Close a probe; return a report if a zone can be reached again."""
        probe = self._probes.answered(probe_id)
        if probe is None:
            return None
        self._answered_any = True
        if probe.zone is None or probe.zone == self._identity.zone:
            return None
        return self._zones.answered(probe.zone, now_ms)

    def judge(self, now_ms: int) -> list[MemberNews]:
        """Return the suspicions and deaths of zone peers that follow from silence."""
        news: list[MemberNews] = []
        for probe in self._probes.expire(now_ms):
            if probe.zone == self._identity.zone:
                news += self._judge_silence(probe)
            elif probe.zone is not None:
                self._late_watches.append(probe)
        for row in self._members.suspects():
            of_zone = row.news.heard.zone == self._identity.zone
            if of_zone and now_ms - row.changed_ms >= SUSPICION_MS:
                news.append(row.news._replace(liveness=Liveness.GONE))
        return news

    def judge_zones(self, now_ms: int) -> list[ZoneReach]:
        """Return the reports that are due on unreachable zones."""
        late, self._late_watches = self._late_watches, []
        if late:
            self._watch_due_ms = now_ms
        reports = [
            self._zones.failed(probe.zone, now_ms) for probe in late if probe.zone
        ]
        return [report for report in reports if report is not None]

    def _judge_silence(self, probe: Probe) -> list[MemberNews]:
        row = self._members.get(probe.instance_id or "")
        if row is None or row.news.liveness is not Liveness.ALIVE:
            return []
        leaving = row.news.heard.state is PeerState.LEAVING
        liveness = Liveness.GONE if leaving else Liveness.SUSPECT
        return [row.news._replace(liveness=liveness)]

    def _probe_zone(self, now_ms: int) -> list[SendPeerMessage]:
        peers = {peer.instance_id: peer for peer in self.zone_peers()}
        suspects = [row.news.heard.instance_id for row in self._members.suspects()]
        chosen = [name for name in suspects if name in peers]
        self._ring = [name for name in self._ring if name in peers]
        if not self._ring:
            self._ring = self._rng.sample(list(peers), len(peers))
        if self._ring:
            chosen.append(self._ring.pop())
        return [self.probe(peers[name], now_ms) for name in dict.fromkeys(chosen)]

    def _probe_silent(self, count: int, now_ms: int) -> list[SendPeerMessage]:
        silent = self._silent_addresses()
        chosen = self._rng.sample(silent, min(count, len(silent)))
        sends = []
        for address in chosen:
            probe = self._probes.open(address, now_ms)
            sends.append(self._mail.probe(address, probe.probe_id, None))
        return sends

    def _silent_addresses(self) -> list[Address]:
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
        return sorted((gone | set(self._hints)) - live)

    def _period_ms(self) -> int:
        is_large = len(self.zone_peers()) + 1 >= LARGE_ZONE_INSTANCES
        is_large = is_large or len(self._members.zones()) >= LARGE_FLEET_ZONES
        return LARGE_FLEET_PROBE_PERIOD_MS if is_large else PROBE_PERIOD_MS

    def _next_due_ms(self, period_ms: int, now_ms: int) -> int:
        return now_ms + round(period_ms * self._rng.uniform(0.8, 1.2))
