"""Reading of the configuration log and its snapshots."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple

from returns.result import Result
from rhubarbwell_core.adoption import (
    EMPTY_CHAIN,
    HEAD_KEY,
    InvalidLogError,
    LogHead,
    LogRow,
    LogSnapshot,
    decode_head,
    decode_log_row,
    decode_snapshot,
    document_digest,
    log_key,
    object_key,
    snapshot_key,
    verify_rows,
)
from rhubarbwell_core.model import Configuration

from rhubarbwell_platform.documents import Finding, configuration_of
from rhubarbwell_platform.errors import MissingObjectError
from rhubarbwell_platform.services import ObjectStore, Platform, TableService

__all__ = [
    "PublishedState",
    "read_configuration",
    "read_head",
    "read_rows",
    "read_state",
]

LOG_PREFIX = "config-log/"
ROWS_PER_PAGE = 500
MAX_PARALLEL_READS = 8


class PublishedHead(NamedTuple):
    """Hold the log's head and the version of its table row, None without a row."""

    head: LogHead
    row_version: int | None


class PublishedState(NamedTuple):
    """Hold the documents of a published version by name.

    row_version is that of the newest head's table row, also for an older version.
    """

    head: LogHead
    row_version: int | None
    documents: Mapping[str, str]


async def read_head(tables: TableService) -> PublishedHead:
    """Return the head of the log, at version 0 if nothing is published.

    Raises UnavailableError or InvalidLogError.
    """
    row = (await tables.read([HEAD_KEY])).get(HEAD_KEY)
    if row is None:
        return PublishedHead(LogHead(0, EMPTY_CHAIN), None)
    return PublishedHead(decode_head(row.value), row.version)


async def read_rows(
    tables: TableService, *, after: int = 0, up_to: int
) -> tuple[LogRow, ...]:
    """Return the rows of versions after + 1 to up_to, both included.

    Raises UnavailableError, and InvalidLogError if a version is missing.
    """
    rows: list[LogRow] = []
    while after < up_to:
        limit = min(ROWS_PER_PAGE, up_to - after)
        page = await tables.scan(LOG_PREFIX, after=log_key(after), limit=limit)
        rows += [decode_log_row(row.value) for row in page]
        if not page or rows[-1].version != after + len(page):
            raise InvalidLogError(f"the log has a gap at version {after + 1} or later")
        after = rows[-1].version
    return tuple(rows)


async def read_state(
    platform: Platform, *, version: int | None = None
) -> PublishedState:
    """Return the documents of a version, by default of the newest.

    Raises UnavailableError, MissingObjectError and InvalidLogError.
    """
    head, row_version = await read_head(platform.tables)
    target_version = head.version if version is None else version
    if not 0 <= target_version <= head.version:
        raise InvalidLogError(f"version {target_version} is not published")
    start = await _read_snapshot(platform.objects, head, target_version)
    rows = await read_rows(platform.tables, after=start.version, up_to=target_version)
    chain = verify_rows(rows, version=start.version, chain=start.chain)
    if target_version == head.version and chain != head.chain:
        raise InvalidLogError("the digest chain of the log does not end at its head")
    documents = await _read_documents(platform.objects, start.documents, rows)
    at_version = head._replace(version=target_version, chain=chain)
    return PublishedState(at_version, row_version, documents)


async def read_configuration(
    platform: Platform, *, version: int | None = None
) -> Result[Configuration, tuple[Finding, ...]]:
    """Return the configuration of a version, or the findings if it is invalid.

    Raises UnavailableError, MissingObjectError and InvalidLogError.
    """
    state = await read_state(platform, version=version)
    return configuration_of(state.head.version, state.head.chain, state.documents)


async def _read_snapshot(
    objects: ObjectStore, head: LogHead, target_version: int
) -> LogSnapshot:
    """Return the snapshot named by the head, empty if it is missing or too new."""
    if 0 < head.snapshot_version <= target_version:
        try:
            text = await objects.get(snapshot_key(head.snapshot_version))
            return decode_snapshot(text)
        except MissingObjectError:
            pass
    return LogSnapshot(0, EMPTY_CHAIN, {})


async def _read_documents(
    objects: ObjectStore, documents: Mapping[str, str], rows: tuple[LogRow, ...]
) -> dict[str, str]:
    """Return the documents with log rows applied.

    Only the newest row of each document is fetched.
    """
    newest = {row.document: row.digest for row in rows}
    kept = {name: text for name, text in documents.items() if name not in newest}
    digests = {name: digest for name, digest in newest.items() if digest}
    limit = asyncio.Semaphore(MAX_PARALLEL_READS)

    async def fetch(digest: str) -> str:
        async with limit:
            return await _read_object(objects, digest)

    texts = await asyncio.gather(*map(fetch, digests.values()))
    return {**kept, **dict(zip(digests, texts, strict=True))}


async def _read_object(objects: ObjectStore, digest: str) -> str:
    text = await objects.get(object_key(digest))
    if document_digest(text) != digest:
        raise InvalidLogError(f"object {digest} holds a text with another digest")
    return text
