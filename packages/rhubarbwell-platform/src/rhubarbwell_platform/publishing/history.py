"""The history of publishes and the way back to an older version."""

from typing import NamedTuple

from rhubarbwell_core.adoption import InvalidLogError, LogRow

from rhubarbwell_platform.publishing.changes import Change
from rhubarbwell_platform.publishing.log import PublishedState, read_head, read_rows
from rhubarbwell_platform.services import Platform, TableService

__all__ = ["PublishRecord", "read_history", "rollback_change"]


class PublishRecord(NamedTuple):
    """Tell who published which documents, and from which version they held."""

    version: int
    publish_id: str
    author: str
    published_at_ms: int
    documents: tuple[str, ...]


async def read_history(tables: TableService, *, limit: int) -> list[PublishRecord]:
    """Return the newest publishes, newest first, of at most limit log rows.

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
    """Return the change that makes the documents those of an older version.

    Raises InvalidLogError for a version inside of a publish, UnavailableError.
    """
    version = target.head.version
    rows = await read_rows(platform.tables, after=version - 1, up_to=version)
    if rows[-1].rows_left:
        last = version + rows[-1].rows_left
        raise InvalidLogError(f"version {version} was never in force, {last} was")
    removed = {name: None for name in base.documents if name not in target.documents}
    return change._replace(documents={**target.documents, **removed})


def _record_of(row: LogRow) -> PublishRecord:
    return PublishRecord(
        row.version, row.publish_id, row.author, row.published_at_ms, (row.document,)
    )
