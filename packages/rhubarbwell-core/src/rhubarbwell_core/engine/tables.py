"""Store rows under unique keys."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

from rhubarbwell_core.errors import DuplicateRowError, MissingRowError

__all__ = ["Table"]

K = TypeVar("K", bound=Hashable)
R = TypeVar("R")


class Table(Generic[K, R]):
    """Store the rows of one kind of entity in insertion order.

    >>> table = Table[str, int]("peers")
    >>> table.insert("a", 1)
    >>> table["a"], len(table), "b" in table
    (1, 1, False)
    """

    __slots__ = ("_rows", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self._rows: dict[K, R] = {}

    def __contains__(self, key: K) -> bool:
        return key in self._rows

    def __getitem__(self, key: K) -> R:
        try:
            return self._rows[key]
        except KeyError:
            raise MissingRowError(f"{self.name} has no row {key!r}") from None

    def __iter__(self) -> Iterator[K]:
        return iter(self._rows)

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, key: K) -> R | None:
        """Return the row under the key, or None if the key has no row."""
        return self._rows.get(key)

    def insert(self, key: K, row: R) -> None:
        """Add a row; raise DuplicateRowError if the key is taken."""
        if key in self._rows:
            raise DuplicateRowError(f"{self.name} already has a row {key!r}")
        self._rows[key] = row

    def put(self, key: K, row: R) -> None:
        """Add a row or replace the one under the key."""
        self._rows[key] = row

    def remove(self, key: K) -> R | None:
        """Remove and return the row under the key, or None if the key has no row."""
        return self._rows.pop(key, None)

    def rows(self) -> list[R]:
        """Return a list of the rows that later inserts and removals do not change."""
        return list(self._rows.values())

    def items(self) -> list[tuple[K, R]]:
        """Return a list of (key, row) pairs that later changes do not affect."""
        return list(self._rows.items())
