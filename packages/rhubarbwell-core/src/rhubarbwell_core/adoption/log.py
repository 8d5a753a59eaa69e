"""Define the log of published documents, its digest chain and its key names."""

import hashlib
import json
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from rhubarbwell_core.errors import DECODING_ERRORS, RhubarbwellError

__all__ = [
    "EMPTY_CHAIN",
    "HEAD_KEY",
    "InvalidLogError",
    "LogHead",
    "LogRow",
    "LogSnapshot",
    "chain_digest",
    "decode_head",
    "decode_log_row",
    "decode_snapshot",
    "document_digest",
    "encode_head",
    "encode_log_row",
    "encode_snapshot",
    "log_key",
    "object_key",
    "snapshot_key",
    "verify_rows",
]

HEAD_KEY = "config-head"
EMPTY_CHAIN = ""


class InvalidLogError(RhubarbwellError):
    """Report a row, head, snapshot or document that does not match the log."""


class LogRow(NamedTuple):
    """Represent the publish of one document; an empty digest removes the document.

    rows_left counts the rows of the same publish that follow this one; no row of
    a publish takes effect before its last, whose rows_left is 0.
    """

    version: int
    document: str
    digest: str
    previous_chain: str
    publish_id: str
    author: str
    published_at_ms: int
    rows_left: int = 0


class LogHead(NamedTuple):
    """Hold the newest version of the log and of its snapshots, 0 for none."""

    version: int
    chain: str
    snapshot_version: int = 0


class LogSnapshot(NamedTuple):
    """Hold the text of each document at a version, by document name."""

    version: int
    chain: str
    documents: Mapping[str, str]


def document_digest(text: str) -> str:
    """Return the SHA-256 digest under which a document is stored.

    >>> document_digest("{}")[:12]
    '44136fa355b3'
    """
    return hashlib.sha256(text.encode()).hexdigest()


def chain_digest(row: LogRow) -> str:
    """Return the digest that covers a row and, by its chain, every earlier row.

    >>> row = LogRow(1, "deployment", "d1", EMPTY_CHAIN, "p1", "ana", 1_000)
    >>> chain_digest(row) == chain_digest(row._replace(author="ben"))
    False
    """
    return hashlib.sha256(encode_log_row(row).encode()).hexdigest()


def verify_rows(rows: Iterable[LogRow], *, version: int, chain: str) -> str:
    """Return the chain digest after rows that continue from a version and chain.

    Raises InvalidLogError at the first row that does not continue the log.
    """
    for row in rows:
        if row.version != version + 1:
            raise InvalidLogError(f"version {row.version} does not follow {version}")
        if row.previous_chain != chain:
            raise InvalidLogError(
                f"previous_chain of version {row.version} is not the chain of {version}"
            )
        version, chain = row.version, chain_digest(row)
    return chain


def log_key(version: int) -> str:
    """Return the table key of a log row; keys sort by version.

    >>> log_key(7)
    'config-log/000000000007'
    """
    return f"config-log/{version:012d}"


def object_key(digest: str) -> str:
    """Return the object key of a document's text."""
    return f"objects/{digest}"


def snapshot_key(version: int) -> str:
    """Return the object key of a snapshot."""
    return f"snapshots/{version:012d}"


def encode_log_row(row: LogRow) -> str:
    """Return the canonical JSON of a row."""
    return _encode(row._asdict())


def decode_log_row(text: str) -> LogRow:
    """Return the row encoded in text; raise InvalidLogError if it is invalid."""
    try:
        row = LogRow(**json.loads(text))
    except DECODING_ERRORS as exc:
        raise InvalidLogError(f"unreadable log row: {exc}") from exc
    numbers = (row.version, row.published_at_ms, row.rows_left)
    names = (row.document, row.digest, row.previous_chain, row.publish_id, row.author)
    _check_types(numbers, names)
    return row


def encode_head(head: LogHead) -> str:
    """Return the canonical JSON of a head."""
    return _encode(head._asdict())


def decode_head(text: str) -> LogHead:
    """Return the head encoded in text; raise InvalidLogError if it is invalid."""
    try:
        head = LogHead(**json.loads(text))
    except DECODING_ERRORS as exc:
        raise InvalidLogError(f"unreadable head: {exc}") from exc
    _check_types((head.version, head.snapshot_version), (head.chain,))
    return head


def encode_snapshot(snapshot: LogSnapshot) -> str:
    """Return the canonical JSON of a snapshot."""
    return _encode({**snapshot._asdict(), "documents": dict(snapshot.documents)})


def decode_snapshot(text: str) -> LogSnapshot:
    """Return the snapshot encoded in text; raise InvalidLogError if it is invalid."""
    try:
        snapshot = LogSnapshot(**json.loads(text))
        documents = dict(snapshot.documents)
    except DECODING_ERRORS as exc:
        raise InvalidLogError(f"unreadable snapshot: {exc}") from exc
    names = (snapshot.chain, *documents, *documents.values())
    _check_types((snapshot.version,), names)
    return snapshot


def _encode(fields: Mapping[str, object]) -> str:
    return json.dumps(fields, sort_keys=True, separators=(",", ":"))


def _check_types(numbers: Iterable[object], names: Iterable[object]) -> None:
    if not all(type(number) is int and number >= 0 for number in numbers):
        raise InvalidLogError(
            "a number of the log is missing, negative or not an integer"
        )
    if not all(isinstance(name, str) for name in names):
        raise InvalidLogError("a name, digest or text of the log is not a string")
