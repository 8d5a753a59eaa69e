"""Findings about files and their positions."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

__all__ = ["Finding", "FindingLog", "Position", "format_findings"]


class Position(NamedTuple):
    """Hold a line and column of a file, both counted from 1, or 0 if unknown."""

    line: int
    column: int


class Finding(NamedTuple):
    """Hold the file, position, key and message of an error."""

    file: str
    line: int
    column: int
    key: str
    message: str


class FindingLog:
    """Collect the findings about one file and the positions of its keys.

    >>> log = FindingLog("slotsvc.jsonc")
    >>> log.add(Position(3, 5), "kinds[0].rank", "must be a rank")
    >>> print(format_findings(log.findings()))
    slotsvc.jsonc:3:5: kinds[0].rank: must be a rank
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._positions: dict[str, Position] = {}
        self._findings: list[Finding] = []

    def record_position(self, key: str, position: Position) -> None:
        """Store the position of a key for later findings."""
        self._positions[key] = position

    def positions(self) -> Mapping[str, Position]:
        """Return the line and column of each recorded key of the file, by its path."""
        return self._positions

    def add(self, position: Position, key: str, message: str) -> None:
        """Add a finding at a position."""
        self._findings.append(Finding(self._file, *position, key, message))

    def add_at_key(self, key: str, message: str) -> None:
        """Add a finding at the position of a key or of its nearest known parent."""
        parent = key
        while parent not in self._positions and parent:
            parent = parent[: max(parent.rfind("."), parent.rfind("["), 0)]
        self.add(self._positions.get(parent, Position(1, 1)), key, message)

    def findings(self) -> tuple[Finding, ...]:
        """Return the findings in order of their position."""
        return tuple(sorted(self._findings, key=lambda f: (f.line, f.column)))


def format_findings(findings: Sequence[Finding]) -> str:
    """Return the findings as text, one line each."""
    return "\n".join(_format_finding(finding) for finding in findings)


def _format_finding(finding: Finding) -> str:
    position = f"{finding.line}:{finding.column}" if finding.line else ""
    parts = (finding.file, position, f" {finding.key}" if finding.key else "")
    start = ":".join(part for part in parts if part)
    return f"{start}: {finding.message}" if start else finding.message
