"""Parsing of service, deployment and account files and of published documents."""

from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import NamedTuple

from returns.result import Failure, Result, Success
from rhubarbwell_core.model import AccountGroup, DeploymentSpec, ServiceSpec

from rhubarbwell_platform.documents.account_files import read_accounts
from rhubarbwell_platform.documents.deployment_files import read_deployment
from rhubarbwell_platform.documents.encoding import document_name, encode_document
from rhubarbwell_platform.documents.fields import FieldReader
from rhubarbwell_platform.documents.findings import Finding, FindingLog, Position
from rhubarbwell_platform.documents.nodes import (
    DocumentSyntaxError,
    Node,
    parse_json,
    parse_jsonc,
)
from rhubarbwell_platform.documents.service_files import read_service

__all__ = ["Document", "SourceFile", "parse_document", "parse_file", "read_files"]

MAX_FILE_BYTES = 64 << 20


class SourceFile(NamedTuple):
    """Hold the text of a file and its name for findings."""

    name: str
    text: str


class Document(NamedTuple):
    """Hold a parsed document, its canonical text and the positions of its keys."""

    name: str
    spec: ServiceSpec | DeploymentSpec | AccountGroup
    text: str
    file: str
    positions: Mapping[str, Position]


ParseResult = Result[Document, tuple[Finding, ...]]


def read_files(
    paths: Iterable[str | Path],
) -> Result[tuple[SourceFile, ...], tuple[Finding, ...]]:
    """Return the UTF-8 text of files, or a finding for each unreadable file."""
    sources: list[SourceFile] = []
    findings: list[Finding] = []
    for path in paths:
        try:
            sources.append(SourceFile(str(path), Path(path).read_text("utf-8")))
        except (OSError, UnicodeDecodeError) as exc:
            findings.append(Finding(str(path), 0, 0, "", f"cannot be read: {exc}"))
    return Failure(tuple(findings)) if findings else Success(tuple(sources))


def parse_file(source: SourceFile) -> ParseResult:
    """Return the document of a file in JSON with comments.

    >>> bad = SourceFile("a.jsonc", '{"service": "a", "kinds": 3, "endpoints": {}}')
    >>> parse_file(bad).failure()[0].message
    'must be a list, not a number'
    """
    return _parse(source, parse_jsonc)


def parse_document(name: str, text: str) -> ParseResult:
    """Return the document parsed from its published JSON text.

    Return a failure if the text is invalid or the document is not named `name`.
    """
    return _parse(SourceFile(name, text), parse_json).bind(
        lambda document: _check_name(document, name)
    )


def _parse(source: SourceFile, read: Callable[[str], Node]) -> ParseResult:
    log = FindingLog(source.name)
    if len(source.text) > MAX_FILE_BYTES:
        log.add(Position(1, 1), "", f"the file is larger than {MAX_FILE_BYTES} bytes")
        return Failure(log.findings())
    try:
        node = read(source.text)
    except DocumentSyntaxError as exc:
        log.add(exc.position, "", exc.message)
        return Failure(log.findings())
    fields = FieldReader(node, "", log)
    spec = None if log.findings() else _read_spec(fields)
    if spec is None or log.findings():
        return Failure(log.findings())
    text = encode_document(spec)
    name = document_name(spec)
    return Success(Document(name, spec, text, source.name, log.positions()))


def _read_spec(
    fields: FieldReader,
) -> ServiceSpec | DeploymentSpec | AccountGroup | None:
    if fields.has("service"):
        return read_service(fields)
    if fields.has("deployment"):
        return read_deployment(fields)
    if fields.has("accounts"):
        return read_accounts(fields)
    message = "must be a service, deployment or account file: it has none of"
    fields.log.add(
        fields.position, "", f"{message} 'service', 'deployment' and 'accounts'"
    )
    return None


def _check_name(document: Document, name: str) -> ParseResult:
    if document.name == name:
        return Success(document)
    message = f"the document is named {document.name!r}, expected {name!r}"
    return Failure((Finding(name, 0, 0, "", message),))
