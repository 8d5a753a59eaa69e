"""Interface of the metadata store, whose tables can be watched for changes."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from rhubarbwell_core.direct import ReplicaUpdate, StoreVersion

__all__ = ["MetadataStore", "RowWrite"]


class RowWrite(NamedTuple):
    """Represent the write of a row, or its deletion if the value is None.

    With expected_version, the write takes effect only if the row has that version,
    which it cannot have in another era of the store.
    """

    table: str
    key: str
    value: bytes | None
    expected_version: StoreVersion | None = None


class MetadataStore(ABC):
    """Read tables, wait for their changes and write rows.

    An answer whose era is invalid or lower than one seen before counts as no answer.
    """

    @abstractmethod
    async def read_table(self, table: str) -> ReplicaUpdate:
        """Return all rows of a table; raise UnavailableError."""

    @abstractmethod
    async def read_changes(
        self, table: str, after: StoreVersion, wait_ms: int
    ) -> ReplicaUpdate:
        """Return the changes after a version; wait up to wait_ms for a first change.

        Raises UnavailableError, and HistoryLostError if the store no longer holds
        all changes after the version, as in a later era.
        """

    @abstractmethod
    async def write(self, row: RowWrite) -> int:
        """Write or delete a row; return the era in which this took effect.

        Raises UnavailableError, AnswerLostError and ConflictError.
        """
