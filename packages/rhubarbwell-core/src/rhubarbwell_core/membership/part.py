"""Keep the view of all entry instances up to date."""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from rhubarbwell_core.engine import Action, EventHandler, Table
from rhubarbwell_core.engine.systems import Part, PeriodicCall, System
from rhubarbwell_core.hashing import rendezvous
from rhubarbwell_core.membership.anti_entropy import AntiEntropy
from rhubarbwell_core.membership.heartbeats import HeartbeatWriter
from rhubarbwell_core.membership.members import MemberTable
from rhubarbwell_core.membership.own import OwnNewsOutcome, OwnRow
from rhubarbwell_core.membership.prober import Prober
from rhubarbwell_core.membership.probes import ProbeTable
from rhubarbwell_core.membership.summaries import SummaryTable, has_headroom_changed
from rhubarbwell_core.membership.zones import ZoneWatch
from rhubarbwell_core.messages import (
    Heartbeat,
    HeartbeatReceived,
    IncarnationSuperseded,
    InstancesListed,
    Liveness,
    MemberNews,
    PeerRecord,
    PeerState,
    ServiceHeadroom,
    ShutdownRequested,
    SyncAnswered,
    SyncAskReceived,
    ZoneSummary,
)
from rhubarbwell_core.model import Address, Identity

__all__ = ["MembershipPart"]

PROBE_CHECK_PERIOD_MS = 100
SUMMARY_PERIOD_MS = 2_000
SUMMARY_REFRESH_MS = 60_000
JOIN_TIMEOUT_MS = 2_000
RANDOM_PEERS_PROBED = 3

VersionListener = Callable[[Address, int, int], Sequence[Action]]
SummaryListener = Callable[[ZoneSummary, int], Sequence[Action]]
HeadroomReader = Callable[[], tuple[ServiceHeadroom, ...]]


