"""Command that checks service, deployment and account files."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from returns.result import Failure, Result
from rhubarbwell_platform.documents import (
    Document,
    Finding,
    check_documents,
    findings_of,
    format_findings,
    parse_document,
    parse_file,
    read_files,
)
from rhubarbwell_platform.publishing import PublishedState

from rhubarbwell_ops.exits import ExitCode, Report

__all__ = ["check", "checked_documents", "findings_report"]

# Configuration files are JSON with comments.
FILE_PATTERN = "*.jsonc"

CheckResult = Result[tuple[Document, ...], tuple[Finding, ...]]


def check(paths: Sequence[str], *, published: PublishedState | None = None) -> Report:
    """Check files and return the report.

    Files are checked singly, together and with the published documents.
    """
    checked = checked_documents(paths, published)
    if isinstance(checked, Failure):
        return findings_report(checked.failure())
    names = [document.name for document in checked.unwrap()]
    text = f"{len(names)} documents, no findings: {', '.join(names)}"
    return Report(ExitCode.DONE, text, {"documents": names})


def checked_documents(
    paths: Sequence[str], published: PublishedState | None
) -> CheckResult:
    """Return the documents of the files, checked with the published documents.

    A folder is replaced by the configuration files in it. Published documents that the
    files replace are left out of the check.
    """
    files = list(_expand_folders(paths))
    if not files:
        return Failure((Finding("", 0, 0, "", "no files are given"),))
    sources = read_files(files)
    if isinstance(sources, Failure):
        return sources
    parsed = [parse_file(source) for source in sources.unwrap()]
    findings = tuple(f for result in parsed for f in findings_of(result))
    if findings:
        return Failure(findings)
    documents = [result.unwrap() for result in parsed]
    published_documents = _unreplaced_documents(documents, published)
    return check_documents([*published_documents, *documents]).map(
        lambda _: tuple(documents)
    )


def findings_report(findings: Sequence[Finding]) -> Report:
    """Return the report that lists the findings."""
    fields = {"findings": [finding._asdict() for finding in findings]}
    count = "1 finding" if len(findings) == 1 else f"{len(findings)} findings"
    return Report(ExitCode.FINDINGS, f"{format_findings(findings)}\n{count}", fields)


def _expand_folders(paths: Sequence[str]) -> Iterator[str]:
    for path in paths:
        if Path(path).is_dir():
            yield from map(str, sorted(Path(path).glob(FILE_PATTERN)))
        else:
            yield path


def _unreplaced_documents(
    documents: Sequence[Document], published: PublishedState | None
) -> list[Document]:
    """Return the published documents that the files do not replace."""
    if published is None:
        return []
    names = {document.name for document in documents}
    return [
        parse_document(name, text).unwrap()
        for name, text in published.documents.items()
        if name not in names
    ]
