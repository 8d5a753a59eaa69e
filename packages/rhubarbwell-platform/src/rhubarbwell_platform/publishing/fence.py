"""Fencing of in-flight publishes before a publish is repeated."""

from rhubarbwell_core.adoption import HEAD_KEY, encode_head
from tenacity import AsyncRetrying, retry_if_exception_type, stop_after_attempt

from rhubarbwell_platform.errors import AnswerLostError, ConflictError
from rhubarbwell_platform.publishing.log import read_head
from rhubarbwell_platform.services import (
    Absent,
    Condition,
    TableService,
    VersionIs,
    Write,
)

__all__ = ["fence_head"]

MAX_TRIES = 5


async def fence_head(tables: TableService) -> None:
    """Invalidate every publish that is still in flight.

    Rewriting the head unchanged gives its row a new version, so transactions that
    are conditional on an older version fail. Without the fence, an earlier attempt
    of a repeated publish could commit after the repeat has reported a conflict.

    Raises ConflictError or AnswerLostError after the last try, UnavailableError and
    InvalidLogError at once.
    """
    retrying = AsyncRetrying(
        retry=retry_if_exception_type((ConflictError, AnswerLostError)),
        stop=stop_after_attempt(MAX_TRIES),
        reraise=True,
    )
    await retrying(_rewrite_head, tables)


async def _rewrite_head(tables: TableService) -> None:
    head, row_version = await read_head(tables)
    condition: Condition = Absent()
    if row_version is not None:
        condition = VersionIs(row_version)
    await tables.transact([Write(HEAD_KEY, encode_head(head), condition)])
