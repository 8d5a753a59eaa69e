"""The lending side of capacity grants: reserve first, give back last."""

from collections.abc import Iterable
from typing import NamedTuple

from rhubarbwell_core.engine import Table
from rhubarbwell_core.grants.allowances import (
    allowance_left,
    largest_allowance,
    scale_allowance,
    smallest_allowance,
    sum_allowances,
)
from rhubarbwell_core.messages import Allowance, GrantAsk, GrantReply, GrantTerms
from rhubarbwell_core.model import Rank

__all__ = [
    "GRANT_DURATION_MS",
    "GRANT_MARGIN_MS",
    "GrantLine",
    "GrantedWork",
    "Grantor",
    "LineKey",
    "Reservation",
]

GRANT_DURATION_MS = 3_000
GRANT_MARGIN_MS = 1_000
ACTIVE_ASK_MS = 3_000


class LineKey(NamedTuple):
    """Name the borrower's incarnation and the service that a line is for."""

    borrower_incarnation: str
    service: str


class Reservation(NamedTuple):
    """Keep an allowance reserved until end_ms."""

    allowance: Allowance
    end_ms: int


class GrantLine(NamedTuple):
    """Hold what one incarnation of a borrower has been granted of a service."""

    borrower_region: str
    last_ask: int = 0
    asked_ms: int = 0
    wanted: int = 0
    reservations: tuple[Reservation, ...] = ()
    running: int = 0


class GrantedWork(NamedTuple):
    """Hold a grant as forwarded requests are checked against it."""

    line: LineKey
    rank_floor: Rank
    end_ms: int


class Grantor:
    """Grant within a cap and count forwarded requests against the grants.

    >>> grantor = Grantor("g", "g-1")
    >>> ask = GrantAsk(1, "b", "b-1", "north", "slotsvc", Rank.BULK, Allowance(5))
    >>> reply = grantor.answer(ask, Allowance(concurrent=3), now_ms=0)
    >>> reply.grant.allowance.concurrent, grantor.reserved_slots("slotsvc", 3_999)
    (3, 3)
    >>> grantor.reserved_slots("slotsvc", 4_000)
    0
    """

    def __init__(self, instance_id: str, incarnation: str) -> None:
        self.lines = Table[LineKey, GrantLine]("grant lines")
        self.grants = Table[str, GrantedWork]("grants")
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
        """Grant what the cap leaves, None for an ask that a later one overtook.

        The cap holds for the service's requests and for the borrower's region's
        link, over all borrowers.
        """
        key = LineKey(ask.borrower_incarnation, ask.service)
        line = self.lines.get(key) or GrantLine(ask.borrower_region)
        if ask.ask_number <= line.last_ask:
            return None
        line = line._replace(
            last_ask=ask.ask_number, asked_ms=now_ms, wanted=ask.wanted.concurrent
        )
        self.lines.put(key, line)
        allowance = self._affordable(key, ask, cap, now_ms)
        if allowance.concurrent == 0:
            return self._reply(ask, None)
        end_ms = now_ms + duration_ms + GRANT_MARGIN_MS
        kept = _live_reservations(line, now_ms)
        reservations = (*kept, Reservation(allowance, end_ms))
        self.lines.put(key, line._replace(reservations=reservations))
        return self._reply(ask, self._terms(ask, key, allowance, duration_ms, end_ms))

    def accept(self, grant_id: str, rank: Rank, now_ms: int) -> LineKey | None:
        """Count a forwarded request and return its line, None to refuse it."""
        grant = self.grants.get(grant_id)
        if grant is None or now_ms >= grant.end_ms or rank > grant.rank_floor:
            return None
        line = self.lines[grant.line]
        if line.running >= _granted(line, now_ms).concurrent:
            return None
        self.lines.put(grant.line, line._replace(running=line.running + 1))
        return grant.line

    def ended(self, line_key: LineKey) -> None:
        """Count the end of a forwarded request that was accepted."""
        line = self.lines[line_key]
        self.lines.put(line_key, line._replace(running=line.running - 1))

    def reserved_slots(self, service: str, now_ms: int) -> int:
        """Return how many requests of the service are reserved or running."""
        return sum(
            reserved_allowance(line, now_ms).concurrent
            for key, line in self.lines.items()
            if key.service == service
        )

    def reserved_link(self, region: str, now_ms: int) -> Allowance:
        """Return what is reserved of the link with the borrowers' region."""
        return sum_allowances(
            reserved_allowance(line, now_ms)
            for line in self.lines.rows()
            if line.borrower_region == region
        )

    def running(self, service: str) -> int:
        """Return how many forwarded requests of the service are running."""
        lines = self.lines.items()
        return sum(line.running for key, line in lines if key.service == service)

    def forget_ended(self, now_ms: int) -> None:
        """Drop grants and lines that are over."""
        for grant_id, grant in self.grants.items():
            if now_ms >= grant.end_ms:
                self.grants.remove(grant_id)
        for key, line in self.lines.items():
            live = _live_reservations(line, now_ms)
            recent = now_ms < line.asked_ms + ACTIVE_ASK_MS + GRANT_DURATION_MS
            if live or line.running or recent:
                continue
            self.lines.remove(key)

    def _affordable(
        self, key: LineKey, ask: GrantAsk, cap: Allowance, now_ms: int
    ) -> Allowance:
        others = [(k, line) for k, line in self.lines.items() if k != key]
        left = allowance_left(cap, _taken_by(others, ask, now_ms))
        fair = _fair_slots(others, ask, cap, now_ms)
        wanted = ask.wanted._replace(concurrent=min(ask.wanted.concurrent, fair))
        return smallest_allowance(wanted, left)

    def _terms(
        self,
        ask: GrantAsk,
        key: LineKey,
        allowance: Allowance,
        duration_ms: int,
        end_ms: int,
    ) -> GrantTerms:
        grant_id = f"{self._incarnation}/{key.borrower_incarnation}/{ask.service}"
        grant_id += f"/{ask.ask_number}"
        self.grants.put(grant_id, GrantedWork(key, ask.rank_floor, end_ms))
        return GrantTerms(
            grant_id,
            self._instance_id,
            self._incarnation,
            ask.service,
            ask.rank_floor,
            allowance,
            duration_ms,
        )

    def _reply(self, ask: GrantAsk, grant: GrantTerms | None) -> GrantReply:
        return GrantReply(
            ask.ask_number,
            ask.borrower_incarnation,
            self._instance_id,
            ask.service,
            grant,
        )


