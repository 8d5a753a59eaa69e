"""The messages between entry instances, and the table of slots, of the model."""

from typing import TYPE_CHECKING, Any

from rhubarbwell_core.engine import Action, Event
from rhubarbwell_core.messages import (
    AnswerRelay,
    ClaimSlot,
    GrantAnswered,
    GrantAsked,
    Heartbeat,
    HeartbeatReceived,
    InstancesListed,
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
)
from rhubarbwell_core.model import Address

if TYPE_CHECKING:
    from benchmarks.steering.node import Node
    from benchmarks.steering.simulation import World

__all__ = ["PeerMessages"]

STORE_ANSWER_MS = 20
LISTING_MS = 5_000

_EVENTS: dict[type, type[Any]] = {
    Heartbeat: HeartbeatReceived,
    SyncAsk: SyncAsked,
    SyncAnswer: SyncAnswered,
}


class PeerMessages:
    """Carry the actions of cores to peers and to the table service."""

    def __init__(self, world: "World") -> None:
        self._world = world
        self._slots: dict[tuple[str, int], SlotRow] = {}
        world.every(LISTING_MS, self._list_instances)

    def carry(self, node: "Node", action: Action) -> None:
        """Carry an action; one that the model leaves out is dropped."""
        own = node.identity
        if isinstance(action, SendPeerMessage):
            event = _EVENTS.get(type(action.message))
            if event is not None:
                self._send(node, action.address, event(own.peers, action.message))
        elif isinstance(action, SendGrantAsk):
            self._send(node, action.address, GrantAsked(own.peers, action.ask))
        elif isinstance(action, SendGrantReply):
            self._send(node, action.address, GrantAnswered(action.reply))
        elif isinstance(action, RelayRenewal):
            asked = RelayAsked(
                own.instance_id, own.peers, action.relay_id, action.renewal
            )
            self._send(node, action.address, asked)
        elif isinstance(action, AnswerRelay):
            answered = RelayAnswered(
                own.instance_id, action.relay_id, action.result, action.store_silent_ms
            )
            self._send(node, action.address, answered)
        else:
            self._call_store(node, action)

    def _send(self, node: "Node", address: Address, event: Event) -> None:
        world = self._world
        target = world.node_at(address)
        if target is None:
            return
        source_zone, target_zone = node.identity.zone, target.identity.zone
        if world.network.loses(source_zone, target_zone):
            return
        delay_ms = world.network.delay_ms(source_zone, target_zone)
        world.clock.call_later(delay_ms, lambda: target.handle(event))

    def _call_store(self, node: "Node", action: Action) -> None:
        answer = self._answer_of(node, action)
        if answer is not None:
            self._world.clock.call_later(STORE_ANSWER_MS, lambda: node.handle(answer))

    def _answer_of(self, node: "Node", action: Action) -> Event | None:
        zone = node.identity.zone
        reached = zone not in self._world.network.cut_zones
        if isinstance(action, ReadSlots):
            rows = tuple(r for (z, _), r in self._slots.items() if z == action.zone)
            return SlotsAnswered(action.call_id, rows if reached else None)
        if isinstance(action, ClaimSlot):
            result = self._claim(action) if reached else StoreResult.UNAVAILABLE
            return SlotClaimAnswered(action.call_id, result)
        if isinstance(action, RenewSlots):
            lost = RenewalResult.UNAVAILABLE
            results = [self._renew(r) if reached else lost for r in action.renewals]
            return SlotsRenewed(action.call_id, tuple(results))
        if isinstance(action, ReleaseSlot) and reached:
            self._slots.pop((action.zone, action.slot), None)
        return None

    def _claim(self, action: ClaimSlot) -> StoreResult:
        key = (action.row.zone, action.row.slot)
        if self._slots.get(key) != action.expected:
            return StoreResult.CONFLICT
        self._slots[key] = action.row
        return StoreResult.DONE

    def _renew(self, renewal: SlotRenewal) -> RenewalResult:
        key = (renewal.zone, renewal.slot)
        row = self._slots.get(key)
        if row is None or row.incarnation != renewal.incarnation:
            return RenewalResult.LOST
        self._slots[key] = row._replace(renewals=row.renewals + 1)
        return RenewalResult.RENEWED

    def _list_instances(self) -> None:
        nodes = self._world.nodes.values()
        listed = InstancesListed(tuple(node.identity.peers for node in nodes))
        for node in nodes:
            if node.identity.zone not in self._world.network.cut_zones:
                node.handle(listed)
