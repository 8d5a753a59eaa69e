"""Simulate the store of the published log, with outages, delay and lag."""

from typing import NamedTuple

from rhubarbwell_core.adoption import (
    EMPTY_CHAIN,
    HeadRead,
    LogHead,
    LogRow,
    LogRowsRead,
    LogSnapshot,
    ObjectRead,
    ReadHead,
    ReadLogRows,
    ReadObject,
    ReadSnapshot,
    RestoreLog,
    SnapshotRead,
    chain_digest,
    document_digest,
)

__all__ = ["LogBackup", "LogStore"]


class LogBackup(NamedTuple):
    """Hold the rows that a log had when the backup was made."""

    rows: tuple[LogRow, ...]


class LogStore:
    """Store a published log and answer the reads of cores.

    Fleet drops calls while is_down is True, and otherwise answers them after
    delay_ms. ReadHead gets a head that is head_lag_versions behind the newest one.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.delay_ms = 5
        self.head_lag_versions = 0
        self.operations = 0
        self.snapshot: LogSnapshot | None = None
        self._rows: list[LogRow] = []
        self._objects: dict[str, str] = {}

    @property
    def head(self) -> LogHead:
        """Return the newest head of the log."""
        chain = chain_digest(self._rows[-1]) if self._rows else EMPTY_CHAIN
        snapshot_version = 0 if self.snapshot is None else self.snapshot.version
        return LogHead(len(self._rows), chain, snapshot_version)

    def publish(self, documents: dict[str, str], *, at_ms: int = 0) -> int:
        """Append one publish, a row per document, and return the last row's version."""
        rows_left = len(documents)
        for name, text in documents.items():
            rows_left -= 1
            digest = document_digest(text)
            self._objects[digest] = text
            head = self.head
            version = head.version + 1
            row = LogRow(
                version,
                name,
                digest,
                head.chain,
                f"p{version}",
                "ana",
                at_ms,
                rows_left,
            )
            self._rows.append(row)
        return len(self._rows)

    def take_snapshot(self) -> None:
        """Store a snapshot of the newest version."""
        digests = {row.document: row.digest for row in self._rows}
        texts = {name: self._objects[digest] for name, digest in digests.items()}
        self.snapshot = LogSnapshot(self.head.version, self.head.chain, texts)

    def back_up(self) -> LogBackup:
        """Return a backup of the current rows."""
        return LogBackup(tuple(self._rows))

    def restore(self, backup: LogBackup) -> None:
        """Replace all rows by the rows of the backup, which loses newer rows."""
        self._rows = list(backup.rows)

    def answer(self, action):
        """Return the event that answers a read; a RestoreLog gets None.

        A RestoreLog is applied only if it expects the current head.
        """
        self.operations += 1
        if isinstance(action, ReadHead):
            return HeadRead(action.call_id, self._lagging_head())
        if isinstance(action, ReadLogRows):
            rows = tuple(self._rows[action.first - 1 : action.last])
            return LogRowsRead(action.call_id, rows)
        if isinstance(action, ReadSnapshot):
            return SnapshotRead(action.call_id, self.snapshot)
        if isinstance(action, ReadObject):
            text = self._objects.get(action.digest)
            return ObjectRead(action.call_id, action.digest, text)
        return self._apply_restore(action)

    def _lagging_head(self) -> LogHead:
        version = max(0, len(self._rows) - self.head_lag_versions)
        if version == len(self._rows):
            return self.head
        chain = chain_digest(self._rows[version - 1]) if version else EMPTY_CHAIN
        return LogHead(version, chain)

    def _apply_restore(self, action: RestoreLog) -> None:
        if action.expected != self.head:
            return None
        self._rows += action.rows
        for text in action.documents.values():
            self._objects[document_digest(text)] = text
        return None
