"""Publishing of documents by compare-and-set on the head of the log."""

from collections.abc import Mapping

from returns.result import Failure, Result, Success
from rhubarbwell_core.adoption import (
    EMPTY_CHAIN,
    HEAD_KEY,
    InvalidLogError,
    LogHead,
    chain_digest,
    decode_head,
    document_digest,
    encode_head,
    encode_log_row,
    log_key,
    object_key,
)
from tenacity import AsyncRetrying, retry_if_exception_type, stop_after_attempt

from rhubarbwell_platform.documents import configuration_of, findings_of
from rhubarbwell_platform.errors import (
    AnswerLostError,
    ConflictError,
    PlatformError,
    UnavailableError,
)
from rhubarbwell_platform.publishing.changes import (
    Change,
    changed_documents,
    log_rows_of,
    merge_documents,
)
from rhubarbwell_platform.publishing.differences import KeyDifference, differences
from rhubarbwell_platform.publishing.log import PublishedState, read_rows, read_state
from rhubarbwell_platform.publishing.outcomes import (
    PublishConflict,
    Published,
    PublishFailure,
    PublishInvalid,
    PublishNotDone,
    PublishUnknown,
)
from rhubarbwell_platform.publishing.recorded_outcomes import (
    publish_key,
    read_recorded_outcome,
)
from rhubarbwell_platform.publishing.snapshots import write_snapshot_if_due
from rhubarbwell_platform.services import (
    Absent,
    Condition,
    Platform,
    Row,
    VersionIs,
    Write,
)

__all__ = ["publish"]

MAX_TRIES = 5

Outcome = Result[Published, PublishFailure]


async def publish(
    platform: Platform, change: Change, *, base: PublishedState
) -> Outcome:
    """Publish a change to the published state `base` and return the outcome.

    Publishing the same change again with the same id has no further effect.
    """
    changed = changed_documents(change, base)
    if not changed:
        return await _read_unchanged_outcome(platform, change, base)
    merged = merge_documents(base.documents, changed)
    checked = configuration_of(base.head.version, base.head.chain, merged)
    findings = findings_of(checked)
    if findings:
        return Failure(PublishInvalid(findings))
    attempt = _PublishAttempt(platform, change, changed, base)
    try:
        return await attempt.run(merged)
    except (PlatformError, InvalidLogError) as exc:
        return Failure(attempt.failure_outcome(str(exc)))


async def _read_unchanged_outcome(
    platform: Platform, change: Change, base: PublishedState
) -> Outcome:
    """Return the recorded outcome of an empty change, else the base version."""
    key = publish_key(change.publish_id)
    try:
        row = (await platform.tables.read([key])).get(key)
        if row is not None:
            return await read_recorded_outcome(platform.tables, change, int(row.value))
    except (PlatformError, InvalidLogError) as exc:
        return Failure(PublishNotDone(str(exc)))
    return Success(Published(base.head.version, base.head.chain))


class _StaleHeadError(UnavailableError):
    """Signal a head that is older than the base or has another digest chain."""


class _PublishAttempt:
    """Retry the transaction of a publish until its outcome is known."""

    def __init__(
        self,
        platform: Platform,
        change: Change,
        changed: Mapping[str, str | None],
        base: PublishedState,
    ) -> None:
        self._platform = platform
        self._change = change
        self._changed = changed
        self._base = base
        self._rows = log_rows_of(change, changed, base.head)
        self._may_have_committed = False

    async def run(self, merged: Mapping[str, str]) -> Outcome:
        """Upload the documents, commit the transaction and return the outcome.

        Raises PlatformError or InvalidLogError if no attempt gives an outcome.
        """
        await self._put_objects()
        retrying = AsyncRetrying(
            retry=retry_if_exception_type(
                (ConflictError, AnswerLostError, _StaleHeadError)
            ),
            stop=stop_after_attempt(MAX_TRIES),
            reraise=True,
        )
        return await retrying(self._try_once, merged)

    def failure_outcome(self, reason: str) -> PublishFailure:
        """Return the failure to report after the last attempt."""
        if self._may_have_committed:
            return PublishUnknown(self._change.publish_id, reason)
        return PublishNotDone(reason)

    async def _put_objects(self) -> None:
        for text in self._changed.values():
            if text is not None:
                key = object_key(document_digest(text))
                await self._platform.objects.put(key, text)

    async def _try_once(self, merged: Mapping[str, str]) -> Outcome:
        """Return the publish's recorded outcome; without one, send the transaction."""
        publish_row_key = publish_key(self._change.publish_id)
        found = await self._platform.tables.read([publish_row_key, HEAD_KEY])
        if publish_row_key in found:
            recorded = await read_recorded_outcome(
                self._platform.tables, self._change, int(found[publish_row_key].value)
            )
            return recorded.map(
                lambda done: done._replace(repeated=not self._may_have_committed)
            )
        head_row = found.get(HEAD_KEY)
        if head_row is not None:
            head = decode_head(head_row.value)
            if head.version > self._base.head.version:
                return Failure(await self._read_conflict(head))
        self._check_head(head_row)
        row_version = await self._transact(publish_row_key, head_row)
        head = self._new_head()
        await write_snapshot_if_due(self._platform, head, row_version, merged)
        return Success(Published(head.version, head.chain, tuple(self._changed)))

    def _check_head(self, head_row: Row | None) -> None:
        """Raise _StaleHeadError unless the head equals the base's head.

        Reads may be stale, so a mismatch may end by itself and is retried.
        """
        base = self._base.head
        head = (
            LogHead(0, EMPTY_CHAIN) if head_row is None else decode_head(head_row.value)
        )
        if (head.version, head.chain) != (base.version, base.chain):
            raise _StaleHeadError(
                f"the head is at version {head.version}, the change was made on "
                f"version {base.version}"
            )

    async def _transact(self, publish_row_key: str, head_row: Row | None) -> int:
        writes = [
            Write(log_key(row.version), encode_log_row(row), Absent())
            for row in self._rows
        ]
        head = self._new_head()
        condition: Condition = Absent()
        if head_row is not None:
            condition = VersionIs(head_row.version)
        writes.append(Write(publish_row_key, str(head.version), Absent()))
        writes.append(Write(HEAD_KEY, encode_head(head), condition))
        try:
            return await self._platform.tables.transact(writes)
        except AnswerLostError:
            self._may_have_committed = True
            raise

    def _new_head(self) -> LogHead:
        last = self._rows[-1]
        return self._base.head._replace(version=last.version, chain=chain_digest(last))

    async def _read_conflict(self, head: LogHead) -> PublishConflict:
        tables = self._platform.tables
        base_version = self._base.head.version
        winners = await read_rows(tables, after=base_version, up_to=head.version)
        newest = await read_state(self._platform, version=head.version)
        wanted = merge_documents(self._base.documents, self._changed)
        changed_since_base = differences(self._base.documents, newest.documents)
        differing = _differences_in_keys(
            differences(newest.documents, wanted), changed_since_base
        )
        return PublishConflict(base_version, winners, differing)


def _differences_in_keys(
    found: tuple[KeyDifference, ...], others: tuple[KeyDifference, ...]
) -> tuple[KeyDifference, ...]:
    """Return the differences whose keys also occur in the other differences."""
    keys = {(difference.document, difference.key) for difference in others}
    return tuple(diff for diff in found if (diff.document, diff.key) in keys)
