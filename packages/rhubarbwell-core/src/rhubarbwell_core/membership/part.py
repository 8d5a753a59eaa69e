"""The part that keeps the view of all instances up to date."""

from collections.abc import Callable, Mapping, Sequence
from random import Random

from rhubarbwell_core.engine import Action, EventHandler, Table
from rhubarbwell_core.engine.systems import Part, PeriodicCall, System
from rhubarbwell_core.hashing import rendezvous
from rhubarbwell_core.membership.mail import Mail
from rhubarbwell_core.membership.members import MemberTable
from rhubarbwell_core.membership.own import OwnRow, Verdict
from rhubarbwell_core.membership.prober import Prober
from rhubarbwell_core.membership.probes import ProbeTable
from rhubarbwell_core.membership.summaries import SummaryTable, has_changed
from rhubarbwell_core.membership.syncs import Syncs
from rhubarbwell_core.membership.zones import ZoneWatch
from rhubarbwell_core.messages import (
    Heartbeat,
    HeartbeatHeard,
    IncarnationSuperseded,
    InstancesListed,
    LeaveAsked,
    Liveness,
    MemberNews,
    PeerHeard,
    PeerState,
    ServiceHeadroom,
    SyncAnswered,
    SyncAsked,
    ZoneSummary,
)
from rhubarbwell_core.model import Address, Identity

__all__ = ["MembershipPart"]

PROBE_CHECK_PERIOD_MS = 100
SUMMARY_PERIOD_MS = 2_000
SUMMARY_REFRESH_MS = 60_000
JOIN_TIMEOUT_MS = 2_000
NUDGED_PEERS = 3

VersionListener = Callable[[Address, int, int], Sequence[Action]]
SummaryListener = Callable[[ZoneSummary, int], Sequence[Action]]
HeadroomReader = Callable[[], tuple[ServiceHeadroom, ...]]


