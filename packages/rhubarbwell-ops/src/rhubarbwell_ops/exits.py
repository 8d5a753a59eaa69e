"""Exit codes and reports of the commands."""

import json
import sys
from collections.abc import Mapping
from enum import IntEnum
from typing import Any, NamedTuple, NoReturn

__all__ = ["ExitCode", "Report", "exit_with"]


class ExitCode(IntEnum):
    """Tell scripts what came of a command; 2 is a wrong use of the command."""

    DONE = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    NOT_DONE = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6


class Report(NamedTuple):
    """Hold what a command tells people and, as JSON, scripts."""

    exit_code: ExitCode
    text: str
    fields: Mapping[str, Any] = {}


_STDOUT_EXIT_CODES = (ExitCode.DONE, ExitCode.NOT_IN_FORCE)


def exit_with(report: Report, *, as_json: bool) -> NoReturn:
    """Print the report and end the process with its exit code."""
    text = report.text
    if as_json:
        text = json.dumps({"outcome": report.exit_code.name.lower(), **report.fields})
    to_stdout = as_json or report.exit_code in _STDOUT_EXIT_CODES
    if text:
        print(text, file=sys.stdout if to_stdout else sys.stderr)
    raise SystemExit(int(report.exit_code))
