"""What may come of a publish."""

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
    """Tell the version at which a change is in the log.

    repeated tells that the publish id was in the log before; changed is empty
    when the documents were published already.
    """

    version: int
    chain: str
    changed: tuple[str, ...] = ()
    repeated: bool = False


class PublishInvalid(NamedTuple):
    """Tell why the documents would not make a configuration."""

    findings: tuple[Finding, ...]


class PublishConflict(NamedTuple):
    """Tell which publishes won and in which keys they differ from the change."""

    base_version: int
    winners: tuple[LogRow, ...]
    differing: tuple[KeyDifference, ...]


class PublishIdReused(NamedTuple):
    """Tell that the publish id belongs to another change."""

    publish_id: str
    version: int


class PublishNotDone(NamedTuple):
    """Tell that the platform was unavailable and nothing was published."""

    reason: str


class PublishUnknown(NamedTuple):
    """Tell that the change may be in the log; publish again with the same id."""

    publish_id: str
    reason: str


PublishFailure = (
    PublishInvalid | PublishConflict | PublishIdReused | PublishNotDone | PublishUnknown
)
