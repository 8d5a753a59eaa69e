"""The core part that leases the slot which allows an instance to grant capacity."""

from collections.abc import Callable, Mapping, Sequence
from itertools import count
from random import Random

from rhubarbwell_core.engine import Action, EventHandler, Part, PeriodicCall, System
from rhubarbwell_core.messages import (
    ClaimSlot,
    PeerRecord,
    ReadSlots,
    RelayAnswered,
    RelayAsked,
    RelayRenewal,
    ReleaseSlot,
    RenewalResult,
    SlotClaimAnswered,
    SlotRenewal,
    SlotRow,
    SlotsAnswered,
    SlotsRenewed,
    StoreResult,
)
from rhubarbwell_core.model import Configuration, Identity
from rhubarbwell_core.slots.leases import (
    CLAIM_WAIT_MS,
    LEASE_MS,
    OUTAGE_EXTENSION_MS,
    RenewalRound,
    SlotLease,
    SlotWatch,
    may_grant,
)
from rhubarbwell_core.slots.relays import OwnRenewal, RenewalBatch

__all__ = ["SlotPart"]

RUN_INTERVAL_MS = 500
RENEW_INTERVAL_MS = 3_000
RETRY_INTERVAL_MS = 1_000
READ_INTERVAL_MS = 2_000
CALL_TIMEOUT_MS = 5_000
MAX_ROUNDS = 8


