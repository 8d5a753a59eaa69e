"""Renewals of a zone's slot leases, sent to the table service in batches."""

from collections.abc import Callable
from typing import NamedTuple

from rhubarbwell_core.engine import Action, Table
from rhubarbwell_core.messages import (
    AnswerRelay,
    RelayAsked,
    RenewalResult,
    RenewSlots,
    SlotRenewal,
    SlotsRenewed,
)

__all__ = ["OwnRenewal", "RenewalBatch"]


class OwnRenewal(NamedTuple):
    """Name an own renewal of a round."""

    round_id: int
    renewal: SlotRenewal


class RenewalBatch:
    """Gather own and peers' renewals and hand the results back."""

    def __init__(
        self,
        next_call_id: Callable[[], int],
        on_own: Callable[[int, RenewalResult, int], None],
    ) -> None:
        self.store_answered_ms: int | None = None
        self._next_call_id = next_call_id
        self._on_own = on_own
        self._pending: list[RelayAsked | OwnRenewal] = []
        self._sent = Table[int, tuple[RelayAsked | OwnRenewal, ...]]("renewal batches")

    def add(self, renewal: RelayAsked | OwnRenewal) -> None:
        """Keep a renewal for the next batch."""
        self._pending.append(renewal)

    def flush(self) -> list[Action]:
        """Return the call that renews what has been gathered."""
        if not self._pending:
            return []
        call_id = self._next_call_id()
        self._sent.insert(call_id, tuple(self._pending))
        renewals = tuple(item.renewal for item in self._pending)
        self._pending.clear()
        return [RenewSlots(call_id, renewals)]

    def on_renewed(self, event: SlotsRenewed, now_ms: int) -> list[Action]:
        """Hand the results of a batch to those who asked."""
        if any(result is not RenewalResult.UNAVAILABLE for result in event.results):
            self.record_store_answer(now_ms)
        sent = self._sent.remove(event.call_id) or ()
        actions: list[Action] = []
        for item, result in zip(sent, event.results, strict=False):
            if isinstance(item, OwnRenewal):
                self._on_own(item.round_id, result, now_ms)
            else:
                actions.append(self._answer(item, result, now_ms))
        return actions

    def record_store_answer(self, now_ms: int) -> None:
        """Remember when the table service last answered."""
        self.store_answered_ms = now_ms

    def _answer(
        self, asked: RelayAsked, result: RenewalResult, now_ms: int
    ) -> AnswerRelay:
        answered_ms = self.store_answered_ms
        silent_ms = None if answered_ms is None else now_ms - answered_ms
        return AnswerRelay(
            asked.peer_id, asked.address, asked.relay_id, result, silent_ms
        )
