"""Copies of a simulated store's rows, and the rows that outside writers own."""

from collections import deque
from typing import NamedTuple

__all__ = ["OUTSIDE_TABLES", "StoreCopies", "StoreCopy", "StoredRows"]

# (table, key) -> version and value; the value None stands for a deleted row.
StoredRows = dict[tuple[str, str], tuple[int, bytes | None]]
# Their writers write again what a store has lost.
OUTSIDE_TABLES = frozenset({"op", "servers"})
MAX_AGE_S = 12.0


class StoreCopy(NamedTuple):
    """Hold the counter of versions and all rows as of a time in seconds."""

    at: float
    version: int
    rows: StoredRows


class StoreCopies:
    """Keep copies of the last MAX_AGE_S and what outside writers last wrote."""

    def __init__(self) -> None:
        self._copies = deque([StoreCopy(0.0, 0, {})])
        self._outside_values: dict[tuple[str, str], bytes | None] = {}

    def note_write(self, table: str, key: str, value: bytes | None) -> None:
        """Remember the value if the row is of an outside writer."""
        if table in OUTSIDE_TABLES:
            self._outside_values[table, key] = value

    def take(self, at: float, version: int, rows: StoredRows) -> None:
        """Add a copy; drop copies that are older than MAX_AGE_S."""
        self._copies.append(StoreCopy(at, version, dict(rows)))
        while len(self._copies) > 1 and self._copies[1].at < at - MAX_AGE_S:
            self._copies.popleft()

    def at(self, at: float) -> StoreCopy:
        """Return the newest copy of that time, the oldest one if none is so old."""
        older = [copy for copy in self._copies if copy.at <= at]
        return older[-1] if older else self._copies[0]

    def outside_value(self, table: str, key: str) -> bytes | None:
        """Return what an outside writer last wrote, None for a removed row."""
        return self._outside_values.get((table, key))

    def lost_rows(self, rows: StoredRows) -> list[tuple[str, str]]:
        """Return the outside writers' rows that differ from what they last wrote."""
        return [
            key
            for key, value in self._outside_values.items()
            if rows.get(key, (0, None))[1] != value
        ]
