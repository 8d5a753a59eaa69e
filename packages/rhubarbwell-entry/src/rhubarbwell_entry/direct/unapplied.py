"""Rows of the store whose application failed, which are tried again."""

import logging
from collections.abc import Callable, Iterable, Sequence

from rhubarbwell_core.direct import ReplicaRow

from rhubarbwell_entry.logs import log_exception

__all__ = ["UnappliedRows"]

_log = logging.getLogger(__name__)


class UnappliedRows:
    """Store the rows of a table that could not be applied, by key.

    They are tried again with the next update, as the replica does not list them again.
    """

    def __init__(self, table: str) -> None:
        self._table = table
        self._rows: dict[str, ReplicaRow] = {}

    def take_with(self, changed: Sequence[ReplicaRow]) -> list[ReplicaRow]:
        """Return the rows to apply: those of earlier updates first, if not replaced."""
        earlier, self._rows = self._rows, {}
        changed_keys = {row.key for row in changed}
        return [*(r for r in earlier.values() if r.key not in changed_keys), *changed]

    def apply_each(
        self, rows: Iterable[ReplicaRow], apply_row: Callable[[ReplicaRow], None]
    ) -> None:
        """Apply rows one by one; keep and log those that raise an exception."""
        for row in rows:
            try:
                apply_row(row)
            except Exception as exc:
                self._rows[row.key] = row
                log_exception(
                    _log,
                    "row_not_applied",
                    "a row of the store could not be applied; trying again later",
                    exc,
                    table=self._table,
                    key=row.key,
                    row_version=row.version.number,
                    era=row.version.era,
                )