class SlotPart(Part):
    """Claim a slot of the zone, renew its lease and relay the renewals of peers."""

    def __init__(
        self,
        identity: Identity,
        rng: Random,
        *,
        zone_peers: Callable[[], Sequence[PeerRecord]],
        is_leaving: Callable[[], bool] = bool,
    ) -> None:
        self.lease: SlotLease | None = None
        self._identity = identity
        self._rng = rng
        self._zone_peers = zone_peers
        self._is_leaving = is_leaving
        self._slots = 0
        self._call_ids = count()
        self._pending_call_id: int | None = None
        self._next_call_ms = 0
        self._claim: SlotRow | None = None
        self._claim_sent_ms = 0
        self._slot_watch = SlotWatch()
        self._rounds: dict[int, RenewalRound] = {}
        self._last_round_failed = False
        self._batch = RenewalBatch(lambda: next(self._call_ids), self._on_own_renewal)

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handlers of answers of the table service and of relay messages."""
        return {
            SlotsAnswered: self._on_slots_read,
            SlotClaimAnswered: self._on_claim_answered,
            SlotsRenewed: self._batch.on_renewed,
            RelayAsked: self._on_relay_asked,
            RelayAnswered: self._on_relay_answered,
        }

    def systems(self) -> Sequence[System]:
        """Return the system that claims slots and renews leases."""
        return (PeriodicCall(RUN_INTERVAL_MS, self.update_lease),)

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply the zone's number of slots; a single region needs no slots."""
        deployment = configuration.deployment
        counts = [
            zone.entry_instances
            for zone in deployment.zones
            if zone.name == self._identity.zone
        ]
        self._slots = sum(counts) if len(deployment.regions) > 1 else 0

    def may_grant(self, now_ms: int) -> bool:
        """Return True if this instance may grant its share of capacity now."""
        return not self._is_leaving() and may_grant(self.lease, now_ms)

    def update_lease(self, now_ms: int) -> list[Action]:
        """Return the due calls of the table service and messages to zone peers."""
        if self._is_leaving():
            return [*self._release_slot(), *self._batch.flush()]
        actions: list[Action] = []
        if now_ms >= self._next_call_ms and self._slots:
            actions = (
                self._read_slots(now_ms)
                if self.lease is None
                else self._renew_lease(now_ms)
            )
        return [*actions, *self._batch.flush()]

    def _release_slot(self) -> list[Action]:
        if self.lease is None:
            return []
        slot = self.lease.slot
        self.lease = None
        return [ReleaseSlot(self._identity.zone, slot, self._identity.incarnation)]

    def _read_slots(self, now_ms: int) -> list[Action]:
        self._pending_call_id = next(self._call_ids)
        self._next_call_ms = now_ms + CALL_TIMEOUT_MS
        return [ReadSlots(self._pending_call_id, self._identity.zone)]

    def _on_slots_read(self, event: SlotsAnswered, now_ms: int) -> list[Action]:
        if event.rows is not None:
            self._batch.record_store_answer(now_ms)
        if event.call_id != self._pending_call_id or self.lease is not None:
            return []
        self._next_call_ms = now_ms + READ_INTERVAL_MS
        if event.rows is None:
            return []
        if self._claim is not None and self._claim in event.rows:
            self._start_lease(self._claim, now_ms)
            return []
        self._slot_watch.observe(event.rows, now_ms)
        return self._claim_free_slot(now_ms)

    def _claim_free_slot(self, now_ms: int) -> list[Action]:
        live = [peer.incarnation for peer in self._zone_peers()]
        free = self._slot_watch.claimable_slots(self._slots, live, now_ms)
        if not free:
            return []
        slot, expected = self._rng.choice(free)
        row = SlotRow(
            self._identity.zone,
            slot,
            self._identity.instance_id,
            self._identity.incarnation,
        )
        self._claim, self._claim_sent_ms = row, now_ms
        self._pending_call_id = next(self._call_ids)
        self._next_call_ms = now_ms + CALL_TIMEOUT_MS
        return [ClaimSlot(self._pending_call_id, row, expected)]

    def _on_claim_answered(self, event: SlotClaimAnswered, now_ms: int) -> list[Action]:
        if event.result is not StoreResult.UNAVAILABLE:
            self._batch.record_store_answer(now_ms)
        if (
            event.call_id != self._pending_call_id
            or self._claim is None
            or self.lease is not None
        ):
            return []
        if event.result is StoreResult.DONE:
            self._start_lease(self._claim, now_ms)
        else:
            self._next_call_ms = now_ms + READ_INTERVAL_MS
        return []

    def _start_lease(self, row: SlotRow, now_ms: int) -> None:
        end_ms = self._claim_sent_ms + LEASE_MS
        self.lease = SlotLease(row.slot, end_ms, now_ms + CLAIM_WAIT_MS)
        self._rounds.clear()
        self._last_round_failed = False
        self._next_call_ms = self._claim_sent_ms + RENEW_INTERVAL_MS

    def _renew_lease(self, now_ms: int) -> list[Action]:
        assert self.lease is not None
        peers = {peer.instance_id: peer for peer in self._zone_peers()}
        # The zone's lowest id renews for all. After a failed round, ask every peer and
        # the table service directly.
        renewer = min((*peers, self._identity.instance_id))
        renewers = {renewer} if not self._last_round_failed else {*peers}
        asked = frozenset(renewers - {self._identity.instance_id})
        round_id = next(self._call_ids)
        self._rounds[round_id] = RenewalRound(now_ms, asked, asked)
        for old in sorted(self._rounds)[:-MAX_ROUNDS]:
            del self._rounds[old]
        renewal = SlotRenewal(
            self._identity.zone, self.lease.slot, self._identity.incarnation
        )
        if self._last_round_failed or renewer == self._identity.instance_id:
            self._batch.add(OwnRenewal(round_id, renewal))
        self._last_round_failed = True  # until a result renews the lease
        self._next_call_ms = now_ms + RETRY_INTERVAL_MS
        return [
            RelayRenewal(peer_id, peers[peer_id].peers, round_id, renewal)
            for peer_id in sorted(asked)
        ]

    def _on_relay_asked(self, event: RelayAsked, now_ms: int) -> list[Action]:
        self._batch.add(event)
        return []

    def _on_own_renewal(
        self, round_id: int, result: RenewalResult, now_ms: int
    ) -> None:
        renewal_round = self._rounds.get(round_id)
        if renewal_round is not None:
            self._apply_renewal_result(
                round_id, renewal_round._replace(direct_failed=True), result, now_ms
            )

    def _on_relay_answered(self, event: RelayAnswered, now_ms: int) -> list[Action]:
        renewal_round = self._rounds.get(event.relay_id)
        if renewal_round is None or self.lease is None:
            return []
        silent_ms = event.store_silent_ms
        was_silent = silent_ms is None or now_ms - silent_ms < self.lease.end_ms
        renewal_round = renewal_round._replace(
            unanswered=renewal_round.unanswered - {event.peer_id},
            store_was_silent=renewal_round.store_was_silent and was_silent,
        )
        self._apply_renewal_result(event.relay_id, renewal_round, event.result, now_ms)
        return []

    def _apply_renewal_result(
        self,
        round_id: int,
        renewal_round: RenewalRound,
        result: RenewalResult,
        now_ms: int,
    ) -> None:
        self._rounds[round_id] = renewal_round
        if self.lease is None:
            return
        if result is RenewalResult.LOST:
            self.lease = None
            self._claim = None
            self._next_call_ms = now_ms
        elif result is RenewalResult.RENEWED:
            end_ms = max(self.lease.end_ms, renewal_round.sent_ms + LEASE_MS)
            self.lease = self.lease._replace(end_ms=end_ms, extended_end_ms=0)
            self._last_round_failed = False
            self._next_call_ms = renewal_round.sent_ms + RENEW_INTERVAL_MS
        elif renewal_round.proves_outage:
            until_ms = max(
                self.lease.extended_end_ms, renewal_round.sent_ms + OUTAGE_EXTENSION_MS
            )
            self.lease = self.lease._replace(extended_end_ms=until_ms)
