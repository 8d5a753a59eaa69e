"""Recognition of backend servers' rows that are older than what is known.

The store may perform a write seconds late: after later ones of the same server, or
after its entry was removed. A store that comes back from a copy shows rows of some
seconds ago.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import NamedTuple

from rhubarbwell_core.direct import (
    NO_VERSION,
    ReplicaRow,
    ReplicaUpdate,
    TableReplica,
)

from rhubarbwell_entry.direct.wire import BackendAge, RowDecodingError
from rhubarbwell_entry.logs import log_event

__all__ = ["FilteredUpdate", "OlderRowFilter"]

_log = logging.getLogger(__name__)

# Rows that a store keeps of servers that are gone expire after three missed heartbeats
# of 1.5 s; a write without an answer may be performed some seconds later.
GUARD_MS = 30_000
# Servers that have left, of which older rows are recognized.
MAX_GONE = 4_096
# Starts of one server under its id that are recognized.
MAX_STARTS = 8


class FilteredUpdate(NamedTuple):
    """Hold an update and the number of its rows that were older than those known."""

    update: ReplicaUpdate
    older: int = 0


class _KnownServer:
    """Store the newest age of each start of a server."""

    def __init__(self, age: BackendAge) -> None:
        # In the order in which the starts were first seen.
        self._ages = {age.born_ms: age}
        self._born_ms = age.born_ms

    @property
    def age(self) -> BackendAge:
        """Return the age of the newest row."""
        return self._ages[self._born_ms]

    def is_older(self, age: BackendAge) -> bool:
        """Return True if a row of that age was written before a known one."""
        same_start = self._ages.get(age.born_ms)
        if same_start is None or not age.born_ms:
            return False
        if age < same_start:
            return True
        if age.born_ms == self._born_ms:
            return False
        # Clocks of machines differ: a start that was seen later is no earlier one.
        starts = list(self._ages)
        was_seen_before = starts.index(age.born_ms) < starts.index(self._born_ms)
        return was_seen_before and age.born_ms < self._born_ms

    def add(self, age: BackendAge) -> None:
        """Record the age of the newest row."""
        self._ages[age.born_ms] = max(age, self._ages.get(age.born_ms, age))
        self._born_ms = age.born_ms
        while len(self._ages) > MAX_STARTS:
            del self._ages[next(iter(self._ages))]


class OlderRowFilter:
    """Replace or leave out the rows of servers that are older than those known.

    Within an era of the store, a later version does not make a row newer: a server's
    start and sequence tell when it wrote it. Rows that do not tell both are not
    compared.
    """

    def __init__(self, decode_age: Callable[[bytes], BackendAge]) -> None:
        self._decode_age = decode_age
        self._servers: dict[str, _KnownServer] = {}
        # Times in ms at which the rows of known servers were deleted.
        self._gone = OrderedDict[str, int]()
        # Ages that the rows of a server must have to be used in a new era.
        self._min_ages: dict[str, BackendAge] = {}
        self._guard_end_ms = 0

    def filter(
        self, replica: TableReplica, update: ReplicaUpdate, now_ms: int
    ) -> FilteredUpdate:
        """Return an update without the older rows; replica is the copy before it."""
        is_new_era = update.version.era > replica.version.era
        if is_new_era and replica.version > NO_VERSION:
            self._set_min_ages()
            self._guard_end_ms = now_ms + GUARD_MS
        if now_ms >= self._guard_end_ms:
            self._min_ages.clear()
        if update.complete and not is_new_era:
            self._note_unlisted(replica, update, now_ms)
        rows: list[ReplicaRow] = []
        older = 0
        for row in update.rows:
            if not replica.is_newer(row) or not self._is_older(row, now_ms):
                rows.append(row)
                continue
            older += 1
            if not is_new_era:
                _log_outdated(row)
            known = replica.row(row.key)
            if update.complete and known is not None and known.value is not None:
                rows.append(row._replace(value=known.value))
        return FilteredUpdate(update._replace(rows=rows), older)

    def gone_ages(self, update: ReplicaUpdate, now_ms: int) -> dict[str, BackendAge]:
        """Return the last ages of the servers that an update deletes.

        An update that lists the whole table deletes those that are missing.
        """
        if update.complete:
            since_ms = now_ms - GUARD_MS
            names = [name for name, at_ms in self._gone.items() if at_ms > since_ms]
        else:
            names = [row.key for row in update.rows if row.value is None]
        return {
            name: self._servers[name].age for name in names if name in self._servers
        }

    def add_gone_ages(self, ages: Mapping[str, BackendAge], now_ms: int) -> None:
        """Record the last ages of deleted servers, which another instance has read.

        Heartbeats that change nothing else are not passed on.
        """
        for name, age in ages.items():
            known = self._servers.get(name)
            if known is None:
                self._servers[name] = _KnownServer(age)
                self._note_gone(name, now_ms)
            elif not known.is_older(age):
                known.add(age)

    def _set_min_ages(self) -> None:
        self._min_ages = {}
        for name, server in self._servers.items():
            # A server that is gone is as old as its last row: only a later one shows
            # that it lives on.
            is_gone = name in self._gone
            age = server.age._replace(is_draining=True) if is_gone else server.age
            self._min_ages[name] = age

    def _note_unlisted(
        self, replica: TableReplica, update: ReplicaUpdate, now_ms: int
    ) -> None:
        listed = {row.key for row in update.rows}
        for row in replica.rows():
            if row.key not in listed and row.version <= update.version:
                self._note_gone(row.key, now_ms)

    def _note_gone(self, name: str, now_ms: int) -> None:
        if name not in self._servers or name in self._gone:
            return
        self._gone[name] = now_ms
        if len(self._gone) > MAX_GONE:
            oldest, _ = self._gone.popitem(last=False)
            del self._servers[oldest]

    def _is_older(self, row: ReplicaRow, now_ms: int) -> bool:
        """Return True if a row is older than a known one; else it is known now."""
        if row.value is None:
            self._note_gone(row.key, now_ms)
            return False
        age = self._age(row.value)
        if age is None:
            return False
        min_age = self._min_ages.get(row.key)
        if min_age is not None:
            if age < min_age:
                return True
            if age > min_age:
                del self._min_ages[row.key]
        known = self._servers.get(row.key)
        if known is None:
            self._servers[row.key] = _KnownServer(age)
        elif known.is_older(age):
            return True
        else:
            known.add(age)
        self._gone.pop(row.key, None)
        return False

    def _age(self, value: bytes) -> BackendAge | None:
        """Return the age in a row, None if the row tells none."""
        try:
            age = self._decode_age(value)
        except RowDecodingError:
            return None
        return age if age.born_ms or age.sequence else None


def _log_outdated(row: ReplicaRow) -> None:
    log_event(
        _log,
        logging.INFO,
        "row_outdated",
        "the store performed a write of a backend server late; ignoring the row",
        key=row.key,
        row_version=row.version.number,
        era=row.version.era,
    )
