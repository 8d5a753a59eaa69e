"""Replicate a table of the metadata store for other instances."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from rhubarbwell_core.direct.versions import NO_VERSION, StoreVersion

__all__ = ["ReplicaRow", "ReplicaUpdate", "TableReplica"]

# Deleted rows kept for followers; a follower further behind gets a full listing.
MAX_TOMBSTONES = 1_000


class ReplicaRow(NamedTuple):
    """Hold a row at a version of the store; value is None if the row is deleted."""

    key: str
    version: StoreVersion
    value: bytes | None


class ReplicaUpdate(NamedTuple):
    """Hold the rows changed up to a version; complete is True for a full listing.

    All versions are of one era.
    """

    rows: Sequence[ReplicaRow]
    version: StoreVersion
    complete: bool = False


class TableReplica:
    """Store the newest state of a table from updates that arrive in any order.

    content_key returns the part of a row's value that matters to followers. A newer
    row with an equal content key is not a change, so heartbeats of otherwise
    unchanged rows are not passed on. Without content_key, every newer row is a change.

    The rows are those of one era of the store: the first listing of a later era takes
    their place, and changes of another era have no effect.

    >>> replica = TableReplica()
    >>> first, second = StoreVersion(0, 1), StoreVersion(0, 2)
    >>> _ = replica.apply(ReplicaUpdate([ReplicaRow("a", second, b"x")], second))
    >>> replica.apply(ReplicaUpdate([ReplicaRow("a", first, b"old")], first))
    []
    >>> [row.value for row in replica.changes_after(first).rows]
    [b'x']
    """

    def __init__(
        self, content_key: Callable[[str, bytes], object] | None = None
    ) -> None:
        self.version = NO_VERSION
        self._content_key = content_key
        # Deletions up to this version may be missing: their tombstones were purged, or
        # a listing took the place of the changes before it.
        self._purged_version = NO_VERSION
        self._listed_version = NO_VERSION
        self._rows: dict[str, ReplicaRow] = {}
        # Version at which the content of each row last changed.
        self._changed_versions: dict[str, StoreVersion] = {}
        self._last_changed_version = NO_VERSION

    def apply(self, update: ReplicaUpdate) -> list[ReplicaRow]:
        """Apply an update and return the rows whose content it changed."""
        if not self.accepts(update):
            return []
        if update.version.era > self.version.era:
            self._forget_deleted_rows()
        newer = [row for row in update.rows if self.is_newer(row)]
        if update.complete and update.version >= self.version:
            newer += self._deletions_of_unlisted_rows(update)
        changed: list[ReplicaRow] = []
        for row in newer:
            # Between two listings, a row may have been deleted and added again.
            if update.complete or not self._has_same_content(row):
                changed.append(row)
                self._changed_versions[row.key] = row.version
                self._last_changed_version = max(
                    self._last_changed_version, row.version
                )
            self._rows[row.key] = row
        self.version = max(self.version, update.version)
        if update.complete:
            self._listed_version = max(self._listed_version, update.version)
            self._purged_version = max(self._purged_version, update.version)
        self._purge_tombstones()
        return changed

    def accepts(self, update: ReplicaUpdate) -> bool:
        """Return True if an update is of this replica's era or lists a later one."""
        if update.complete:
            return update.version.era >= self.version.era
        return update.version.era == self.version.era

    def rows(self) -> list[ReplicaRow]:
        """Return the known rows, including deleted ones."""
        return list(self._rows.values())

    def row(self, key: str) -> ReplicaRow | None:
        """Return a row, which may be deleted, or None if it is unknown."""
        return self._rows.get(key)

    def row_version(self, key: str) -> StoreVersion:
        """Return the version of a row, NO_VERSION if it is unknown."""
        row = self._rows.get(key)
        return row.version if row is not None else NO_VERSION

    def is_newer(self, row: ReplicaRow) -> bool:
        """Return True if a row has a later version than the known one."""
        known = self._rows.get(row.key)
        # A listing without the row proves that it was deleted.
        known_version = self._listed_version if known is None else known.version
        return row.version > known_version

    def has_changes_after(self, version: StoreVersion) -> bool:
        """Return True if a row has changed after a version."""
        return self._last_changed_version > version

    def changes_after(self, version: StoreVersion) -> ReplicaUpdate:
        """Return the rows changed after a version, including deleted ones.

        If deletions after the version may be missing, return all existing rows.
        """
        if version < self._purged_version:
            listed = [row for row in self._rows.values() if row.value is not None]
            return ReplicaUpdate(listed, self.version, complete=True)
        if not self.has_changes_after(version):
            return ReplicaUpdate([], self.version)
        rows = [
            row
            for row in self._rows.values()
            if self._changed_versions[row.key] > version
        ]
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
            self._purged_version = max(self._purged_version, row.version)

    def _forget_deleted_rows(self) -> None:
        deleted = [key for key, row in self._rows.items() if row.value is None]
        for key in deleted:
            del self._rows[key]
            del self._changed_versions[key]

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

    def _deletions_of_unlisted_rows(self, update: ReplicaUpdate) -> list[ReplicaRow]:
        listed = {row.key for row in update.rows}
        return [
            ReplicaRow(key, update.version, None)
            for key, row in self._rows.items()
            if key not in listed
            and row.value is not None
            and row.version <= update.version
        ]
