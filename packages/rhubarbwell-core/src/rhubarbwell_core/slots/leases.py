"""Leases on slots: their duration and when the holder may grant capacity."""

from collections.abc import Iterable
from typing import NamedTuple

from rhubarbwell_core.grants.grantor import GRANT_DURATION_MS, GRANT_MARGIN_MS
from rhubarbwell_core.messages import SlotRow

__all__ = [
    "CLAIM_WAIT_MS",
    "LEASE_MS",
    "OUTAGE_EXTENSION_MS",
    "RenewalRound",
    "SlotLease",
    "SlotWatch",
    "may_grant",
]

LEASE_MS = 10_000
# Extension of a lease, from the start of a renewal round that proves an outage.
OUTAGE_EXTENSION_MS = 2_000
# A new holder waits until the former holder's extensions and grants have ended.
CLAIM_WAIT_MS = OUTAGE_EXTENSION_MS + GRANT_DURATION_MS + GRANT_MARGIN_MS


class SlotLease(NamedTuple):
    """Hold a slot until end_ms, or extended_end_ms during a store outage."""

    slot: int
    end_ms: int
    grants_from_ms: int
    extended_end_ms: int = 0


class RenewalRound(NamedTuple):
    """Hold a round of renewals and the peers that have not answered it yet.

    store_was_silent is False if the store has answered a peer since the lease ended.
    """

    sent_ms: int
    asked: frozenset[str] = frozenset()
    unanswered: frozenset[str] = frozenset()
    direct_failed: bool = False
    store_was_silent: bool = True

    @property
    def proves_outage(self) -> bool:
        """Return True if every path to the store failed and peers were reached.

        All asked peers, at least one, must have answered.
        """
        answered = bool(self.asked) and not self.unanswered
        return answered and self.direct_failed and self.store_was_silent


def may_grant(lease: SlotLease | None, now_ms: int) -> bool:
    """Return True if the holder of the lease may grant at now_ms.

    >>> lease = SlotLease(0, end_ms=10, grants_from_ms=6, extended_end_ms=12)
    >>> [ms for ms in (5, 6, 11, 12) if may_grant(lease, ms)]
    [6, 11]
    """
    if lease is None or now_ms < lease.grants_from_ms:
        return False
    return now_ms < max(lease.end_ms, lease.extended_end_ms)


class SlotWatch:
    """Detect free slots by how long their rows have not changed."""

    def __init__(self) -> None:
        self._seen: dict[int, tuple[SlotRow, int]] = {}

    def observe(self, rows: Iterable[SlotRow], now_ms: int) -> None:
        """Store the rows read from the table service."""
        seen = {}
        for row in rows:
            known = self._seen.get(row.slot)
            is_same = known is not None and known[0] == row
            seen[row.slot] = known if is_same and known is not None else (row, now_ms)
        self._seen = seen

    def claimable_slots(
        self, slots: int, live: Iterable[str], now_ms: int
    ) -> list[tuple[int, SlotRow | None]]:
        """Return slots without a row or, if all have rows, slots with expired leases.

        Slots held by one of the live incarnations are left out.
        """
        free = [(slot, None) for slot in range(slots) if slot not in self._seen]
        if free:
            return list(free)
        alive = frozenset(live)
        return [
            (slot, row)
            for slot, (row, since_ms) in self._seen.items()
            if slot < slots
            and now_ms >= since_ms + LEASE_MS
            and row.incarnation not in alive
        ]
