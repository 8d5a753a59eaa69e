"""The borrowing side of an entry instance: asks, shifts and forwarded requests."""

from collections.abc import Callable, Collection
from random import Random
from typing import NamedTuple

from rhubarbwell_core.engine import Action, Table
from rhubarbwell_core.grants.allowances import scale_allowance
from rhubarbwell_core.grants.borrower import (
    Borrower,
    LenderKey,
    LenderLine,
    granted_slots,
)
from rhubarbwell_core.grants.charges import LinkCharges
from rhubarbwell_core.grants.grantor import GRANT_DURATION_MS
from rhubarbwell_core.grants.lenders import LenderChoice
from rhubarbwell_core.grants.spilling import ServiceSpill
from rhubarbwell_core.links import link_bytes_per_s
from rhubarbwell_core.messages import (
    Allowance,
    AttemptEnd,
    AttemptEnded,
    GrantAnswered,
    PeerHeard,
    RequestArrived,
    SendGrantAsk,
    Target,
)
from rhubarbwell_core.model import Configuration, Identity, Rank, Reason

__all__ = ["BORROW_PERIOD_MS", "Borrowing"]

BORROW_PERIOD_MS = 100
RENEW_BEFORE_END_MS = GRANT_DURATION_MS // 2
ASK_TIMEOUT_MS = 500
MAX_LENDERS = 6
IDLE_LINE_MS = 10_000
AHEAD_S = 1.0

