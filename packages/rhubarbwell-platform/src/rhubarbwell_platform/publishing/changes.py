"""Changes to documents and the log rows that record them."""

from collections.abc import Mapping
from typing import NamedTuple

from rhubarbwell_core.adoption import LogHead, LogRow, chain_digest, document_digest

from rhubarbwell_platform.publishing.log import PublishedState

__all__ = [
    "Change",
    "changed_documents",
    "document_digests",
    "log_rows_of",
    "merge_documents",
]


class Change(NamedTuple):
    """Represent a request to publish documents; a None text removes a document."""

    publish_id: str
    author: str
    at_ms: int
    documents: Mapping[str, str | None]


def merge_documents(
    documents: Mapping[str, str], changed: Mapping[str, str | None]
) -> dict[str, str]:
    """Return the documents with a change applied; a None text removes a document.

    >>> merge_documents({"a": "1", "b": "2"}, {"b": None, "c": "3"})
    {'a': '1', 'c': '3'}
    """
    merged: dict[str, str | None] = {**documents, **changed}
    return {name: text for name, text in merged.items() if text is not None}


def changed_documents(change: Change, base: PublishedState) -> dict[str, str | None]:
    """Return the documents of a change whose text differs from the base."""
    return {
        name: text
        for name, text in sorted(change.documents.items())
        if base.documents.get(name) != text
    }


def document_digests(documents: Mapping[str, str | None]) -> dict[str, str]:
    """Return digests by document name, an empty string for a removed document."""
    return {
        name: "" if text is None else document_digest(text)
        for name, text in documents.items()
    }


def log_rows_of(
    change: Change, changed: Mapping[str, str | None], head: LogHead
) -> tuple[LogRow, ...]:
    """Return the log rows that append changed documents after a head."""
    rows: list[LogRow] = []
    chain = head.chain
    for index, (name, digest) in enumerate(document_digests(changed).items(), 1):
        row = LogRow(
            version=head.version + index,
            document=name,
            digest=digest,
            previous_chain=chain,
            publish_id=change.publish_id,
            author=change.author,
            published_at_ms=change.at_ms,
            rows_left=len(changed) - index,
        )
        rows.append(row)
        chain = chain_digest(row)
    return tuple(rows)
