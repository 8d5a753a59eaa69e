"""In-memory table service."""

from collections.abc import Mapping, Sequence

from rhubarbwell_platform.errors import ConflictError
from rhubarbwell_platform.services import (
    Absent,
    Condition,
    Row,
    TableService,
    VersionIs,
    Write,
)

__all__ = ["MemoryTableService"]


class MemoryTableService(TableService):
    """Store rows in memory.

    >>> import asyncio
    >>> tables = MemoryTableService()
    >>> asyncio.run(tables.transact([Write("a", "1", Absent())]))
    1
    >>> asyncio.run(tables.read(["a", "b"]))
    {'a': Row(key='a', version=1, value='1')}
    """

    def __init__(self) -> None:
        self._rows: dict[str, Row] = {}
        self._version = 0

    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows that exist, by key."""
        return {key: self._rows[key] for key in keys if key in self._rows}

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1_000
    ) -> Sequence[Row]:
        """Return rows by key prefix, in key order.

        Only keys that sort after `after` are included, and at most limit rows.
        """
        keys = sorted(k for k in self._rows if k.startswith(prefix) and k > after)
        return [self._rows[key] for key in keys[:limit]]

    async def transact(self, writes: Sequence[Write]) -> int:
        """Apply all writes or none and return the version of the written rows.

        Raises ConflictError if a condition does not hold.
        """
        for write in writes:
            if not _condition_holds(write.condition, self._rows.get(write.key)):
                raise ConflictError(write.key)
        self._version += 1
        for write in writes:
            if write.value is None:
                self._rows.pop(write.key, None)
            else:
                self._rows[write.key] = Row(write.key, self._version, write.value)
        return self._version

    def copy(self) -> "MemoryTableService":
        """Return an independent copy, such as a backup of the service would hold."""
        other = MemoryTableService()
        other._rows = dict(self._rows)
        other._version = self._version
        return other


def _condition_holds(condition: Condition, row: Row | None) -> bool:
    if isinstance(condition, Absent):
        return row is None
    if isinstance(condition, VersionIs):
        return row is not None and row.version == condition.version
    return True
