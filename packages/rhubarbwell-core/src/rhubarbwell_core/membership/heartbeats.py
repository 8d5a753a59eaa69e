"""Write heartbeats and the membership updates that they carry."""

from rhubarbwell_core.engine import Table
from rhubarbwell_core.membership.gossip import GossipQueue
from rhubarbwell_core.membership.members import MemberTable
from rhubarbwell_core.membership.own import OwnRow
from rhubarbwell_core.messages import (
    Heartbeat,
    Liveness,
    MemberNews,
    SendPeerMessage,
    ZoneReach,
    ZoneSummary,
)
from rhubarbwell_core.model import Address

__all__ = ["HeartbeatWriter"]

MEMBER_NEWS_SENDS = 8
SUMMARY_SENDS = 3
REACH_SENDS = 6
MEMBERS_PER_HEARTBEAT = 6
SUMMARIES_PER_HEARTBEAT = 2
REACHES_PER_HEARTBEAT = 4
MAX_ADDRESSES_REMEMBERED = 4_096


class HeartbeatWriter:
    """Hold the updates to send and write them into heartbeats of bounded size."""

    def __init__(self, own: OwnRow, members: MemberTable) -> None:
        self.log_version = 0
        self._own = own
        self._members = members
        self._member_queue = GossipQueue[str, MemberNews](sends=MEMBER_NEWS_SENDS)
        self._summary_queue = GossipQueue[str, ZoneSummary](sends=SUMMARY_SENDS)
        self._reach_queue = GossipQueue[tuple[str, str], ZoneReach](sends=REACH_SENDS)
        self._sequences_sent = Table[Address, int]("own sequences sent")

    def queue_member(self, news: MemberNews) -> None:
        """Queue an instance's update for the next heartbeats."""
        self._member_queue.put(news.heard.instance_id, news)

    def clear_member_news(self) -> None:
        """Remove the queued updates of instances, as if every peer had them."""
        self._member_queue.clear()

    def queue_summary(self, summary: ZoneSummary) -> None:
        """Queue a zone summary for the next heartbeats."""
        self._summary_queue.put(summary.zone, summary)

    def queue_reach(self, reach: ZoneReach) -> None:
        """Queue a reachability report for the next heartbeats to zone peers."""
        self._reach_queue.put((reach.zone, reach.watcher), reach)

    def write_probe(
        self, address: Address, probe_id: int, instance_id: str | None
    ) -> SendPeerMessage:
        """Return a probe; instance_id is None for an address without a known row."""
        return self._write_heartbeat(address, probe_id, instance_id, False, False)

    def write_answer(self, address: Address, probe: Heartbeat) -> SendPeerMessage:
        """Return the answer to a probe.

        It includes the own row if the prober asks for it or the address has not
        been sent its current sequence.
        """
        return self._write_heartbeat(
            address, probe.probe_id, probe.instance_id, True, probe.wants_own
        )

    def _write_heartbeat(
        self,
        address: Address,
        probe_id: int,
        instance_id: str | None,
        is_answer: bool,
        wants_own: bool,
    ) -> SendPeerMessage:
        heard = self._own.heard
        row = None if instance_id is None else self._members.get(instance_id)
        in_zone = row is not None and row.news.heard.zone == heard.zone
        heartbeat = Heartbeat(
            probe_id,
            is_answer,
            heard.instance_id,
            heard.incarnation,
            heard.sequence,
            self.log_version,
            self._members.view_digest(),
            load=heard.load,
            own=heard if wants_own or self._record_own_send_if_due(address) else None,
            members=self._members_for(instance_id),
            zones=self._summary_queue.take(SUMMARIES_PER_HEARTBEAT),
            reaches=self._reach_queue.take(REACHES_PER_HEARTBEAT) if in_zone else (),
            wants_own=row is None,
        )
        return SendPeerMessage(address, heartbeat)

    def _record_own_send_if_due(self, address: Address) -> bool:
        """If the address lacks the newest own row, record its send and return True."""
        sequence = self._own.heard.sequence
        if self._sequences_sent.get(address) == sequence:
            return False
        if len(self._sequences_sent) >= MAX_ADDRESSES_REMEMBERED:
            self._sequences_sent.remove(next(iter(self._sequences_sent)))
        self._sequences_sent.put(address, sequence)
        return True

    def _members_for(self, instance_id: str | None) -> tuple[MemberNews, ...]:
        news = self._member_queue.take(MEMBERS_PER_HEARTBEAT)
        row = None if instance_id is None else self._members.get(instance_id)
        if row is None or row.news.liveness is Liveness.ALIVE:
            return news
        # The receiver refutes an update that calls it suspect or gone.
        return (row.news, *news)
