"""The lease on a slot: how long it lasts and when its holder may grant."""

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
OUTAGE_EXTENSION_MS = 2_000
CLAIM_WAIT_MS = OUTAGE_EXTENSION_MS + GRANT_DURATION_MS + GRANT_MARGIN_MS


class SlotLease(NamedTuple):
    """Hold a slot until end_ms, or until extended_end_ms while the store is away."""

    slot: int
    end_ms: int
    grants_from_ms: int
    extended_end_ms: int = 0


class RenewalRound(NamedTuple):
    """Hold a round of renewals and the peers that have not answered it."""

    sent_ms: int
    asked: frozenset[str] = frozenset()
    unanswered: frozenset[str] = frozenset()
    direct_failed: bool = False
    store_was_silent: bool = True

    @property
    def proves_outage(self) -> bool:
        """Tell whether every way to the store has failed and a peer is reached."""
        answered = bool(self.asked) and not self.unanswered
        return answered and self.direct_failed and self.store_was_silent


def may_grant(lease: SlotLease | None, now_ms: int) -> bool:
    """Tell whether the holder of the lease may grant at now_ms.

    >>> lease = SlotLease(0, end_ms=10, grants_from_ms=6, extended_end_ms=12)
    >>> [ms for ms in (5, 6, 11, 12) if may_grant(lease, ms)]
    [6, 11]
    """
    if lease is None or now_ms < lease.grants_from_ms:
        return False
    return now_ms < max(lease.end_ms, lease.extended_end_ms)


class SlotWatch:
    """Tell which slots are free by how long their rows have stayed the same."""

    def __init__(self) -> None:
        self._seen: dict[int, tuple[SlotRow, int]] = {}

    def observe(self, rows: Iterable[SlotRow], now_ms: int) -> None:
        """Take in the rows that the table service holds now."""
        seen = {}
        for row in rows:
            known = self._seen.get(row.slot)
            is_same = known is not None and known[0] == row
            seen[row.slot] = known if is_same and known is not None else (row, now_ms)
        self._seen = seen

    def claimable_slots(
        self, slots: int, live: Iterable[str], now_ms: int
    ) -> list[tuple[int, SlotRow | None]]:
        """Return slots without row, else those whose lease has lapsed.

        A slot of an incarnation that is heard live is left alone.
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
