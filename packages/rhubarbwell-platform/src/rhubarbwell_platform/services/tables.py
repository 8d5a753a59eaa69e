"""The transactional table service."""

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
    """Hold a row; its version is never used again for the key."""

    key: str
    version: int
    value: str


class Absent(NamedTuple):
    """Require that no row is under the key."""


class VersionIs(NamedTuple):
    """Require that the row under the key has the version."""

    version: int


class Unconditional(NamedTuple):
    """Require nothing."""


Condition = Absent | VersionIs | Unconditional


class Write(NamedTuple):
    """Write a row, or delete it when the value is None."""

    key: str
    value: str | None
    condition: Condition = Unconditional()


class TableService(ABC):
    """Read rows and write them in transactions."""

    @abstractmethod
    async def read(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return those of the rows that exist, all of one moment.

        Raises UnavailableError.
        """

    @abstractmethod
    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 1_000
    ) -> Sequence[Row]:
        """Return rows whose key has the prefix and follows after, in key order.

        Raises UnavailableError.
        """

    @abstractmethod
    async def transact(self, writes: Sequence[Write]) -> int:
        """Carry out all writes or none; return the version of the written rows.

        Raises ConflictError, UnavailableError and AnswerLostError.
        """
