"""The grantor's side of capacity grants.

Capacity is reserved before the grant is sent and is released at least
GRANT_MARGIN_MS after the borrower must have stopped using it.
"""

from collections.abc import Iterable
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.grants.allowances import (
    fieldwise_max,
    fieldwise_min,
    remaining_allowance,
    scale_allowance,
    sum_allowances,
)
from rhubarbwell_core.messages import Allowance, GrantAsk, GrantReply, GrantTerms
from rhubarbwell_core.model import Rank

__all__ = [
    "GRANT_DURATION_MS",
    "GRANT_MARGIN_MS",
    "BorrowerKey",
    "BorrowerState",
    "Grantor",
    "IssuedGrant",
    "Reservation",
]

GRANT_DURATION_MS = 3_000
GRANT_MARGIN_MS = 1_000
# A borrower counts for fair sharing this long after its last GrantAsk.
ACTIVE_ASK_MS = 3_000


class BorrowerKey(NamedTuple):
    """Identify an incarnation of a borrower and a service."""

    borrower_incarnation: str
    service: str


class Reservation(NamedTuple):
    """Hold an allowance that is reserved until end_ms."""

    allowance: Allowance
    end_ms: int


class BorrowerState(NamedTuple):
    """Hold a borrower's last GrantAsk, reservations and requests of a service."""

    borrower_region: str
    last_ask: int = 0
    asked_ms: int = 0
    wanted: int = 0
    reservations: tuple[Reservation, ...] = ()
    running: int = 0


class IssuedGrant(NamedTuple):
    """Hold the terms that forwarded requests under a grant are checked against."""

    borrower_key: BorrowerKey
    rank_floor: Rank
    end_ms: int


class Grantor:
    """Grant capacity within a cap and count forwarded requests against the grants.

    >>> grantor = Grantor("g", "g-1")
    >>> ask = GrantAsk(1, "b", "b-1", "north", "slotsvc", Rank.BULK, Allowance(5))
    >>> reply = grantor.answer(ask, Allowance(concurrent=3), now_ms=0)
    >>> reply.grant.allowance.concurrent, grantor.reserved_slots("slotsvc", 3_999)
    (3, 3)
    >>> grantor.reserved_slots("slotsvc", 4_000)
    0
    """

    def __init__(self, instance_id: str, incarnation: str) -> None:
        self.borrowers = Table[BorrowerKey, BorrowerState]("borrowers")
        self.grants = Table[str, IssuedGrant]("grants")
        self._instance_id = instance_id
        self._incarnation = incarnation

    def answer(
        self,
        ask: GrantAsk,
        cap: Allowance,
        now_ms: int,
        *,
        duration_ms: int = GRANT_DURATION_MS,
    ) -> GrantReply | None:
        """Grant the wanted allowance as far as the cap allows and return the reply.

        Return None if this or a later ask of the borrower has been answered. The cap
        limits the service's requests, and the rates of the link with the borrower's
        region, over all borrowers.
        """
        key = BorrowerKey(ask.borrower_incarnation, ask.service)
        state = self.borrowers.get(key) or BorrowerState(ask.borrower_region)
        if ask.ask_number <= state.last_ask:
            return None
        state = state._replace(
            last_ask=ask.ask_number, asked_ms=now_ms, wanted=ask.wanted.concurrent
        )
        self.borrowers.put(key, state)
        allowance = self._available_allowance(key, ask, cap, now_ms)
        if allowance.concurrent == 0:
            return self._make_reply(ask, None)
        end_ms = now_ms + duration_ms + GRANT_MARGIN_MS
        kept = _live_reservations(state, now_ms)
        reservations = (*kept, Reservation(allowance, end_ms))
        self.borrowers.put(key, state._replace(reservations=reservations))
        return self._make_reply(
            ask, self._issue_grant(ask, key, allowance, duration_ms, end_ms)
        )

    def accept(self, grant_id: str, rank: Rank, now_ms: int) -> BorrowerKey | None:
        """Return the borrower and count its request if the grant allows, else None."""
        grant = self.grants.get(grant_id)
        if grant is None or now_ms >= grant.end_ms or rank > grant.rank_floor:
            return None
        state = self.borrowers[grant.borrower_key]
        if state.running >= _granted_allowance(state, now_ms).concurrent:
            return None
        self.borrowers.put(
            grant.borrower_key, state._replace(running=state.running + 1)
        )
        return grant.borrower_key

    def record_end(self, key: BorrowerKey) -> None:
        """Record the end of an accepted forwarded request."""
        state = self.borrowers[key]
        self.borrowers.put(key, state._replace(running=state.running - 1))

    def reserved_slots(self, service: str, now_ms: int) -> int:
        """Return the slots of the service that are reserved or in use."""
        return sum(
            reserved_allowance(state, now_ms).concurrent
            for key, state in self.borrowers.items()
            if key.service == service
        )

    def reserved_link(self, region: str, now_ms: int) -> Allowance:
        """Return the allowance reserved on the link with the borrowers' region."""
        return sum_allowances(
            reserved_allowance(state, now_ms)
            for state in self.borrowers.rows()
            if state.borrower_region == region
        )

    def running_requests(self, service: str) -> int:
        """Return how many forwarded requests of the service are running."""
        borrowers = self.borrowers.items()
        return sum(state.running for key, state in borrowers if key.service == service)

    def remove_expired(self, now_ms: int) -> None:
        """Remove expired grants and idle borrowers.

        An idle borrower has no reservation, running request or recent GrantAsk.
        """
        for grant_id, grant in self.grants.items():
            if now_ms >= grant.end_ms:
                self.grants.remove(grant_id)
        for key, state in self.borrowers.items():
            live = _live_reservations(state, now_ms)
            recent = now_ms < state.asked_ms + ACTIVE_ASK_MS + GRANT_DURATION_MS
            if live or state.running or recent:
                continue
            self.borrowers.remove(key)

    def _available_allowance(
        self, key: BorrowerKey, ask: GrantAsk, cap: Allowance, now_ms: int
    ) -> Allowance:
        others = [(k, state) for k, state in self.borrowers.items() if k != key]
        left = remaining_allowance(cap, _reserved_by(others, ask, now_ms))
        fair = _fair_slots(others, ask, cap, now_ms)
        wanted = ask.wanted._replace(concurrent=min(ask.wanted.concurrent, fair))
        return fieldwise_min(wanted, left)

    def _issue_grant(
        self,
        ask: GrantAsk,
        key: BorrowerKey,
        allowance: Allowance,
        duration_ms: int,
        end_ms: int,
    ) -> GrantTerms:
        grant_id = f"{self._incarnation}/{key.borrower_incarnation}/{ask.service}"
        grant_id += f"/{ask.ask_number}"
        self.grants.put(grant_id, IssuedGrant(key, ask.rank_floor, end_ms))
        return GrantTerms(
            grant_id,
            self._instance_id,
            self._incarnation,
            ask.service,
            ask.rank_floor,
            allowance,
            duration_ms,
        )

    def _make_reply(self, ask: GrantAsk, grant: GrantTerms | None) -> GrantReply:
        return GrantReply(
            ask.ask_number,
            ask.borrower_incarnation,
            self._instance_id,
            ask.service,
            grant,
        )


