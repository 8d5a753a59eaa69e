"""Messages between the modelled entry instances, and the table of their slots."""

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from rhubarbwell_core.engine import Action, Event
from rhubarbwell_core.membership import zone_headroom
from rhubarbwell_core.messages import (
    AnswerRelay,
    ClaimSlot,
    GrantAnswered,
    GrantAsked,
    Heartbeat,
    HeartbeatHeard,
    ReadSlots,
    RelayAnswered,
    RelayAsked,
    RelayRenewal,
    ReleaseSlot,
    RenewalResult,
    RenewSlots,
    SendGrantAsk,
    SendGrantReply,
    SendPeerMessage,
    SlotClaimAnswered,
    SlotRenewal,
    SlotRow,
    SlotsAnswered,
    SlotsRenewed,
    StoreResult,
    SyncAnswer,
    SyncAnswered,
    SyncAsk,
    SyncAsked,
    ZoneHeadroomHeard,
)
from rhubarbwell_core.model import Identity

if TYPE_CHECKING:
    from benchmarks.steering.node import Node

__all__ = ["SlotTable", "headroom_of", "membership_event", "message_to_peer"]


class SlotTable:
    """Hold the slot rows as the platform's table service does."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, int], SlotRow] = {}

    def answer(self, action: Action) -> Event | None:
        """Carry out a call; return None for what is no call or needs no answer."""
        if isinstance(action, ReadSlots):
            rows = tuple(row for row in self.rows.values() if row.zone == action.zone)
            return SlotsAnswered(action.call_id, rows)
        if isinstance(action, ClaimSlot):
            return SlotClaimAnswered(action.call_id, self._claim(action))
        if isinstance(action, RenewSlots):
            results = tuple(self._renew(renewal) for renewal in action.renewals)
            return SlotsRenewed(action.call_id, results)
        if isinstance(action, ReleaseSlot):
            row = self.rows.get((action.zone, action.slot))
            if row is not None and row.incarnation == action.incarnation:
                del self.rows[action.zone, action.slot]
        return None

    def _claim(self, action: ClaimSlot) -> StoreResult:
        key = action.row.zone, action.row.slot
        if self.rows.get(key) != action.expected:
            return StoreResult.CONFLICT
        self.rows[key] = action.row
        return StoreResult.DONE

    def _renew(self, renewal: SlotRenewal) -> RenewalResult:
        key = renewal.zone, renewal.slot
        row = self.rows.get(key)
        if row is None or row.incarnation != renewal.incarnation:
            return RenewalResult.LOST
        self.rows[key] = row._replace(renewals=row.renewals + 1)
        return RenewalResult.RENEWED


def message_to_peer(source: Identity, action: Any) -> tuple[str, Event] | None:
    """Return the peer and the event that an action brings it, None for others."""
    if isinstance(action, SendGrantAsk):
        return action.peer_id, GrantAsked(source.peers, action.ask)
    if isinstance(action, SendGrantReply):
        return action.peer_id, GrantAnswered(action.reply)
    if isinstance(action, RelayRenewal):
        asked = RelayAsked(
            source.instance_id, source.peers, action.relay_id, action.renewal
        )
        return action.peer_id, asked
    if isinstance(action, AnswerRelay):
        answered = RelayAnswered(
            source.instance_id, action.relay_id, action.result, action.store_silent_ms
        )
        return action.peer_id, answered
    return None


def membership_event(source: Identity, action: SendPeerMessage) -> Event | None:
    """Return the event that a message of membership brings, None for others."""
    message = action.message
    if isinstance(message, Heartbeat):
        return HeartbeatHeard(source.peers, message)
    if isinstance(message, SyncAsk):
        return SyncAsked(source.peers, message)
    if isinstance(message, SyncAnswer):
        return SyncAnswered(source.peers, message)
    return None


def headroom_of(nodes: list["Node"]) -> Iterator[tuple["Node", ZoneHeadroomHeard]]:
    """Yield one node of each zone with the headroom that it tells the others."""
    told = set()
    for node in nodes:
        own = node.identity
        if own.zone in told or not node.is_up:
            continue
        told.add(own.zone)
        services = zone_headroom(node.core.backends.rows.rows(), own.zone)
        yield node, ZoneHeadroomHeard(own.zone, own.region, services)
