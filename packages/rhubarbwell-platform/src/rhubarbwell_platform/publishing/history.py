"""History of publishes and rollback to an older version."""

from typing import NamedTuple

from rhubarbwell_core.adoption import InvalidLogError, LogRow

from rhubarbwell_platform.publishing.changes import Change
from rhubarbwell_platform.publishing.log import PublishedState, read_head, read_rows
from rhubarbwell_platform.services import Platform, TableService

__all__ = ["PublishRecord", "read_history", "rollback_change"]


class PublishRecord(NamedTuple):
    """Describe a publish and the version at which it takes effect."""

    version: int
    publish_id: str
    author: str
    published_at_ms: int
    documents: tuple[str, ...]


async def read_history(tables: TableService, *, limit: int) -> list[PublishRecord]:
    """Return the publishes of the last `limit` log rows, newest first.

    The oldest record lacks documents if its first log row is beyond the limit.

    Raises UnavailableError and InvalidLogError.
    """
    head = (await read_head(tables)).head
    after = max(0, head.version - limit)
    rows = await read_rows(tables, after=after, up_to=head.version)
    records: list[PublishRecord] = []
    for row in rows:
        if records and records[-1].publish_id == row.publish_id:
            documents = (*records[-1].documents, row.document)
            records[-1] = records[-1]._replace(version=row.version, documents=documents)
        else:
            records.append(_record_of(row))
    return records[::-1]


async def rollback_change(
    platform: Platform, change: Change, *, target: PublishedState, base: PublishedState
) -> Change:
    """Return the change that restores the documents of an older version.

    Raises UnavailableError, and InvalidLogError for a version within a publish of
    several documents, which was never in force.
    """
    version = target.head.version
    rows = await read_rows(platform.tables, after=version - 1, up_to=version)
    if rows[-1].rows_left:
        last = version + rows[-1].rows_left
        raise InvalidLogError(
            f"version {version} was never in force; its publish ends at version {last}"
        )
    removed = {name: None for name in base.documents if name not in target.documents}
    return change._replace(documents={**target.documents, **removed})


def _record_of(row: LogRow) -> PublishRecord:
    return PublishRecord(
        row.version, row.publish_id, row.author, row.published_at_ms, (row.document,)
    )
