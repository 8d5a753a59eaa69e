"""A copy of one table of the metadata store that peers can follow."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = ["ReplicaRow", "ReplicaUpdate", "TableReplica"]

# Deleted rows that are kept for followers; one that is further behind gets a listing.
MAX_TOMBSTONES = 1_000


class ReplicaRow(NamedTuple):
    """Hold a row as of a version of the store; value is None once deleted."""

    key: str
    version: int
    value: bytes | None


class ReplicaUpdate(NamedTuple):
    """Hold changes up to a version; complete means that no other row exists."""

    rows: Sequence[ReplicaRow]
    version: int
    complete: bool = False


class TableReplica:
    """Keep the newest state of a table from updates in any order.

    A newer row whose meaning is that of the known one changes nothing, so that
    heartbeats of unchanged rows are not passed on.

    >>> replica = TableReplica()
    >>> _ = replica.apply(ReplicaUpdate([ReplicaRow("a", 2, b"x")], 2))
    >>> replica.apply(ReplicaUpdate([ReplicaRow("a", 1, b"old")], 1))
    []
    >>> replica.changes_after(1).rows
    [ReplicaRow(key='a', version=2, value=b'x')]
    """

    def __init__(
        self, content_key: Callable[[str, bytes], object] | None = None
    ) -> None:
        self.version = 0
        self._content_key = content_key
        self._purged_version = 0
        self._rows: dict[str, ReplicaRow] = {}
        # Versions at which the meaning of each row changed last.
        self._changed_versions: dict[str, int] = {}

    def apply(self, update: ReplicaUpdate) -> list[ReplicaRow]:
        """Take in an update and return the rows whose meaning it changed."""
        newer = [row for row in update.rows if self._is_newer(row)]
        if update.complete and update.version >= self.version:
            newer += self._unlisted_as_deleted(update)
        changed: list[ReplicaRow] = []
        for row in newer:
            # Changes between two listings are unknown: a row may have been gone.
            if update.complete or not self._has_same_content(row):
                changed.append(row)
                self._changed_versions[row.key] = row.version
            self._rows[row.key] = row
        self.version = max(self.version, update.version)
        self._purge_tombstones()
        return changed

    def has_changes_after(self, version: int) -> bool:
        """Tell whether a row has changed after a version."""
        return any(changed > version for changed in self._changed_versions.values())

    def changes_after(self, version: int) -> ReplicaUpdate:
        """Return the rows that changed after a version, deleted ones included."""
        rows = list(self._rows.values())
        if version < self._purged_version:
            listed = [row for row in rows if row.value is not None]
            return ReplicaUpdate(listed, self.version, complete=True)
        rows = [row for row in rows if self._changed_versions[row.key] > version]
        rows.sort(key=lambda row: row.version)
        return ReplicaUpdate(rows, self.version)

    def _purge_tombstones(self) -> None:
        deleted = [row for row in self._rows.values() if row.value is None]
        if len(deleted) <= MAX_TOMBSTONES:
            return
        deleted.sort(key=lambda row: row.version)
        for row in deleted[: -MAX_TOMBSTONES // 2]:
            del self._rows[row.key]
            del self._changed_versions[row.key]
            self._purged_version = row.version

    def _is_newer(self, row: ReplicaRow) -> bool:
        known = self._rows.get(row.key)
        return known is None or row.version > known.version

    def _has_same_content(self, row: ReplicaRow) -> bool:
        known = self._rows.get(row.key)
        if self._content_key is None or known is None:
            return False
        if known.value is None or row.value is None:
            return False
        if known.value == row.value:
            return True
        return self._content_key(row.key, known.value) == self._content_key(
            row.key, row.value
        )

    def _unlisted_as_deleted(self, update: ReplicaUpdate) -> list[ReplicaRow]:
        listed = {row.key for row in update.rows}
        return [
            ReplicaRow(key, update.version, None)
            for key, row in self._rows.items()
            if key not in listed
            and row.value is not None
            and row.version <= update.version
        ]
