"""Borrowing of capacity: GrantAsk messages and forwarding of requests."""

from collections.abc import Callable, Collection
from random import Random
from typing import NamedTuple

from rhubarbwell_core.engine import Action, Table
from rhubarbwell_core.grants.allowances import scale_allowance
from rhubarbwell_core.grants.borrower import (
    Borrower,
    LenderKey,
    LenderState,
    lender_slots,
)
from rhubarbwell_core.grants.charges import LinkCharges
from rhubarbwell_core.grants.grantor import GRANT_DURATION_MS
from rhubarbwell_core.grants.lenders import LenderSelector
from rhubarbwell_core.grants.spilling import ServiceSpill
from rhubarbwell_core.links import link_bytes_per_s
from rhubarbwell_core.messages import (
    Allowance,
    AttemptEnd,
    AttemptEnded,
    GrantAnswered,
    PeerRecord,
    RequestArrived,
    SendGrantAsk,
    Target,
)
from rhubarbwell_core.model import Configuration, Identity, Rank, Reason
from rhubarbwell_core.routing import AccountPeers

__all__ = ["BORROW_PERIOD_MS", "Borrowing"]

BORROW_PERIOD_MS = 100
RENEW_BEFORE_END_MS = GRANT_DURATION_MS // 2
ASK_TIMEOUT_MS = 500
MAX_LENDERS = 6
LENDER_IDLE_MS = 10_000
# A GrantAsk covers the requests that the shift cap allows this much later.
LOOKAHEAD_S = 1.0

_UNREACHABLE_ENDS = frozenset(
    {
        AttemptEnd.CONNECT_REFUSED,
        AttemptEnd.CONNECT_TIMEOUT,
        AttemptEnd.PEER_LOST,
        AttemptEnd.RESET_BEFORE_ANSWER,
        AttemptEnd.TIMEOUT,
    }
)


class _Forwarded(NamedTuple):
    key: LenderKey
    bytes_per_s: int


