"""Recognition of backend servers' rows that are older than what is known.

A store that comes back from a copy shows rows of some seconds ago, such as the one of a
server that has left since.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from rhubarbwell_core.direct import (
    NO_VERSION,
    ReplicaRow,
    ReplicaUpdate,
    TableReplica,
)

from rhubarbwell_entry.direct.wire import BackendAge, RowDecodingError

__all__ = ["FilteredUpdate", "OlderRowFilter"]

# Rows that a store keeps of servers that are gone expire after three missed heartbeats
# of 1.5 s; a write without an answer may be performed some seconds later.
GUARD_MS = 30_000
# Servers that have left, of which older rows are recognized.
MAX_GONE = 4_096


class FilteredUpdate(NamedTuple):
    """Hold an update and the number of its rows that were older than those known."""

    update: ReplicaUpdate
    older: int = 0


class OlderRowFilter:
    """Replace or leave out the rows of a new era that are older than those known.

    Within an era, versions tell which row is newer.
    """

    def __init__(self, decode_age: Callable[[bytes], BackendAge]) -> None:
        self._decode_age = decode_age
        # Last ages of the servers whose rows were deleted.
        self._gone = OrderedDict[str, BackendAge]()
        # Ages that the rows of a server must have to be used in the current era.
        self._min_ages: dict[str, BackendAge] = {}
        self._guard_end_ms = 0

    def filter(
        self, replica: TableReplica, update: ReplicaUpdate, now_ms: int
    ) -> FilteredUpdate:
        """Return an update without the older rows; replica is the copy before it."""
        is_new_era = update.version.era > replica.version.era
        if is_new_era and replica.version > NO_VERSION:
            self._set_min_ages(replica)
            self._guard_end_ms = now_ms + GUARD_MS
        elif not is_new_era:
            self._note_gone(replica, update)
        if not self._min_ages:
            return FilteredUpdate(update)
        if now_ms >= self._guard_end_ms:
            self._min_ages.clear()
            return FilteredUpdate(update)
        rows: list[ReplicaRow] = []
        older = 0
        for row in update.rows:
            if not self._is_older(row):
                rows.append(row)
                continue
            older += 1
            known = replica.row(row.key)
            if update.complete and known is not None and known.value is not None:
                rows.append(row._replace(value=known.value))
        return FilteredUpdate(update._replace(rows=rows), older)

    def _set_min_ages(self, replica: TableReplica) -> None:
        self._min_ages = dict(self._gone)
        for row in replica.rows():
            age = self._age(row)
            if age is not None:
                self._min_ages[row.key] = age

    def _note_gone(self, replica: TableReplica, update: ReplicaUpdate) -> None:
        for row in update.rows:
            if row.value is not None:
                self._gone.pop(row.key, None)
                continue
            age = self._age(replica.row(row.key))
            if age is not None:
                # As old as its last row: only a later one shows that it lives on.
                self._gone[row.key] = age._replace(is_draining=True)
        while len(self._gone) > MAX_GONE:
            self._gone.popitem(last=False)

    def _is_older(self, row: ReplicaRow) -> bool:
        min_age = self._min_ages.get(row.key)
        age = self._age(row)
        if min_age is None or age is None:
            return False
        if age > min_age:
            del self._min_ages[row.key]
        return age < min_age

    def _age(self, row: ReplicaRow | None) -> BackendAge | None:
        """Return the age in a row, None if the row is deleted or tells none."""
        if row is None or row.value is None:
            return None
        try:
            age = self._decode_age(row.value)
        except RowDecodingError:
            return None
        return age if age.born_ms or age.sequence else None
