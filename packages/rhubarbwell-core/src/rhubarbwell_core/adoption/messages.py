"""Messages, events and actions of the adoption of configurations."""

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
    "LogAsked",
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
    """Report that a platform is there whose log is to be followed."""


class ReadHead(NamedTuple):
    """Ask the shell to read the head of the log from the table service."""

    call_id: int


class HeadRead(NamedTuple):
    """Report the head of the log, None without an answer or a published log."""

    call_id: int
    head: LogHead | None


class ReadLogRows(NamedTuple):
    """Ask the shell to read the rows of versions first to last, both included."""

    call_id: int
    first: int
    last: int


class LogRowsRead(NamedTuple):
    """Report rows of the log, None without a full answer."""

    call_id: int
    rows: tuple[LogRow, ...] | None


class ReadObject(NamedTuple):
    """Ask the shell to read a document from the object store."""

    call_id: int
    digest: str


class ObjectRead(NamedTuple):
    """Report a document's text, None without an answer."""

    call_id: int
    digest: str
    text: str | None


class ReadSnapshot(NamedTuple):
    """Ask the shell to read the snapshot of a version from the object store."""

    call_id: int
    version: int


class SnapshotRead(NamedTuple):
    """Report a snapshot, None without an answer."""

    call_id: int
    snapshot: LogSnapshot | None


class PackedDocument(NamedTuple):
    """Hold a document's name, digest and zlib-compressed text, empty if left out."""

    name: str
    digest: str
    packed: bytes


class LogAsk(NamedTuple):
    """Ask a peer for the rows and documents after a version and its chain."""

    version: int
    chain: str


class LogAsked(NamedTuple):
    """Report a peer's ask for what follows its version."""

    address: Address
    ask: LogAsk


class LogAnswer(NamedTuple):
    """Give the rows that follow a version and the documents that they change.

    A base_version above 0 stands for all documents at that version, without rows.
    """

    rows: tuple[LogRow, ...]
    documents: tuple[PackedDocument, ...]
    base_version: int = 0
    base_chain: str = ""


class LogAnswered(NamedTuple):
    """Report a peer's rows and documents."""

    address: Address
    answer: LogAnswer


class ParseConfiguration(NamedTuple):
    """Ask the shell to parse and check the documents of a version."""

    version: int
    digest: str
    documents: Mapping[str, str]


class ConfigurationParsed(NamedTuple):
    """Report the configuration that a version's documents state."""

    configuration: Configuration


class ConfigurationRefused(NamedTuple):
    """Report that a version's documents are invalid or of an unknown format."""

    version: int
    findings: tuple[str, ...]


class RestoreLog(NamedTuple):
    """Ask the shell to append rows that the table service has lost.

    They may be written only while the head is the expected one.
    """

    expected: LogHead
    head: LogHead
    rows: tuple[LogRow, ...]
    documents: Mapping[str, str]


class ConfigurationAlarmKind(Enum):
    """Name what is wrong with the configuration as published or heard."""

    REFUSED = "refused"
    FORKED = "forked"
    STORE_BEHIND = "store_behind"
    PEER_UNPROVEN = "peer_unproven"


class ConfigurationAlarm(NamedTuple):
    """Tell the shell to raise an alarm on a version of the configuration."""

    kind: ConfigurationAlarmKind
    version: int
    detail: str
