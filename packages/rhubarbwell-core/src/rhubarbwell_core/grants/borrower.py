"""The borrower's side of capacity grants.

A grant's time runs from the sending of the GrantAsk, so the borrower stops using the
grant before the grantor reuses the capacity, however long the messages take.
"""

from collections.abc import Collection
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import Allowance, GrantAsk, GrantReply, GrantTerms
from rhubarbwell_core.model import Rank

__all__ = ["Borrower", "LenderKey", "LenderState", "SentGrantAsk"]

MAX_OPEN_ASKS = 8
# Lower ranks leave part of a grant to the higher ones.
RANK_FRACTIONS = {Rank.URGENT: 1.0, Rank.STANDARD: 0.9, Rank.BULK: 0.7}


class LenderKey(NamedTuple):
    """Identify a grantor and a service that it grants capacity of."""

    grantor_id: str
    service: str


class SentGrantAsk(NamedTuple):
    """Hold the number of a GrantAsk and the time in ms at which it was sent."""

    ask_number: int
    sent_ms: int


class LenderState(NamedTuple):
    """Hold a grantor's latest grant for a service, its use and the open GrantAsks."""

    region: str
    open_asks: tuple[SentGrantAsk, ...] = ()
    last_answered_ask: int = 0
    grant: GrantTerms | None = None
    end_ms: int = 0
    in_use: int = 0
    refusals: int = 0


class Borrower:
    """Create GrantAsk messages and count requests against the grants.

    >>> borrower = Borrower("b", "b-1", "north")
    >>> ask = borrower.create_grant_ask("g", "south", "slotsvc", Allowance(2), now_ms=0)
    >>> terms = GrantTerms("x", "g", "g-1", "slotsvc", Rank.BULK, Allowance(2), 3_000)
    >>> reply = GrantReply(ask.ask_number, "b-1", "g", "slotsvc", terms)
    >>> borrower.apply_reply(reply, now_ms=2_000)
    >>> [borrower.usable_lenders("slotsvc", Rank.URGENT, ms) for ms in (2_999, 3_000)]
    [[LenderKey(grantor_id='g', service='slotsvc')], []]
    """

    def __init__(self, instance_id: str, incarnation: str, region: str) -> None:
        self.lenders = Table[LenderKey, LenderState]("lenders")
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._region = region
        self._next_ask = 1

    def create_grant_ask(
        self,
        grantor_id: str,
        grantor_region: str,
        service: str,
        wanted: Allowance,
        now_ms: int,
        *,
        rank_floor: Rank = Rank.BULK,
    ) -> GrantAsk:
        """Record and return a GrantAsk to send now.

        The duration of the grant in the reply counts from now_ms.
        """
        key = LenderKey(grantor_id, service)
        lender = self.lenders.get(key) or LenderState(grantor_region)
        sent = SentGrantAsk(self._next_ask, now_ms)
        self._next_ask += 1
        open_asks = (*lender.open_asks, sent)[-MAX_OPEN_ASKS:]
        self.lenders.put(key, lender._replace(open_asks=open_asks))
        return GrantAsk(
            sent.ask_number,
            self._instance_id,
            self._incarnation,
            self._region,
            service,
            rank_floor,
            wanted,
        )

    def apply_reply(self, reply: GrantReply, now_ms: int) -> None:
        """Store the grant of a reply unless a later GrantAsk was already answered."""
        key = LenderKey(reply.grantor_id, reply.service)
        lender = self.lenders.get(key)
        if lender is None or reply.borrower_incarnation != self._incarnation:
            return
        sent = _find_sent_ask(lender, reply.ask_number)
        if sent is None or reply.ask_number <= lender.last_answered_ask:
            return
        later = tuple(
            ask for ask in lender.open_asks if ask.ask_number > sent.ask_number
        )
        lender = lender._replace(open_asks=later, last_answered_ask=sent.ask_number)
        if reply.grant is None:
            self.lenders.put(key, lender._replace(refusals=lender.refusals + 1))
            return
        end_ms = sent.sent_ms + reply.grant.duration_ms
        self.lenders.put(
            key, lender._replace(grant=reply.grant, end_ms=end_ms, refusals=0)
        )

    def usable_lenders(
        self,
        service: str,
        rank: Rank,
        now_ms: int,
        *,
        exclude: Collection[str] = (),
    ) -> list[LenderKey]:
        """Return lenders that can take a request, largest free fraction first."""
        free = {
            key: fraction
            for key, lender in self.lenders.items()
            if key.service == service
            and key.grantor_id not in exclude
            and (fraction := _free_fraction(lender, rank, now_ms)) > 0.0
        }
        return sorted(free, key=lambda key: (-free[key], key))

    def record_start(self, key: LenderKey) -> None:
        """Add a request that is about to be sent to those in flight."""
        lender = self.lenders[key]
        self.lenders.put(key, lender._replace(in_use=lender.in_use + 1))

    def record_end(self, key: LenderKey) -> None:
        """Subtract a request that has ended from those in flight."""
        lender = self.lenders[key]
        self.lenders.put(key, lender._replace(in_use=lender.in_use - 1))

    def drop_grant(self, key: LenderKey) -> None:
        """Remove the grant of a grantor that is unreachable or refused a request."""
        lender = self.lenders[key]
        self.lenders.put(key, lender._replace(grant=None, end_ms=0))

    def granted_slots(self, service: str, now_ms: int) -> int:
        """Return the granted slots of the service over all lenders."""
        return sum(self.granted_slots_by_region(service, now_ms).values())

    def granted_slots_by_region(self, service: str, now_ms: int) -> dict[str, int]:
        """Return the granted slots of the service for each region that grants any."""
        granted: dict[str, int] = {}
        for key, lender in self.lenders.items():
            slots = lender_slots(lender, now_ms)
            if key.service == service and slots:
                granted[lender.region] = granted.get(lender.region, 0) + slots
        return granted

    def remove_expired(self, now_ms: int, *, idle_ms: int) -> None:
        """Remove lenders with no request in flight and no recent grant or GrantAsk."""
        for key, lender in self.lenders.items():
            recent = any(now_ms < ask.sent_ms + idle_ms for ask in lender.open_asks)
            if lender.in_use or recent or now_ms < lender.end_ms + idle_ms:
                continue
            self.lenders.remove(key)


def lender_slots(lender: LenderState, now_ms: int) -> int:
    """Return the slots of the lender's grant, 0 if it has none or it has expired."""
    if lender.grant is None or now_ms >= lender.end_ms:
        return 0
    return lender.grant.allowance.concurrent


def _find_sent_ask(lender: LenderState, ask_number: int) -> SentGrantAsk | None:
    for sent in lender.open_asks:
        if sent.ask_number == ask_number:
            return sent
    return None


def _free_fraction(lender: LenderState, rank: Rank, now_ms: int) -> float:
    slots = lender_slots(lender, now_ms)
    if lender.grant is None or slots == 0 or rank > lender.grant.rank_floor:
        return 0.0
    allowed = max(1, int(slots * RANK_FRACTIONS[rank]))
    return max(0.0, (allowed - lender.in_use) / slots)
