"""Exit codes and reports of the operators' commands."""

import json
import sys
from collections.abc import Mapping
from enum import IntEnum
from typing import Any, NamedTuple, NoReturn

__all__ = ["ExitCode", "Report", "exit_with"]


class ExitCode(IntEnum):
    """Define the exit codes of the commands; USAGE is an invalid command line."""

    DONE = 0
    FINDINGS = 1
    USAGE = 2
    CONFLICT = 3
    NOT_DONE = 4
    UNKNOWN = 5
    NOT_IN_FORCE = 6


class Report(NamedTuple):
    """Hold a command's exit code, its text output and its fields for JSON."""

    exit_code: ExitCode
    text: str
    fields: Mapping[str, Any] = {}


_STDOUT_EXIT_CODES = (ExitCode.DONE, ExitCode.NOT_IN_FORCE)


def exit_with(report: Report, *, as_json: bool) -> NoReturn:
    """Print the report as text or JSON and exit with its code.

    JSON, and text with the code DONE or NOT_IN_FORCE, goes to stdout, other text to
    stderr.
    """
    text = report.text
    if as_json:
        text = json.dumps({"outcome": report.exit_code.name.lower(), **report.fields})
    to_stdout = as_json or report.exit_code in _STDOUT_EXIT_CODES
    if text:
        print(text, file=sys.stdout if to_stdout else sys.stderr)
    raise SystemExit(int(report.exit_code))
