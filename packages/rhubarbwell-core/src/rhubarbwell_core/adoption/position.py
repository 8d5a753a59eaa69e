"""Hold the verified position in the log and the documents at that version."""

import zlib
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from rhubarbwell_core.adoption.log import (
    EMPTY_CHAIN,
    InvalidLogError,
    LogRow,
    document_digest,
    verify_rows,
)
from rhubarbwell_core.adoption.messages import LogAnswer, LogAsk, PackedDocument

__all__ = ["Candidate", "LogPosition", "pack_document", "unpack_text"]

MAX_ROWS_KEPT = 1_024
MAX_DOCUMENT_BYTES = 64 << 20
MAX_ANSWER_DOCUMENT_BYTES = 3 << 20


class Candidate(NamedTuple):
    """Hold a later position, some of whose documents may be missing."""

    version: int
    chain: str
    rows: tuple[LogRow, ...]
    digests: Mapping[str, str]
    packed: Mapping[str, bytes]

    def missing_digests(self) -> list[str]:
        """Return the digests of the documents that are not yet available."""
        return [d for d in dict.fromkeys(self.digests.values()) if d not in self.packed]

    def with_text(self, digest: str, text: str) -> "Candidate":
        """Return the candidate with a document's text added.

        Raises InvalidLogError if the text does not match the digest.
        """
        if document_digest(text) != digest:
            raise InvalidLogError(
                f"the text of document {digest} does not match its digest"
            )
        packed = {**self.packed, digest: zlib.compress(text.encode())}
        return self._replace(packed=packed)


class LogPosition:
    """Hold the newest verified version with all of its documents.

    The version only increases.
    """

    def __init__(self) -> None:
        self.version = 0
        self.chain = EMPTY_CHAIN
        self._rows: deque[LogRow] = deque(maxlen=MAX_ROWS_KEPT)
        self._digests: dict[str, str] = {}
        self._packed: dict[str, bytes] = {}

    def candidate_after(
        self, rows: Iterable[LogRow], documents: Sequence[PackedDocument] = ()
    ) -> Candidate | None:
        """Return the candidate after the last complete publish in rows.

        Rows up to the current version are skipped. Returns None if no complete
        publish follows. Raises InvalidLogError if a row does not continue the
        log or a document does not match its digest.
        """
        newer = _rows_of_complete_publishes(
            [row for row in rows if row.version > self.version]
        )
        if not newer:
            return None
        chain = verify_rows(newer, version=self.version, chain=self.chain)
        digests = dict(self._digests)
        for row in newer:
            digests.pop(row.document, None)
            if row.digest:
                digests[row.document] = row.digest
        packed = {**self._packed, **_verified_texts(documents)}
        return _make_candidate(newer[-1].version, chain, tuple(newer), digests, packed)

    def candidate_at(
        self, version: int, chain: str, documents: Sequence[PackedDocument]
    ) -> Candidate | None:
        """Return a candidate that holds all documents at a version.

        Returns None if a version is already adopted. Raises InvalidLogError if a
        document does not match its digest.
        """
        if self.version > 0 or version <= 0:
            return None
        digests = {document.name: document.digest for document in documents}
        return _make_candidate(version, chain, (), digests, _verified_texts(documents))

    def advance_to(self, candidate: Candidate) -> bool:
        """Move to a candidate if it is newer and complete; return True if moved."""
        if candidate.version <= self.version or candidate.missing_digests():
            return False
        self.version = candidate.version
        self.chain = candidate.chain
        self._rows.extend(candidate.rows)
        self._digests = dict(candidate.digests)
        self._packed = dict(candidate.packed)
        return True

    def texts(self) -> dict[str, str]:
        """Return the text of each document by name."""
        return {
            name: unpack_text(self._packed[digest])
            for name, digest in self._digests.items()
        }

    def answer_to(self, ask: LogAsk) -> LogAnswer | None:
        """Return the rows after the requested version, None if they are not kept.

        A request from version 0 gets all documents at the adopted version instead.
        Compressed texts that do not fit into MAX_ANSWER_DOCUMENT_BYTES are left out.
        """
        if ask.version == 0 and self.version > 0:
            return LogAnswer(
                (), self._packed_documents(self._digests), *self._version_and_chain()
            )
        rows = self.rows_after(ask.version, ask.chain)
        if not rows:
            return None
        names = [row.document for row in rows if row.document in self._digests]
        return LogAnswer(tuple(rows), self._packed_documents(dict.fromkeys(names)))

    def rows_after(self, version: int, chain: str) -> list[LogRow]:
        """Return the rows after a version and chain, or [] if they are not kept."""
        rows = [row for row in self._rows if row.version > version]
        if not rows or rows[0].version != version + 1:
            return []
        return rows if rows[0].previous_chain == chain else []

    def _packed_documents(self, names: Iterable[str]) -> tuple[PackedDocument, ...]:
        bytes_left = MAX_ANSWER_DOCUMENT_BYTES
        documents = []
        for name in names:
            digest = self._digests[name]
            packed = self._packed[digest]
            fits = len(packed) <= bytes_left
            bytes_left -= len(packed) if fits else 0
            documents.append(PackedDocument(name, digest, packed if fits else b""))
        return tuple(documents)

    def _version_and_chain(self) -> tuple[int, str]:
        return self.version, self.chain


def pack_document(name: str, text: str) -> PackedDocument:
    """Return a document with its digest and compressed text.

    >>> unpack_text(pack_document("deployment", "{}").packed)
    '{}'
    """
    return PackedDocument(name, document_digest(text), zlib.compress(text.encode()))


def unpack_text(packed: bytes) -> str:
    """Return the decompressed text.

    Raises InvalidLogError if the data is damaged or the text is longer than
    MAX_DOCUMENT_BYTES.
    """
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAX_DOCUMENT_BYTES)
        if unpacker.unconsumed_tail or not unpacker.eof:
            raise InvalidLogError(
                f"a document is truncated or larger than {MAX_DOCUMENT_BYTES} bytes"
            )
        return data.decode()
    except (zlib.error, UnicodeDecodeError) as exc:
        raise InvalidLogError(f"unreadable document: {exc}") from exc


def _make_candidate(
    version: int,
    chain: str,
    rows: tuple[LogRow, ...],
    digests: Mapping[str, str],
    packed: Mapping[str, bytes],
) -> Candidate:
    used = set(digests.values())
    kept = {digest: data for digest, data in packed.items() if digest in used}
    return Candidate(version, chain, rows, digests, kept)


def _verified_texts(documents: Iterable[PackedDocument]) -> dict[str, bytes]:
    """Return compressed texts by digest; raise InvalidLogError on a mismatch."""
    verified = {}
    for document in documents:
        if not document.packed:
            continue
        if document_digest(unpack_text(document.packed)) != document.digest:
            raise InvalidLogError(
                f"the text of document {document.name!r} does not match its digest"
            )
        verified[document.digest] = document.packed
    return verified


def _rows_of_complete_publishes(rows: Sequence[LogRow]) -> list[LogRow]:
    ends = [end for end, row in enumerate(rows, 1) if row.rows_left == 0]
    return list(rows[: ends[-1]]) if ends else []