class Borrowing:
    """Forward requests under grants, within the shift weights and link rates."""

    def __init__(
        self,
        identity: Identity,
        peers: Table[str, PeerRecord],
        rng: Random,
        *,
        free_fraction: Callable[[str, int], float | None],
    ) -> None:
        self.borrower = Borrower(
            identity.instance_id, identity.incarnation, identity.region
        )
        self.selector = LenderSelector(identity.region, peers, rng)
        self.account_peers = AccountPeers()
        self._region = identity.region
        self._peers = peers
        self._free_fraction = free_fraction
        self._cfg: Configuration | None = None
        self._regions: frozenset[str] = frozenset()
        self._spills: dict[str, ServiceSpill] = {}
        self._charges = LinkCharges()
        self._forwarded = Table[str, _Forwarded]("forwarded attempts")
        self._last_run_ms: int | None = None

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Apply the linked regions, the services and the shift cap."""
        self._cfg = configuration
        self.account_peers.configure(configuration)
        deployment = configuration.deployment
        self._regions = frozenset(
            region.name
            for region in deployment.regions
            if region.name != self._region
            and link_bytes_per_s(deployment, self._region, region.name)
        )
        for name in configuration.services:
            self._spills.setdefault(name, ServiceSpill(self._region))

    def remote_weight(self, service: str) -> float:
        """Return the fraction of the service's requests that may leave the region."""
        spill = self._spills.get(service)
        return 0.0 if spill is None else spill.weights.remote_weight

    def weights(self, service: str) -> dict[str, float]:
        """Return, by region, the fraction of the service's requests to send there."""
        spill = self._spills.get(service)
        return {self._region: 1.0} if spill is None else dict(spill.weights.weights)

    def choose_peer(
        self,
        req: RequestArrived,
        attempt_id: str,
        *,
        exclude: Collection[str],
        refused: bool,
        now_ms: int,
    ) -> Target | None:
        """Return the peer to forward the request to and count the request.

        refused is True once this region has refused the request; an urgent request is
        not forwarded before that. Return None unless the account, the grant, the shift
        weight and the link rate of a peer all allow it.
        """
        spill = self._spills.get(req.service)
        if spill is None or self._is_bound_here(req):
            return None
        spill.record_request(req, refused=refused, now_ms=now_ms)
        if not refused and req.rank is Rank.URGENT:
            return None
        keys = self.borrower.usable_lenders(
            req.service, req.rank, now_ms, exclude=exclude
        )
        for key in keys:
            region = self.borrower.lenders[key].region
            peer = self._peers.get(key.grantor_id)
            if peer is None or not spill.weights.can_forward(region):
                continue
            if self.account_peers.refusal(req, peer) is not None:
                continue
            allowance = self._allowance(key)
            bytes_per_s = self._charges.charge(key, allowance, req, now_ms)
            if bytes_per_s is None:
                continue
            spill.weights.record_forward(region)
            return self._start_attempt(key, peer, attempt_id, bytes_per_s)
        return None

    def record_attempt_end(self, ended: AttemptEnded, now_ms: int) -> bool:
        """Record the end of a forwarded attempt; return False for other attempts."""
        sent = self._forwarded.remove(ended.attempt_id)
        if sent is None:
            return False
        self.borrower.record_end(sent.key)
        self._charges.release(sent.key, sent.bytes_per_s, now_ms)
        if ended.end is AttemptEnd.ANSWERED:
            self._spills[sent.key.service].demand.record_latency(ended.latency_ms)
        elif ended.end in _UNREACHABLE_ENDS or ended.peer_reason is Reason.NO_CAPACITY:
            self._drop_grant(sent.key, now_ms)
        return True

    def on_answered(self, event: GrantAnswered, now_ms: int) -> list[Action]:
        """Apply a grantor's reply."""
        reply = event.reply
        self.borrower.apply_reply(reply, now_ms)
        key = LenderKey(reply.grantor_id, reply.service)
        lender = self.borrower.lenders.get(key)
        if lender is None:
            return []
        if reply.grant is None:
            self.selector.pause(reply.grantor_id, now_ms)
        self._set_rates(key, now_ms)
        return []

    def update_shift_weights(self, now_ms: int) -> list[Action]:
        """Update the shift weights and return the GrantAsks to send."""
        if self._cfg is None:
            return []
        elapsed_ms = 0 if self._last_run_ms is None else now_ms - self._last_run_ms
        self._last_run_ms = now_ms
        step = self._cfg.deployment.shift_cap_per_s * min(elapsed_ms, 1_000) / 1_000
        actions: list[Action] = []
        for service, spill in self._spills.items():
            spill.demand.decay()
            if not spill.is_active:
                continue
            actions += self._request_grants(service, spill, now_ms)
            granted = self.borrower.granted_slots_by_region(service, now_ms)
            free_fraction = self._free_fraction(service, now_ms)
            spill.move_weights(granted, free_fraction, step=step, now_ms=now_ms)
        self.borrower.remove_expired(now_ms, idle_ms=LENDER_IDLE_MS)
        self._charges.keep_only(list(self.borrower.lenders))
        return actions

    def _is_bound_here(self, req: RequestArrived) -> bool:
        """Return True if no linked region may run the request.

        Such a request is no demand for capacity of other regions.
        """
        homes = req.home_regions
        return homes is not None and self._regions.isdisjoint(homes)

    def _start_attempt(
        self, key: LenderKey, peer: PeerRecord, attempt_id: str, bytes_per_s: int
    ) -> Target:
        lender = self.borrower.lenders[key]
        assert lender.grant is not None
        self.borrower.record_start(key)
        self._forwarded.insert(attempt_id, _Forwarded(key, bytes_per_s))
        return Target(
            key.grantor_id,
            peer.callers,
            lender.grant.grant_id,
            send_before_ms=lender.end_ms,
            bytes_per_s=bytes_per_s or None,
        )

    def _drop_grant(self, key: LenderKey, now_ms: int) -> None:
        self.borrower.drop_grant(key)
        self.selector.pause(key.grantor_id, now_ms)
        self._set_rates(key, now_ms)

    def _set_rates(self, key: LenderKey, now_ms: int) -> None:
        self._charges.set_rates(key, self._allowance(key), now_ms)

    def _allowance(self, key: LenderKey) -> Allowance:
        grant = self.borrower.lenders[key].grant
        return Allowance() if grant is None else grant.allowance

    def _request_grants(
        self, service: str, spill: ServiceSpill, now_ms: int
    ) -> list[Action]:
        assert self._cfg is not None
        fraction = min(1.0, spill.weights.remote_weight + spill.demand.refused_fraction)
        limit = (
            spill.weights.remote_weight
            + self._cfg.deployment.shift_cap_per_s * LOOKAHEAD_S
        )
        wanted = spill.demand.wanted_allowance(min(fraction, limit))
        if not wanted.concurrent:
            return []
        active = [
            (key, lender)
            for key, lender in self.borrower.lenders.items()
            if key.service == service and _is_active(lender, now_ms)
        ]
        lenders = {key.grantor_id: lender.region for key, lender in active}
        due = [
            key.grantor_id
            for key, lender in active
            if _is_renewal_due(lender, now_ms)
            and not self.selector.is_paused(key.grantor_id, now_ms)
        ]
        is_insufficient = (
            self.borrower.granted_slots(service, now_ms) < wanted.concurrent
        )
        if is_insufficient and len(lenders) < MAX_LENDERS:
            unresponsive = self._unresponsive_grantors(service, now_ms)
            excluded = {*lenders, *unresponsive}
            peer = self.selector.choose_lender(service, self._regions, excluded, now_ms)
            if peer is not None:
                lenders[peer.instance_id] = peer.region
                due.append(peer.instance_id)
        share = scale_allowance(wanted, 1.0 / max(1, len(lenders)))
        share = share._replace(concurrent=max(1, share.concurrent))
        return [
            action
            for grantor_id in due
            for action in self._ask_peer(
                grantor_id, lenders[grantor_id], service, share, now_ms
            )
        ]

    def _unresponsive_grantors(self, service: str, now_ms: int) -> list[str]:
        return [
            key.grantor_id
            for key, lender in self.borrower.lenders.items()
            if key.service == service
            and lender.open_asks
            and not _has_pending_grant_ask(lender, now_ms)
        ]

    def _ask_peer(
        self, grantor_id: str, region: str, service: str, share: Allowance, now_ms: int
    ) -> list[Action]:
        peer = self._peers.get(grantor_id)
        if peer is None:
            return []
        ask = self.borrower.create_grant_ask(grantor_id, region, service, share, now_ms)
        return [SendGrantAsk(grantor_id, peer.peers, ask)]


def _is_active(lender: LenderState, now_ms: int) -> bool:
    return lender_slots(lender, now_ms) > 0 or _has_pending_grant_ask(lender, now_ms)


def _is_renewal_due(lender: LenderState, now_ms: int) -> bool:
    is_ending = now_ms >= lender.end_ms - RENEW_BEFORE_END_MS
    return is_ending and not _has_pending_grant_ask(lender, now_ms)


def _has_pending_grant_ask(lender: LenderState, now_ms: int) -> bool:
    return any(now_ms < ask.sent_ms + ASK_TIMEOUT_MS for ask in lender.open_asks)