def reserved_allowance(state: BorrowerState, now_ms: int) -> Allowance:
    """Return the allowance held by a borrower's reservations and running requests.

    Requests that outlive their reservation hold a proportional part of it.
    """
    granted = _granted_allowance(state, now_ms)
    if state.running <= granted.concurrent or not state.reservations:
        return granted._replace(concurrent=max(granted.concurrent, state.running))
    last = fieldwise_max(res.allowance for res in state.reservations)
    fraction = state.running / last.concurrent
    return fieldwise_max(
        (granted, scale_allowance(last, fraction)._replace(concurrent=state.running))
    )


def _granted_allowance(state: BorrowerState, now_ms: int) -> Allowance:
    live = _live_reservations(state, now_ms)
    return fieldwise_max(res.allowance for res in live)


def _live_reservations(state: BorrowerState, now_ms: int) -> tuple[Reservation, ...]:
    return tuple(res for res in state.reservations if now_ms < res.end_ms)


def _reserved_by(
    borrowers: Iterable[tuple[BorrowerKey, BorrowerState]], ask: GrantAsk, now_ms: int
) -> Allowance:
    """Return reserved slots of the wanted service and rates of the borrower's link."""
    slots = 0
    link = Allowance()
    for key, state in borrowers:
        reserved = reserved_allowance(state, now_ms)
        if key.service == ask.service:
            slots += reserved.concurrent
        if state.borrower_region == ask.borrower_region:
            link = sum_allowances((link, reserved))
    return link._replace(concurrent=slots)


def _fair_slots(
    borrowers: Iterable[tuple[BorrowerKey, BorrowerState]],
    ask: GrantAsk,
    cap: Allowance,
    now_ms: int,
) -> int:
    wanted_by_others = [
        state.wanted
        for key, state in borrowers
        if key.service == ask.service and now_ms < state.asked_ms + ACTIVE_ASK_MS
    ]
    equal_share = cap.concurrent // (len(wanted_by_others) + 1)
    return max(1, equal_share, cap.concurrent - sum(wanted_by_others))
