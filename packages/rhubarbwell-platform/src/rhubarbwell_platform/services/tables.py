"""Interface of the transactional table service."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import NamedTuple

__all__ = [
    "Absent",
    "Condition",
    "Row",
    "TableService",
    "Unconditional",
    "VersionIs",
    "Write",
]


class Row(NamedTuple):
    """Hold a row and its version, which is never reused for the key."""

    key: str
    version: int
    value: str


class Absent(NamedTuple):
    """Require that the key has no row."""


class VersionIs(NamedTuple):
    """Require that the row of the key has the given version."""

    version: int


class Unconditional(NamedTuple):
    """Represent the absence of a condition."""


Condition = Absent | VersionIs | Unconditional


class Write(NamedTuple):
    """Represent the write of a row, or its deletion if the value is None."""

    key: str
    value: str | None
    condition: Condition = Unconditional()


class TableService(ABC):
    """Read rows and write them in transactions."""

    @abstractmethod
    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the rows that exist, by key, as of a single point in time.

        Raises UnavailableError.
        """

    @abstractmethod
    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1_000
    ) -> Sequence[Row]:
        """Return rows by key prefix, in key order.

        Only keys that sort after `after` are included, and at most limit rows.
        Raises UnavailableError.
        """

    @abstractmethod
    async def transact(self, writes: Sequence[Write]) -> int:
        """Apply all writes or none and return the version of the written rows.

        Raises ConflictError if a condition does not hold, UnavailableError and
        AnswerLostError.
        """
