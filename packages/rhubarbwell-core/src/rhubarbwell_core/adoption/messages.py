"""Define the messages, events and actions of configuration adoption."""

from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from rhubarbwell_core.adoption.log import LogHead, LogRow, LogSnapshot
from rhubarbwell_core.model import Address, Configuration

__all__ = [
    "ConfigurationAlarm",
    "ConfigurationAlarmKind",
    "ConfigurationParsed",
    "ConfigurationRefused",
    "FollowLog",
    "HeadRead",
    "LogAnswer",
    "LogAnswered",
    "LogAsk",
    "LogAskReceived",
    "LogRowsRead",
    "ObjectRead",
    "PackedDocument",
    "ParseConfiguration",
    "ReadHead",
    "ReadLogRows",
    "ReadObject",
    "ReadSnapshot",
    "RestoreLog",
    "SnapshotRead",
]


class FollowLog(NamedTuple):
    """Report that a platform is available and its log is to be followed."""


class ReadHead(NamedTuple):
    """Ask the shell to read the head of the log from the table service."""

    call_id: int


class HeadRead(NamedTuple):
    """Report the head of the log, None if the read failed.

    The head is at version 0 if nothing is published.
    """

    call_id: int
    head: LogHead | None


class ReadLogRows(NamedTuple):
    """Ask the shell to read the log rows from version first to last, inclusive."""

    call_id: int
    first: int
    last: int


class LogRowsRead(NamedTuple):
    """Report the rows read from the log, None if the read was incomplete."""

    call_id: int
    rows: tuple[LogRow, ...] | None


class ReadObject(NamedTuple):
    """Ask the shell to read a document from the object store."""

    call_id: int
    digest: str


class ObjectRead(NamedTuple):
    """Report a document's text, None if the read failed."""

    call_id: int
    digest: str
    text: str | None


class ReadSnapshot(NamedTuple):
    """Ask the shell to read the snapshot of a version from the object store."""

    call_id: int
    version: int


class SnapshotRead(NamedTuple):
    """Report a snapshot, None if the read failed."""

    call_id: int
    snapshot: LogSnapshot | None


class PackedDocument(NamedTuple):
    """Hold a document's name, digest and zlib-compressed text, b"" if left out."""

    name: str
    digest: str
    packed: bytes


class LogAsk(NamedTuple):
    """Request from a peer the rows and documents after a version and chain."""

    version: int
    chain: str


class LogAskReceived(NamedTuple):
    """Report a peer's request for rows and documents after the version it holds."""

    address: Address
    ask: LogAsk


class LogAnswer(NamedTuple):
    """Hold the rows that follow a version and the documents that they change.

    If base_version is above 0, documents holds all documents at that version and
    rows is empty.
    """

    rows: tuple[LogRow, ...]
    documents: tuple[PackedDocument, ...]
    base_version: int = 0
    base_chain: str = ""


class LogAnswered(NamedTuple):
    """Report a peer's answer to a LogAsk."""

    address: Address
    answer: LogAnswer


class ParseConfiguration(NamedTuple):
    """Ask the shell to parse and check the documents of a version."""

    version: int
    digest: str
    documents: Mapping[str, str]


class ConfigurationParsed(NamedTuple):
    """Report the configuration parsed from a version's documents."""

    configuration: Configuration


class ConfigurationRefused(NamedTuple):
    """Report that a version's documents are invalid or of an unknown format."""

    version: int
    findings: tuple[str, ...]


class RestoreLog(NamedTuple):
    """Ask the shell to append rows that the table service has lost.

    The shell writes them only if the current head equals expected.
    """

    expected: LogHead
    head: LogHead
    rows: tuple[LogRow, ...]
    documents: Mapping[str, str]


class ConfigurationAlarmKind(Enum):
    """Represent the fault in a configuration or in its log."""

    REFUSED = "refused"
    FORKED = "forked"
    STORE_BEHIND = "store_behind"
    PEER_UNPROVEN = "peer_unproven"


class ConfigurationAlarm(NamedTuple):
    """Ask the shell to raise an alarm on a version of the configuration."""

    kind: ConfigurationAlarmKind
    version: int
    detail: str
