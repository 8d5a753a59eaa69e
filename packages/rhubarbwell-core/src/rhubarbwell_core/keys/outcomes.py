"""Batch the outcomes of keyed runs for the table service."""

from collections import deque

from rhubarbwell_core.messages import OutcomesRecorded, RecordOutcomes, StoredKey

__all__ = ["OutcomeQueue"]

MAX_BATCH_ROWS = 100
MAX_QUEUED_ROWS = 2_000


class OutcomeQueue:
    """Queue outcome rows for batched writes, with one batch pending at a time.

    A batch whose write is uncertain is written again. This is safe because only the
    owner writes the outcome of a key, and always the same one.
    """

    def __init__(self) -> None:
        self._rows: deque[StoredKey] = deque(maxlen=MAX_QUEUED_ROWS)
        self._pending_batch: RecordOutcomes | None = None
        self._last_id = 0

    def __len__(self) -> int:
        pending = self._pending_batch
        return len(self._rows) + (0 if pending is None else len(pending.rows))

    def add(self, row: StoredKey) -> None:
        """Queue the outcome of an ended run; a full queue drops its oldest row."""
        self._rows.append(row)

    def next_batch(self) -> RecordOutcomes | None:
        """Return the next batch, or None if one is pending or no row is queued."""
        if self._pending_batch is not None or not self._rows:
            return None
        size = min(len(self._rows), MAX_BATCH_ROWS)
        rows = tuple(self._rows.popleft() for _ in range(size))
        self._last_id += 1
        self._pending_batch = RecordOutcomes(self._last_id, rows)
        return self._pending_batch

    def on_recorded(self, event: OutcomesRecorded) -> None:
        """Finish the pending batch; queue its rows again if they are not recorded."""
        batch = self._pending_batch
        if batch is None or batch.batch_id != event.batch_id:
            return
        self._pending_batch = None
        if not event.recorded:
            self._rows.extendleft(reversed(batch.rows))
