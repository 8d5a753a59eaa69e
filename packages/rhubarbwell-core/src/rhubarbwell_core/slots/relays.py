"""Batches of a zone's lease renewals for the table service."""

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
    """Hold this instance's own renewal of a round."""

    round_id: int
    renewal: SlotRenewal


class RenewalBatch:
    """Collect own and relayed renewals and return their results to the senders."""

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
        """Add a renewal to the next batch."""
        self._pending.append(renewal)

    def flush(self) -> list[Action]:
        """Return the call that sends the collected renewals, or [] without renewals."""
        if not self._pending:
            return []
        call_id = self._next_call_id()
        self._sent.insert(call_id, tuple(self._pending))
        renewals = tuple(item.renewal for item in self._pending)
        self._pending.clear()
        return [RenewSlots(call_id, renewals)]

    def on_renewed(self, event: SlotsRenewed, now_ms: int) -> list[Action]:
        """Return the answers to relayed renewals and pass own results to on_own."""
        if any(result is not RenewalResult.UNAVAILABLE for result in event.results):
            self.record_store_answer(now_ms)
        sent = self._sent.remove(event.call_id) or ()
        actions: list[Action] = []
        for item, result in zip(sent, event.results, strict=False):
            if isinstance(item, OwnRenewal):
                self._on_own(item.round_id, result, now_ms)
            else:
                actions.append(self._make_relay_answer(item, result, now_ms))
        return actions

    def record_store_answer(self, now_ms: int) -> None:
        """Record that the table service answered at now_ms."""
        self.store_answered_ms = now_ms

    def _make_relay_answer(
        self, asked: RelayAsked, result: RenewalResult, now_ms: int
    ) -> AnswerRelay:
        answered_ms = self.store_answered_ms
        silent_ms = None if answered_ms is None else now_ms - answered_ms
        return AnswerRelay(
            asked.peer_id, asked.address, asked.relay_id, result, silent_ms
        )