class MembershipPart(Part):
    """Tell which instances run and say so of this one.

    The peers table given holds the instances that look-ups may offer. A
    listener hears the log version of each heartbeat, another each new summary
    of a zone.
    """

    def __init__(
        self,
        identity: Identity,
        peers: Table[str, PeerHeard],
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
        self.mail = Mail(self.own, self.members)
        self.prober = Prober(
            identity, self.members, self.zones, self.mail, ProbeTable(), rng
        )
        self._syncs = Syncs(self.members, self.summaries)
        self._peers = peers
        self._rng = rng
        self._born_ms = now_ms
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
        """Return the handlers of heartbeats, comparisons of views and hints."""
        return {
            HeartbeatHeard: self._on_heartbeat,
            SyncAsked: self._on_sync_asked,
            SyncAnswered: self._on_sync_answered,
            InstancesListed: self._on_listed,
            LeaveAsked: self._on_leave,
            PeerHeard: self._on_peer,
        }

    def systems(self) -> Sequence[System]:
        """Return the systems that probe peers and sum up the zone."""
        return (
            PeriodicCall(PROBE_CHECK_PERIOD_MS, self.probe_due),
            PeriodicCall(SUMMARY_PERIOD_MS, self.sum_up),
        )

    def measure(
        self,
        *,
        load: float | None = None,
        config_version: int | None = None,
        log_version: int | None = None,
    ) -> None:
        """Set figures that ride on heartbeats; None leaves a figure as it is."""
        heard = self.own.heard
        self.own.measure(
            load=heard.load if load is None else load,
            config_version=config_version or heard.config_version,
        )
        self.mail.log_version = log_version or self.mail.log_version
        self.members.refresh(self.own.heard)
        self._peers.put(self.identity.instance_id, self.own.heard)

    def configured(self, now_ms: int) -> None:
        """Become ready once peers have answered or had the time to."""
        self._configured = True
        self._become_ready(now_ms)

    def zone_peers(self) -> list[PeerHeard]:
        """Return the zone's other instances that are not gone."""
        return self.prober.zone_peers()

    def is_chosen(self, task: str, count: int) -> bool:
        """Return whether the hash names this instance for a task of its zone."""
        ids = [peer.instance_id for peer in self.zone_peers()]
        chosen = rendezvous(task, [*ids, self.identity.instance_id], count)
        return self.identity.instance_id in chosen

    def nudge(self, now_ms: int) -> list[Action]:
        """Send heartbeats at once to a few zone peers."""
        peers = self.zone_peers()
        chosen = self._rng.sample(peers, min(NUDGED_PEERS, len(peers)))
        return [self.prober.probe(peer, now_ms) for peer in chosen]

    def probe_due(self, now_ms: int) -> list[Action]:
        """Judge unanswered probes and send those that are due."""
        for news in self.prober.judge(now_ms):
            self._take(news, now_ms)
        for reach in self.prober.judge_zones(now_ms):
            self.mail.tell_reach(reach)
        for zone in self.zones.update(now_ms):
            self._offer_zone(zone)
        self._become_ready(now_ms)
        self.members.remove_expired(now_ms)
        pending, self._pending = self._pending, []
        return [*pending, *self.prober.send_due(now_ms)]

    def sum_up(self, now_ms: int) -> list[Action]:
        """Announce the zone's headroom if it changed and this instance is named."""
        zone = self.identity.zone
        if not self.is_chosen(f"summary {zone}", 1):
            return []
        known = self.summaries.get(zone)
        services = self._read_headroom()
        if known is not None and not has_changed(known.services, services):
            heard_ms = self.summaries.heard_ms(zone) or 0
            if now_ms - heard_ms < SUMMARY_REFRESH_MS:
                return []
        sequence = 1 if known is None else known.sequence + 1
        return self._take_summary(ZoneSummary(zone, sequence, services), now_ms)

    def _on_heartbeat(self, event: HeartbeatHeard, now_ms: int) -> list[Action]:
        heartbeat = event.heartbeat
        self._take_sender(heartbeat, now_ms)
        for news in heartbeat.members:
            self._take(news, now_ms)
        actions: list[Action] = []
        for summary in heartbeat.zones:
            actions += self._take_summary(summary, now_ms)
        for reach in heartbeat.reaches:
            if self.zones.merge(reach, now_ms):
                self.mail.tell_reach(reach)
        if heartbeat.is_answer:
            reach_change = self.prober.answered(heartbeat.probe_id, now_ms)
            if reach_change is not None:
                self.mail.tell_reach(reach_change)
            self._become_ready(now_ms)
        else:
            actions.append(self.mail.answer(event.address, heartbeat))
        actions += self._syncs.compare(event.address, heartbeat, self.state, now_ms)
        if self._on_version is not None:
            actions += self._on_version(event.address, heartbeat.log_version, now_ms)
        return actions

    def _take_sender(self, heartbeat: Heartbeat, now_ms: int) -> None:
        if heartbeat.own is not None:
            self._take(MemberNews(heartbeat.own), now_ms)
        row = self.members.get(heartbeat.instance_id)
        if row is None or row.news.heard.incarnation != heartbeat.incarnation:
            return
        heard = row.news.heard._replace(load=heartbeat.load)
        if heard != row.news.heard and row.news.liveness is not Liveness.GONE:
            self.members.refresh(heard)
            self._offer(heard.instance_id)

    def _on_sync_asked(self, event: SyncAsked, now_ms: int) -> list[Action]:
        return [self._syncs.answer(event)]

    def _on_sync_answered(self, event: SyncAnswered, now_ms: int) -> list[Action]:
        for news in event.answer.members:
            self._take(news, now_ms)
        actions: list[Action] = []
        for summary in event.answer.zones:
            actions += self._take_summary(summary, now_ms)
        if not event.answer.is_last:
            actions.append(self._syncs.ask(event.address, now_ms))
        return actions

    def _on_listed(self, event: InstancesListed, now_ms: int) -> list[Action]:
        self.prober.hint(event.addresses)
        return list(self.prober.send_due(now_ms))

    def _on_leave(self, event: LeaveAsked, now_ms: int) -> list[Action]:
        if self.state is PeerState.LEAVING:
            return []
        self.own.enter(PeerState.LEAVING)
        self._announce(now_ms)
        return [self.prober.probe(peer, now_ms) for peer in self.zone_peers()]

    def _on_peer(self, event: PeerHeard, now_ms: int) -> list[Action]:
        self._take(MemberNews(event), now_ms)
        return []

    def _take(self, news: MemberNews, now_ms: int) -> None:
        if news.heard.instance_id == self.identity.instance_id:
            self._judge_own(news, now_ms)
            return
        known = self.members.get(news.heard.instance_id)
        if not self.members.merge(news, now_ms):
            return
        if known is not None and known.news.liveness is Liveness.GONE:
            self._syncs.wanted = True
        self._syncs.changed(now_ms)
        self.mail.tell_member(news)
        self._offer(news.heard.instance_id)

    def _judge_own(self, news: MemberNews, now_ms: int) -> None:
        verdict = self.own.judge(news, now_ms)
        if verdict is Verdict.REFUTED:
            self._announce(now_ms)
        if verdict is Verdict.SUPERSEDED and self.state is not PeerState.LEAVING:
            self.own.enter(PeerState.LEAVING)
            self._announce(now_ms)
            self._pending.append(IncarnationSuperseded(news.heard.incarnation))

    def _take_summary(self, summary: ZoneSummary, now_ms: int) -> list[Action]:
        if not self.summaries.merge(summary, now_ms):
            return []
        self.mail.tell_zone(summary)
        if self._on_summary is None or summary.zone == self.identity.zone:
            return []
        return list(self._on_summary(summary, now_ms))

    def _become_ready(self, now_ms: int) -> None:
        if not self._configured or self.state is not PeerState.JOINING:
            return
        waited = now_ms - self._born_ms >= JOIN_TIMEOUT_MS
        if self.prober.has_joined() or waited:
            self.own.enter(PeerState.READY)
            self._announce(now_ms)

    def _announce(self, now_ms: int) -> None:
        news = MemberNews(self.own.heard)
        self.members.merge(news, now_ms)
        self._syncs.changed(now_ms)
        self.mail.tell_member(news)
        self._peers.put(self.identity.instance_id, self.own.heard)

    def _offer_zone(self, zone: str) -> None:
        for news in self.members.of_zone(zone):
            self._offer(news.heard.instance_id)

    def _offer(self, instance_id: str) -> None:
        row = self.members.get(instance_id)
        if row is None or instance_id == self.identity.instance_id:
            return
        heard, liveness = row.news
        if liveness is Liveness.GONE or not self.zones.is_reachable(heard.zone):
            self._peers.remove(instance_id)
        else:
            self._peers.put(instance_id, heard)
