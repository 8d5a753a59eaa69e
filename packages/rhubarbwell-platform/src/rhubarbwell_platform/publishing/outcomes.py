"""Outcomes of a publish."""

from typing import NamedTuple

from rhubarbwell_core.adoption import LogRow

from rhubarbwell_platform.documents import Finding
from rhubarbwell_platform.publishing.differences import KeyDifference

__all__ = [
    "PublishConflict",
    "PublishFailure",
    "PublishIdReused",
    "PublishInvalid",
    "PublishNotDone",
    "PublishUnknown",
    "Published",
]


class Published(NamedTuple):
    """Represent a change that is in the log.

    version and chain are those of its last row. repeated is True if the publish id
    was in the log before this call. changed lists the changed documents; it is empty
    if the documents were already published.
    """

    version: int
    chain: str
    changed: tuple[str, ...] = ()
    repeated: bool = False


class PublishInvalid(NamedTuple):
    """Represent a publish refused because its configuration is invalid."""

    findings: tuple[Finding, ...]


class PublishConflict(NamedTuple):
    """Represent a publish refused because others published after its base version.

    winners are the log rows of the others. differing lists the keys that they changed
    and that have another value with this change applied to its base: before is the
    newest published value, after the value with this change.
    """

    base_version: int
    winners: tuple[LogRow, ...]
    differing: tuple[KeyDifference, ...]


class PublishIdReused(NamedTuple):
    """Represent a publish whose id was already used for another change."""

    publish_id: str
    version: int


class PublishNotDone(NamedTuple):
    """Represent a failed publish that left the log unchanged."""

    reason: str


class PublishUnknown(NamedTuple):
    """Represent a publish that may or may not be in the log.

    Publishing again with the same id finds out or completes it.
    """

    publish_id: str
    reason: str


PublishFailure = (
    PublishInvalid | PublishConflict | PublishIdReused | PublishNotDone | PublishUnknown
)
