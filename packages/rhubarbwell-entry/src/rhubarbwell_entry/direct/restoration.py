"""Progress of an instance after the store has come back from a copy."""

import logging
from collections.abc import Iterable

from rhubarbwell_entry.logs import log_event

__all__ = ["StoreRestoration"]

_log = logging.getLogger(__name__)

# An instance that is cut off from the store and from the others is not waited for.
MAX_DURATION_MS = 10_000


class StoreRestoration:
    """Log one line for each era of the store that follows another one.

    The line comes once the instance has the tables of the new era and its own row is
    in the store, at the latest after MAX_DURATION_MS or with the next era.
    """

    def __init__(self, tables: Iterable[str]) -> None:
        self._tables = frozenset(tables)
        self._started_ms: int | None = None
        self._eras = (0, 0)
        self._missing: dict[str, int] = {}
        self._older_rows = 0
        self._registered: bool | None = None

    def begin(self, old_era: int, new_era: int, now_ms: int) -> None:
        """Start with a new era; the one before it ends."""
        if self._started_ms is not None:
            self._end(now_ms)
        self._started_ms = now_ms
        self._eras = (old_era, new_era)
        self._missing = {}
        self._older_rows = 0
        self._registered = None

    def record_table(self, table: str, missing: int, older: int) -> None:
        """Record the first listing of a table in the new era.

        missing is the number of known rows that it lacks, older the number of its rows
        that were older than the known ones.
        """
        self._missing[table] = missing
        self._older_rows += older

    def record_registration(self, written: bool) -> None:
        """Record that the instance's own row is in the store, written again or not."""
        self._registered = written

    def advance(self, now_ms: int) -> None:
        """Log the line if it is due."""
        if self._started_ms is None:
            return
        is_complete = self._is_complete()
        if is_complete or now_ms - self._started_ms >= MAX_DURATION_MS:
            self._end(now_ms)

    def _is_complete(self) -> bool:
        return self._tables <= self._missing.keys() and self._registered is not None

    def _end(self, now_ms: int) -> None:
        assert self._started_ms is not None
        old_era, new_era = self._eras
        log_event(
            _log,
            logging.WARNING,
            "store_era_changed",
            "the metadata store came back from a copy; its versions start again",
            old_era=old_era,
            new_era=new_era,
            missing_rows=self._missing,
            older_rows=self._older_rows,
            registered_again=self._registered is True,
            is_complete=self._is_complete(),
            duration_ms=now_ms - self._started_ms,
        )
        self._started_ms = None
