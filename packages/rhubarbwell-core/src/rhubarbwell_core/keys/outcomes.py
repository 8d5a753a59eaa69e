"""Outcomes of keyed runs on their way to the table service, in batches."""

from collections import deque

from rhubarbwell_core.messages import OutcomesRecorded, RecordOutcomes, StoredKey

__all__ = ["OutcomeQueue"]

MAX_BATCH_ROWS = 100
MAX_QUEUED_ROWS = 2_000


class OutcomeQueue:
    """Batch outcome rows, one batch under way at a time.

    A batch whose write is not certain is written again, which is harmless, as
    only the owner writes the outcome of a key and writes the same.
    """

    def __init__(self) -> None:
        self._rows: deque[StoredKey] = deque(maxlen=MAX_QUEUED_ROWS)
        self._under_way: RecordOutcomes | None = None
        self._next_id = 0

    def __len__(self) -> int:
        under_way = self._under_way
        return len(self._rows) + (0 if under_way is None else len(under_way.rows))

    def add(self, row: StoredKey) -> None:
        """Queue the outcome of a run that has ended; the oldest gives way."""
        self._rows.append(row)

    def next_batch(self) -> RecordOutcomes | None:
        """Return the next batch, None while one is under way or without rows."""
        if self._under_way is not None or not self._rows:
            return None
        size = min(len(self._rows), MAX_BATCH_ROWS)
        rows = tuple(self._rows.popleft() for _ in range(size))
        self._next_id += 1
        self._under_way = RecordOutcomes(self._next_id, rows)
        return self._under_way

    def on_recorded(self, event: OutcomesRecorded) -> None:
        """Take in the end of a batch."""
        batch = self._under_way
        if batch is None or batch.batch_id != event.batch_id:
            return
        self._under_way = None
        if not event.recorded:
            self._rows.extendleft(reversed(batch.rows))
