"""Delivery of peer messages, and a simulated table service that stores slots."""

from typing import TYPE_CHECKING, Any

from rhubarbwell_core.engine import Action, Event
from rhubarbwell_core.messages import (
    AnswerRelay,
    ClaimSlot,
    GrantAnswered,
    GrantAskReceived,
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
    SyncAskReceived,
)
from rhubarbwell_core.model import Address

if TYPE_CHECKING:
    from benchmarks.steering.node import Node
    from benchmarks.steering.simulation import Simulation

__all__ = ["ActionTransport"]

STORE_LATENCY_MS = 20
LISTING_PERIOD_MS = 5_000

_RECEIVED_EVENTS: dict[type, type[Any]] = {
    Heartbeat: HeartbeatReceived,
    SyncAsk: SyncAskReceived,
    SyncAnswer: SyncAnswered,
}


class ActionTransport:
    """Deliver the actions of cores to peers and to the table service."""

    def __init__(self, simulation: "Simulation") -> None:
        self._simulation = simulation
        self._slots: dict[tuple[str, int], SlotRow] = {}
        simulation.call_every(LISTING_PERIOD_MS, self._list_instances)

    def deliver(self, node: "Node", action: Action) -> None:
        """Deliver an action; drop one that the simulation does not support."""
        identity = node.identity
        if isinstance(action, SendPeerMessage):
            event = _RECEIVED_EVENTS.get(type(action.message))
            if event is not None:
                self._send_to_peer(
                    node, action.address, event(identity.peers, action.message)
                )
        elif isinstance(action, SendGrantAsk):
            self._send_to_peer(
                node, action.address, GrantAskReceived(identity.peers, action.ask)
            )
        elif isinstance(action, SendGrantReply):
            self._send_to_peer(node, action.address, GrantAnswered(action.reply))
        elif isinstance(action, RelayRenewal):
            relay_asked = RelayAsked(
                identity.instance_id, identity.peers, action.relay_id, action.renewal
            )
            self._send_to_peer(node, action.address, relay_asked)
        elif isinstance(action, AnswerRelay):
            relay_answered = RelayAnswered(
                identity.instance_id,
                action.relay_id,
                action.result,
                action.store_silent_ms,
            )
            self._send_to_peer(node, action.address, relay_answered)
        else:
            self._call_store(node, action)

    def _send_to_peer(self, node: "Node", address: Address, event: Event) -> None:
        simulation = self._simulation
        target = simulation.node_at(address)
        if target is None:
            return
        source_zone, target_zone = node.identity.zone, target.identity.zone
        if simulation.network.drops_message(source_zone, target_zone):
            return
        delay_ms = simulation.network.delay_ms(source_zone, target_zone)
        simulation.clock.call_later(delay_ms, lambda: target.handle(event))

    def _call_store(self, node: "Node", action: Action) -> None:
        answer = self._store_answer(node, action)
        if answer is not None:
            self._simulation.clock.call_later(
                STORE_LATENCY_MS, lambda: node.handle(answer)
            )

    def _store_answer(self, node: "Node", action: Action) -> Event | None:
        zone = node.identity.zone
        is_store_reachable = zone not in self._simulation.network.partitioned_zones
        if isinstance(action, ReadSlots):
            rows = tuple(
                row
                for (row_zone, _), row in self._slots.items()
                if row_zone == action.zone
            )
            return SlotsAnswered(action.call_id, rows if is_store_reachable else None)
        if isinstance(action, ClaimSlot):
            result = (
                self._claim(action) if is_store_reachable else StoreResult.UNAVAILABLE
            )
            return SlotClaimAnswered(action.call_id, result)
        if isinstance(action, RenewSlots):
            unavailable = RenewalResult.UNAVAILABLE
            results = [
                self._renew(renewal) if is_store_reachable else unavailable
                for renewal in action.renewals
            ]
            return SlotsRenewed(action.call_id, tuple(results))
        if isinstance(action, ReleaseSlot) and is_store_reachable:
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
        nodes = self._simulation.nodes.values()
        listed = InstancesListed(tuple(node.identity.peers for node in nodes))
        for node in nodes:
            if node.identity.zone not in self._simulation.network.partitioned_zones:
                node.handle(listed)