def reserved_allowance(line: GrantLine, now_ms: int) -> Allowance:
    """Return what a line holds: its live reservations and its running requests."""
    granted = _granted(line, now_ms)
    if line.running <= granted.concurrent or not line.reservations:
        return granted._replace(concurrent=max(granted.concurrent, line.running))
    last = largest_allowance(res.allowance for res in line.reservations)
    part = line.running / last.concurrent
    return largest_allowance(
        (granted, scale_allowance(last, part)._replace(concurrent=line.running))
    )


def _granted(line: GrantLine, now_ms: int) -> Allowance:
    live = _live_reservations(line, now_ms)
    return largest_allowance(res.allowance for res in live)


def _live_reservations(line: GrantLine, now_ms: int) -> tuple[Reservation, ...]:
    return tuple(res for res in line.reservations if now_ms < res.end_ms)


def _taken_by(
    lines: Iterable[tuple[LineKey, GrantLine]], ask: GrantAsk, now_ms: int
) -> Allowance:
    slots = 0
    link = Allowance()
    for key, line in lines:
        reserved = reserved_allowance(line, now_ms)
        if key.service == ask.service:
            slots += reserved.concurrent
        if line.borrower_region == ask.borrower_region:
            link = sum_allowances((link, reserved))
    return link._replace(concurrent=slots)


def _fair_slots(
    lines: Iterable[tuple[LineKey, GrantLine]],
    ask: GrantAsk,
    cap: Allowance,
    now_ms: int,
) -> int:
    wanted_by_others = [
        line.wanted
        for key, line in lines
        if key.service == ask.service and now_ms < line.asked_ms + ACTIVE_ASK_MS
    ]
    equal_share = cap.concurrent // (len(wanted_by_others) + 1)
    return max(1, equal_share, cap.concurrent - sum(wanted_by_others))
