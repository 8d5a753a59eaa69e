"""Lookup of a publish's outcome by its id."""

from returns.result import Failure, Result, Success
from rhubarbwell_core.adoption import InvalidLogError, chain_digest

from rhubarbwell_platform.publishing.changes import Change, document_digests
from rhubarbwell_platform.publishing.log import read_rows
from rhubarbwell_platform.publishing.outcomes import (
    Published,
    PublishFailure,
    PublishIdReused,
)
from rhubarbwell_platform.services import TableService

__all__ = ["publish_key", "read_recorded_outcome"]


def publish_key(publish_id: str) -> str:
    """Return the key of the row that records the last version of a publish.

    >>> publish_key("p-1")
    'config-publishes/p-1'
    """
    return f"config-publishes/{publish_id}"


async def read_recorded_outcome(
    tables: TableService, change: Change, version: int
) -> Result[Published, PublishFailure]:
    """Return the outcome of a publish whose last version in the log is given.

    Raises UnavailableError or InvalidLogError.
    """
    # One row more than the change has documents, to detect a recorded publish of more.
    start = max(0, version - len(change.documents) - 1)
    rows = [
        row
        for row in await read_rows(tables, after=start, up_to=version)
        if row.publish_id == change.publish_id
    ]
    if not rows:
        raise InvalidLogError(f"version {version} does not belong to this publish")
    wanted = document_digests(change.documents)
    if any(wanted.get(row.document) != row.digest for row in rows):
        return Failure(PublishIdReused(change.publish_id, version))
    names = tuple(row.document for row in rows)
    return Success(Published(version, chain_digest(rows[-1]), names, repeated=True))