_LOST_ENDS = frozenset(
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
    """Forward requests under grants, as shift weights and links allow."""

    def __init__(
        self,
        identity: Identity,
        peers: Table[str, PeerHeard],
        rng: Random,
        *,
        free_part: Callable[[str, int], float | None],
    ) -> None:
        self.borrower = Borrower(
            identity.instance_id, identity.incarnation, identity.region
        )
        self.lenders = LenderChoice(identity.region, peers, rng)
        self._region = identity.region
        self._peers = peers
        self._free_part = free_part
        self._cfg: Configuration | None = None
        self._regions: frozenset[str] = frozenset()
        self._spills: dict[str, ServiceSpill] = {}
        self._charges = LinkCharges()
        self._forwarded = Table[str, _Forwarded]("forwarded attempts")
        self._moved_ms: int | None = None

    def configure(self, configuration: Configuration, now_ms: int) -> None:
        """Take the regions that a link leads to and the shift cap into force."""
        self._cfg = configuration
        deployment = configuration.deployment
        self._regions = frozenset(
            region.name
            for region in deployment.regions
            if region.name != self._region
            and link_bytes_per_s(deployment, self._region, region.name)
        )
        for name in configuration.services:
            self._spills.setdefault(name, ServiceSpill(self._region))

    def away(self, service: str) -> float:
        """Return the share of the service's requests that may leave the region."""
        spill = self._spills.get(service)
        return 0.0 if spill is None else spill.weights.away

    def weights(self, service: str) -> dict[str, float]:
        """Return the weight of each region for the service's requests."""
        spill = self._spills.get(service)
        return {self._region: 1.0} if spill is None else dict(spill.weights.weights)

    def forward(
        self,
        req: RequestArrived,
        attempt_id: str,
        *,
        exclude: Collection[str],
        refused: bool,
        now_ms: int,
    ) -> Target | None:
        """Return the peer that is to serve the request and count it there."""
        spill = self._spills.get(req.service)
        if spill is None:
            return None
        spill.count(req, refused=refused, now_ms=now_ms)
        if not refused and req.rank is Rank.URGENT:
            return None
        keys = self.borrower.usable(req.service, req.rank, now_ms, exclude=exclude)
        for key in keys:
            region = self.borrower.lines[key].region
            peer = self._peers.get(key.grantor_id)
            if peer is None or not spill.weights.can_forward(region):
                continue
            allowance = self._allowance(key)
            bytes_per_s = self._charges.charge(key, allowance, req, now_ms)
            if bytes_per_s is None:
                continue
            spill.weights.forwarded(region)
            return self._target(key, peer, attempt_id, bytes_per_s)
        return None

    def attempt_ended(self, ended: AttemptEnded, now_ms: int) -> bool:
        """Count a forwarded attempt's end; return False for other attempts."""
        sent = self._forwarded.remove(ended.attempt_id)
        if sent is None:
            return False
        self.borrower.ended(sent.key)
        self._charges.release(sent.key, sent.bytes_per_s, now_ms)
        if ended.end is AttemptEnd.ANSWERED:
            self._spills[sent.key.service].demand.ended(ended.latency_ms)
        elif ended.end in _LOST_ENDS or ended.peer_reason is Reason.NO_CAPACITY:
            self._abandon(sent.key, now_ms)
        return True

    def on_answered(self, event: GrantAnswered, now_ms: int) -> list[Action]:
        """Take in a grantor's reply."""
        reply = event.reply
        self.borrower.take_reply(reply, now_ms)
        key = LenderKey(reply.grantor_id, reply.service)
        line = self.borrower.lines.get(key)
        if line is None:
            return []
        if reply.grant is None:
            self.lenders.pause(reply.grantor_id, now_ms)
        self._set_rates(key, now_ms)
        return []

    def run(self, now_ms: int) -> list[Action]:
        """Move the shift weights and return the asks that are due."""
        if self._cfg is None:
            return []
        elapsed_ms = 0 if self._moved_ms is None else now_ms - self._moved_ms
        self._moved_ms = now_ms
        step = self._cfg.deployment.shift_cap_per_s * min(elapsed_ms, 1_000) / 1_000
        actions: list[Action] = []
        for service, spill in self._spills.items():
            spill.demand.fade()
            if not spill.is_active:
                continue
            actions += self._ask(service, spill, now_ms)
            granted = self.borrower.granted_by_region(service, now_ms)
            free_part = self._free_part(service, now_ms)
            spill.move(granted, free_part, step=step, now_ms=now_ms)
        self.borrower.forget_ended(now_ms, idle_ms=IDLE_LINE_MS)
        self._charges.keep_only(list(self.borrower.lines))
        return actions

    def _target(
        self, key: LenderKey, peer: PeerHeard, attempt_id: str, bytes_per_s: int
    ) -> Target:
        line = self.borrower.lines[key]
        assert line.grant is not None
        self.borrower.started(key)
        self._forwarded.insert(attempt_id, _Forwarded(key, bytes_per_s))
        return Target(
            key.grantor_id,
            peer.callers,
            line.grant.grant_id,
            send_before_ms=line.end_ms,
            bytes_per_s=bytes_per_s or None,
        )

    def _abandon(self, key: LenderKey, now_ms: int) -> None:
        self.borrower.abandon(key)
        self.lenders.pause(key.grantor_id, now_ms)
        self._set_rates(key, now_ms)

    def _set_rates(self, key: LenderKey, now_ms: int) -> None:
        self._charges.set_rates(key, self._allowance(key), now_ms)

    def _allowance(self, key: LenderKey) -> Allowance:
        grant = self.borrower.lines[key].grant
        return Allowance() if grant is None else grant.allowance

    def _ask(self, service: str, spill: ServiceSpill, now_ms: int) -> list[Action]:
        assert self._cfg is not None
        part = min(1.0, spill.weights.away + spill.demand.refused_part)
        reach = spill.weights.away + self._cfg.deployment.shift_cap_per_s * AHEAD_S
        wanted = spill.demand.wanted(min(part, reach))
        if not wanted.concurrent:
            return []
        lines = [
            (key, line)
            for key, line in self.borrower.lines.items()
            if key.service == service and _is_lender(line, now_ms)
        ]
        lenders = {key.grantor_id: line.region for key, line in lines}
        due = [
            key.grantor_id
            for key, line in lines
            if _is_due(line, now_ms)
            and not self.lenders.is_paused(key.grantor_id, now_ms)
        ]
        is_short = self.borrower.granted(service, now_ms) < wanted.concurrent
        if is_short and len(lenders) < MAX_LENDERS:
            silent = self._silent_grantors(service, now_ms)
            taken = {*lenders, *silent}
            peer = self.lenders.choose(service, self._regions, taken, now_ms)
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

    def _silent_grantors(self, service: str, now_ms: int) -> list[str]:
        return [
            key.grantor_id
            for key, line in self.borrower.lines.items()
            if key.service == service and line.open_asks and not _is_asked(line, now_ms)
        ]

    def _ask_peer(
        self, grantor_id: str, region: str, service: str, share: Allowance, now_ms: int
    ) -> list[Action]:
        peer = self._peers.get(grantor_id)
        if peer is None:
            return []
        ask = self.borrower.ask(grantor_id, region, service, share, now_ms)
        return [SendGrantAsk(grantor_id, peer.peers, ask)]


def _is_lender(line: LenderLine, now_ms: int) -> bool:
    return granted_slots(line, now_ms) > 0 or _is_asked(line, now_ms)


def _is_due(line: LenderLine, now_ms: int) -> bool:
    is_ending = now_ms >= line.end_ms - RENEW_BEFORE_END_MS
    return is_ending and not _is_asked(line, now_ms)


def _is_asked(line: LenderLine, now_ms: int) -> bool:
    return any(now_ms < ask.sent_ms + ASK_TIMEOUT_MS for ask in line.open_asks)
