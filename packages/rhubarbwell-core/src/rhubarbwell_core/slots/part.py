"""The slot that entitles an entry instance to grant its share of capacity."""

from collections.abc import Callable, Mapping, Sequence
from itertools import count
from random import Random

from rhubarbwell_core.engine import Action, EventHandler, Part, PeriodicCall, System
from rhubarbwell_core.messages import (
    ClaimSlot,
    PeerHeard,
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
    HOLD_OVER_MS,
    LEASE_MS,
    RenewalRound,
    SlotLease,
    SlotWatch,
    may_grant,
)
from rhubarbwell_core.slots.relays import OwnRenewal, RenewalBatch

__all__ = ["SlotPart"]

RUN_EVERY_MS = 500
RENEW_EVERY_MS = 3_000
RETRY_EVERY_MS = 1_000
READ_EVERY_MS = 2_000
CALL_TIMEOUT_MS = 5_000
ROUNDS_KEPT = 8


class SlotPart(Part):
    """Claim a slot of the zone, renew its lease and relay peers' renewals."""

    def __init__(
        self,
        identity: Identity,
        rng: Random,
        *,
        zone_peers: Callable[[], Sequence[PeerHeard]],
        is_leaving: Callable[[], bool] = bool,
    ) -> None:
        self.lease: SlotLease | None = None
        self._identity = identity
        self._rng = rng
        self._zone_peers = zone_peers
        self._is_leaving = is_leaving
        self._slots = 0
        self._calls = count()
        self._call: int | None = None
        self._next_ms = 0
        self._claim: SlotRow | None = None
        self._claim_sent_ms = 0
        self._watch = SlotWatch()
        self._rounds: dict[int, RenewalRound] = {}
        self._last_round_failed = False
        self._batch = RenewalBatch(lambda: next(self._calls), self._on_own_renewal)

    def handlers(self) -> Mapping[type, EventHandler]:
        """Return the handlers of the table service's and peers' answers."""
        return {
            SlotsAnswered: self._on_rows,
            SlotClaimAnswered: self._on_claim,
            SlotsRenewed: self._batch.on_renewed,
            RelayAsked: self._on_relay_asked,
            RelayAnswered: self._on_relay_answered,
        }

    def systems(self) -> Sequence[System]:
        """Return the system that claims, renews and relays."""
        return (PeriodicCall(RUN_EVERY_MS, self.run),)

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Take the zone's number of slots into force, none with a single region."""
        deployment = configuration.deployment
        counts = [
            zone.entry_instances
            for zone in deployment.zones
            if zone.name == self._identity.zone
        ]
        self._slots = sum(counts) if len(deployment.regions) > 1 else 0

    def may_grant(self, now_ms: int) -> bool:
        """Tell whether this instance may grant its share of capacity now."""
        return not self._is_leaving() and may_grant(self.lease, now_ms)

    def run(self, now_ms: int) -> list[Action]:
        """Return the claim, renewals and relays that are due."""
        if self._is_leaving():
            return [*self._release(), *self._batch.flush()]
        actions: list[Action] = []
        if now_ms >= self._next_ms and self._slots:
            actions = self._read(now_ms) if self.lease is None else self._renew(now_ms)
        return [*actions, *self._batch.flush()]

    def _release(self) -> list[Action]:
        if self.lease is None:
            return []
        slot = self.lease.slot
        self.lease = None
        return [ReleaseSlot(self._identity.zone, slot, self._identity.incarnation)]

    def _read(self, now_ms: int) -> list[Action]:
        self._call = next(self._calls)
        self._next_ms = now_ms + CALL_TIMEOUT_MS
        return [ReadSlots(self._call, self._identity.zone)]

    def _on_rows(self, event: SlotsAnswered, now_ms: int) -> list[Action]:
        if event.rows is not None:
            self._batch.store_answered(now_ms)
        if event.call_id != self._call or self.lease is not None:
            return []
        self._next_ms = now_ms + READ_EVERY_MS
        if event.rows is None:
            return []
        if self._claim is not None and self._claim in event.rows:
            self._take(self._claim, now_ms)
            return []
        self._watch.observe(event.rows, now_ms)
        return self._claim_free(now_ms)

    def _claim_free(self, now_ms: int) -> list[Action]:
        live = [peer.incarnation for peer in self._zone_peers()]
        free = self._watch.claimable(self._slots, live, now_ms)
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
        self._call = next(self._calls)
        self._next_ms = now_ms + CALL_TIMEOUT_MS
        return [ClaimSlot(self._call, row, expected)]

    def _on_claim(self, event: SlotClaimAnswered, now_ms: int) -> list[Action]:
        if event.result is not StoreResult.UNAVAILABLE:
            self._batch.store_answered(now_ms)
        if event.call_id != self._call or self._claim is None or self.lease is not None:
            return []
        if event.result is StoreResult.DONE:
            self._take(self._claim, now_ms)
        else:
            self._next_ms = now_ms + READ_EVERY_MS
        return []

    def _take(self, row: SlotRow, now_ms: int) -> None:
        end_ms = self._claim_sent_ms + LEASE_MS
        self.lease = SlotLease(row.slot, end_ms, now_ms + CLAIM_WAIT_MS)
        self._rounds.clear()
        self._last_round_failed = False
        self._next_ms = self._claim_sent_ms + RENEW_EVERY_MS

    def _renew(self, now_ms: int) -> list[Action]:
        assert self.lease is not None
        peers = {peer.instance_id: peer for peer in self._zone_peers()}
        renewer = min((*peers, self._identity.instance_id))
        ways = {renewer} if not self._last_round_failed else {*peers}
        asked = frozenset(ways - {self._identity.instance_id})
        round_id = next(self._calls)
        self._rounds[round_id] = RenewalRound(now_ms, asked, asked)
        for old in sorted(self._rounds)[:-ROUNDS_KEPT]:
            del self._rounds[old]
        renewal = SlotRenewal(
            self._identity.zone, self.lease.slot, self._identity.incarnation
        )
        if self._last_round_failed or renewer == self._identity.instance_id:
            self._batch.add(OwnRenewal(round_id, renewal))
        self._last_round_failed = True
        self._next_ms = now_ms + RETRY_EVERY_MS
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
        found = self._rounds.get(round_id)
        if found is not None:
            self._judge(round_id, found._replace(direct_failed=True), result, now_ms)

    def _on_relay_answered(self, event: RelayAnswered, now_ms: int) -> list[Action]:
        found = self._rounds.get(event.relay_id)
        if found is None or self.lease is None:
            return []
        silent_ms = event.store_silent_ms
        was_silent = silent_ms is None or now_ms - silent_ms < self.lease.end_ms
        found = found._replace(
            waiting=found.waiting - {event.peer_id},
            store_was_silent=found.store_was_silent and was_silent,
        )
        self._judge(event.relay_id, found, event.result, now_ms)
        return []

    def _judge(
        self, round_id: int, found: RenewalRound, result: RenewalResult, now_ms: int
    ) -> None:
        self._rounds[round_id] = found
        if self.lease is None:
            return
        if result is RenewalResult.LOST:
            self.lease = None
            self._claim = None
            self._next_ms = now_ms
        elif result is RenewalResult.RENEWED:
            end_ms = max(self.lease.end_ms, found.sent_ms + LEASE_MS)
            self.lease = self.lease._replace(end_ms=end_ms, hold_over_ms=0)
            self._last_round_failed = False
            self._next_ms = found.sent_ms + RENEW_EVERY_MS
        elif found.proves_outage:
            until_ms = max(self.lease.hold_over_ms, found.sent_ms + HOLD_OVER_MS)
            self.lease = self.lease._replace(hold_over_ms=until_ms)