class MembershipPart(Part):
    """Hold the membership view and exchange it with peers by heartbeats.

    The part keeps in peers the instances that look-ups may offer. on_version is
    called with the log version of each heartbeat, on_summary with each new
    summary of another zone. read_headroom returns the headroom of this zone.
    """

    def __init__(
        self,
        identity: Identity,
        peers: Table[str, PeerRecord],
        rng: Random,
        *,
        now_ms: int = 0,
        on_version: VersionListener | None = None,
        on_summary: SummaryListener | None = None,
        read_headroom: HeadroomReader = tuple,
    ) -> None:
        self.identity = identity
        self.own = OwnRow(identity, now_ms=now_ms)
        self.members = MemberTable()
        self.summaries = SummaryTable()
        self.zones = ZoneWatch(identity, self.members)
        self.heartbeats = HeartbeatWriter(self.own, self.members)
        self.prober = Prober(
            identity, self.members, self.zones, self.heartbeats, ProbeTable(), rng
        )
        self._anti_entropy = AntiEntropy(self.members, self.summaries)
        self._peers = peers
        self._rng = rng
        self._started_ms = now_ms
        self._configured = False
        self._on_version = on_version
        self._on_summary = on_summary
        self._read_headroom = read_headroom
        self._pending: list[Action] = []
        self._announce(now_ms)

    @property
    def state(self) -> PeerState:
        """Return the state that this instance announces."""
        return self.own.heard.state

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handlers of heartbeats, syncs, instance lists and shutdown."""
        return {
            HeartbeatReceived: self._on_heartbeat,
            SyncAskReceived: self._on_sync_asked,
            SyncAnswered: self._on_sync_answered,
            InstancesListed: self._on_instances_listed,
            ShutdownRequested: self._on_shutdown_requested,
            PeerRecord: self._on_peer_record,
        }

    def systems(self) -> Sequence[System]:
        """Return the systems that probe peers and announce the zone's headroom."""
        return (
            PeriodicCall(PROBE_CHECK_PERIOD_MS, self.probe_and_update_view),
            PeriodicCall(SUMMARY_PERIOD_MS, self.announce_headroom),
        )

    def update_own_status(
        self,
        *,
        load: float | None = None,
        config_version: int | None = None,
        log_version: int | None = None,
    ) -> None:
        """Set values that heartbeats carry; None leaves a value unchanged."""
        heard = self.own.heard
        self.own.update_status(
            load=heard.load if load is None else load,
            config_version=config_version or heard.config_version,
        )
        self.heartbeats.log_version = log_version or self.heartbeats.log_version
        self.members.refresh(self.own.heard)
        self._peers.put(self.identity.instance_id, self.own.heard)

    def mark_configured(self, now_ms: int) -> None:
        """Let this instance become ready once a peer answers or the join times out."""
        self._configured = True
        self._become_ready_if_joined(now_ms)

    def zone_peers(self) -> list[PeerRecord]:
        """Return the other instances of the zone that are not gone."""
        return self.prober.zone_peers()

    def is_assigned(self, task: str, count: int) -> bool:
        """Return True if hashing assigns the zone's task to this instance.

        The task goes to count instances of the zone.
        """
        ids = [peer.instance_id for peer in self.zone_peers()]
        chosen = rendezvous(task, [*ids, self.identity.instance_id], count)
        return self.identity.instance_id in chosen

    def probe_random_peers(self, now_ms: int) -> list[Action]:
        """Return probes of up to RANDOM_PEERS_PROBED zone peers."""
        peers = self.zone_peers()
        chosen = self._rng.sample(peers, min(RANDOM_PEERS_PROBED, len(peers)))
        return [self.prober.probe(peer, now_ms) for peer in chosen]

    def probe_and_update_view(self, now_ms: int) -> list[Action]:
        """Update the view and return the pending actions and the probes that are due.

        The update applies probe and join timeouts and reports on other zones, and
        removes instances that have been gone for long.
        """
        for news in self.prober.detect_silent_members(now_ms):
            self._merge_news(news, now_ms)
        for reach in self.prober.detect_silent_zones(now_ms):
            self.heartbeats.queue_reach(reach)
        for zone in self.zones.update(now_ms):
            self._update_zone_peers(zone)
        self._become_ready_if_joined(now_ms)
        self.members.remove_expired(now_ms)
        pending, self._pending = self._pending, []
        return [*pending, *self.prober.send_due_probes(now_ms)]

    def announce_headroom(self, now_ms: int) -> list[Action]:
        """Announce the zone's headroom if it is due and the task is assigned here.

        It is due without a known summary, after a significant change, and
        SUMMARY_REFRESH_MS after the last summary.
        """
        zone = self.identity.zone
        if not self.is_assigned(f"summary {zone}", 1):
            return []
        known = self.summaries.get(zone)
        services = self._read_headroom()
        if known is not None and not has_headroom_changed(known.services, services):
            received_ms = self.summaries.received_ms(zone) or 0
            if now_ms - received_ms < SUMMARY_REFRESH_MS:
                return []
        sequence = 1 if known is None else known.sequence + 1
        return self._merge_summary(ZoneSummary(zone, sequence, services), now_ms)

    def _on_heartbeat(self, event: HeartbeatReceived, now_ms: int) -> list[Action]:
        heartbeat = event.heartbeat
        self._merge_sender(heartbeat, now_ms)
        for news in heartbeat.members:
            self._merge_news(news, now_ms)
        actions: list[Action] = []
        for summary in heartbeat.zones:
            actions += self._merge_summary(summary, now_ms)
        for reach in heartbeat.reaches:
            if self.zones.merge(reach, now_ms):
                self.heartbeats.queue_reach(reach)
        if heartbeat.is_answer:
            reach_change = self.prober.record_answer(heartbeat.probe_id, now_ms)
            if reach_change is not None:
                self.heartbeats.queue_reach(reach_change)
            self._become_ready_if_joined(now_ms)
        else:
            actions.append(self.heartbeats.write_answer(event.address, heartbeat))
        actions += self._anti_entropy.request_sync_if_due(
            event.address, heartbeat, self.state, now_ms
        )
        if self._on_version is not None:
            actions += self._on_version(event.address, heartbeat.log_version, now_ms)
        return actions

    def _merge_sender(self, heartbeat: Heartbeat, now_ms: int) -> None:
        if heartbeat.own is not None:
            self._merge_news(MemberNews(heartbeat.own), now_ms)
        row = self.members.get(heartbeat.instance_id)
        if row is None or row.news.heard.incarnation != heartbeat.incarnation:
            return
        heard = row.news.heard._replace(load=heartbeat.load)
        if heard != row.news.heard and row.news.liveness is not Liveness.GONE:
            self.members.refresh(heard)
            self._update_peer(heard.instance_id)

    def _on_sync_asked(self, event: SyncAskReceived, now_ms: int) -> list[Action]:
        return [self._anti_entropy.answer_sync(event)]

    def _on_sync_answered(self, event: SyncAnswered, now_ms: int) -> list[Action]:
        for news in event.answer.members:
            self._merge_news(news, now_ms)
        actions: list[Action] = []
        for summary in event.answer.zones:
            actions += self._merge_summary(summary, now_ms)
        if not event.answer.is_last:
            actions.append(self._anti_entropy.request_sync(event.address, now_ms))
        return actions

    def _on_instances_listed(self, event: InstancesListed, now_ms: int) -> list[Action]:
        self.prober.set_seeds(event.addresses)
        return list(self.prober.send_due_probes(now_ms))

    def _on_shutdown_requested(
        self, event: ShutdownRequested, now_ms: int
    ) -> list[Action]:
        if self.state is PeerState.LEAVING:
            return []
        self.own.set_state(PeerState.LEAVING)
        self._announce(now_ms)
        return [self.prober.probe(peer, now_ms) for peer in self.zone_peers()]

    def _on_peer_record(self, event: PeerRecord, now_ms: int) -> list[Action]:
        self._merge_news(MemberNews(event), now_ms)
        return []

    def _merge_news(self, news: MemberNews, now_ms: int) -> None:
        if news.heard.instance_id == self.identity.instance_id:
            self._reconcile_own(news, now_ms)
            return
        known = self.members.get(news.heard.instance_id)
        if not self.members.merge(news, now_ms):
            return
        if known is not None and known.news.liveness is Liveness.GONE:
            self._anti_entropy.is_urgent = True
        self._anti_entropy.record_change(now_ms)
        self.heartbeats.queue_member(news)
        self._update_peer(news.heard.instance_id)

    def _reconcile_own(self, news: MemberNews, now_ms: int) -> None:
        outcome = self.own.reconcile(news, now_ms)
        if outcome is OwnNewsOutcome.REFUTED:
            self._announce(now_ms)
        if outcome is OwnNewsOutcome.SUPERSEDED and self.state is not PeerState.LEAVING:
            self.own.set_state(PeerState.LEAVING)
            self._announce(now_ms)
            self._pending.append(IncarnationSuperseded(news.heard.incarnation))

    def _merge_summary(self, summary: ZoneSummary, now_ms: int) -> list[Action]:
        if not self.summaries.merge(summary, now_ms):
            return []
        self.heartbeats.queue_summary(summary)
        if self._on_summary is None or summary.zone == self.identity.zone:
            return []
        return list(self._on_summary(summary, now_ms))

    def _become_ready_if_joined(self, now_ms: int) -> None:
        if not self._configured or self.state is not PeerState.JOINING:
            return
        timed_out = now_ms - self._started_ms >= JOIN_TIMEOUT_MS
        if self.prober.has_joined() or timed_out:
            self.own.set_state(PeerState.READY)
            self._announce(now_ms)

    def _announce(self, now_ms: int) -> None:
        news = MemberNews(self.own.heard)
        self.members.merge(news, now_ms)
        self._anti_entropy.record_change(now_ms)
        self.heartbeats.queue_member(news)
        self._peers.put(self.identity.instance_id, self.own.heard)

    def _update_zone_peers(self, zone: str) -> None:
        for news in self.members.of_zone(zone):
            self._update_peer(news.heard.instance_id)

    def _update_peer(self, instance_id: str) -> None:
        row = self.members.get(instance_id)
        if row is None or instance_id == self.identity.instance_id:
            return
        heard, liveness = row.news
        if liveness is Liveness.GONE or not self.zones.is_reachable(heard.zone):
            self._peers.remove(instance_id)
        else:
            self._peers.put(instance_id, heard)
