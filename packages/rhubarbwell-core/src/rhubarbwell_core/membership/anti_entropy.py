"""Compare whole membership views between two instances to repair lost updates."""

from rhubarbwell_core.engine import Action
from rhubarbwell_core.membership.members import MemberTable
from rhubarbwell_core.membership.summaries import SummaryTable
from rhubarbwell_core.messages import (
    Heartbeat,
    MemberNews,
    PeerState,
    SendPeerMessage,
    SyncAnswer,
    SyncAsk,
    SyncAskReceived,
    ZoneSummary,
)
from rhubarbwell_core.model import Address

__all__ = ["AntiEntropy"]

QUIET_PERIOD_MS = 5_000
SYNC_PERIOD_MS = 15_000
JOINING_SYNC_PERIOD_MS = 500
MEMBERS_PER_ANSWER = 200


class AntiEntropy:
    """Hold the schedule of view comparisons.

    A comparison waits until the view has not changed for QUIET_PERIOD_MS, unless
    is_urgent is set or this instance is joining.
    """

    def __init__(self, members: MemberTable, summaries: SummaryTable) -> None:
        self.is_urgent = True
        self._members = members
        self._summaries = summaries
        self._changed_ms = 0
        self._asked_ms = -SYNC_PERIOD_MS

    def record_change(self, now_ms: int) -> None:
        """Record a change of the view, which restarts the quiet period."""
        self._changed_ms = now_ms

    def request_sync_if_due(
        self, address: Address, heartbeat: Heartbeat, state: PeerState, now_ms: int
    ) -> list[Action]:
        """Return a SyncAsk to the sender if its view differs and a SyncAsk is due."""
        if heartbeat.view_digest == self._members.view_digest():
            return []
        urgent = self.is_urgent or state is PeerState.JOINING
        quiet = now_ms - self._changed_ms >= QUIET_PERIOD_MS
        period_ms = JOINING_SYNC_PERIOD_MS if urgent else SYNC_PERIOD_MS
        if not (urgent or quiet) or now_ms - self._asked_ms < period_ms:
            return []
        return [self.request_sync(address, now_ms)]

    def request_sync(self, address: Address, now_ms: int) -> SendPeerMessage:
        """Record and return a SyncAsk with the digest of each zone."""
        self._asked_ms = now_ms
        self.is_urgent = False
        return SendPeerMessage(address, SyncAsk(self._members.digests()))

    def answer_sync(self, event: SyncAskReceived) -> SendPeerMessage:
        """Return the known rows and summaries of the zones whose digests differ.

        Zones are added until the next would raise the answer above
        MEMBERS_PER_ANSWER rows; is_last is then False. The first is always added.
        """
        peer_digests = {digest.zone: digest.digest for digest in event.ask.digests}
        members: list[MemberNews] = []
        zones: list[ZoneSummary] = []
        is_last = True
        for zone, digest in self._members.digests():
            if peer_digests.get(zone) == digest:
                continue
            known = self._members.of_zone(zone)
            if members and len(members) + len(known) > MEMBERS_PER_ANSWER:
                is_last = False
                break
            members += known
            summary = self._summaries.get(zone)
            zones += [] if summary is None else [summary]
        answer = SyncAnswer(tuple(members), tuple(zones), is_last)
        return SendPeerMessage(event.address, answer)
