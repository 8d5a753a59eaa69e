"""Command that explains why a request ended as it did."""

from collections.abc import Sequence
from pathlib import Path

from rhubarbwell_ops.exits import ExitCode, Report
from rhubarbwell_ops.explanations import LogLine, explain_request, read_lines

__all__ = ["explain"]

_HIDDEN_FIELDS = frozenset({"event", "level", "message", "request_id", "timestamp"})


def explain(request_id: str, paths: Sequence[str]) -> Report:
    """Return a report with a request's log lines and the cause of its end."""
    if not paths:
        return Report(ExitCode.USAGE, "no log files are given")
    try:
        lines = read_lines([Path(path) for path in paths])
    except OSError as exc:
        return Report(ExitCode.NOT_DONE, f"cannot read the logs: {exc}")
    explanation = explain_request(request_id, lines)
    if explanation is None:
        text = f"none of {len(lines)} log lines belongs to request {request_id}"
        return Report(ExitCode.FINDINGS, text, {"lines_read": len(lines)})
    shown_lines = sorted(
        [*explanation.context, *explanation.lines], key=lambda line: line.offset_s
    )
    text = "\n".join(
        [*map(_format_line, shown_lines), "", f"cause: {explanation.cause}"]
    )
    fields = {
        "request_id": request_id,
        "cause": explanation.cause,
        "lines": [{"source": line.source, **line.fields} for line in shown_lines],
    }
    return Report(ExitCode.DONE, text, fields)


def _format_line(line: LogLine) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in _HIDDEN_FIELDS
    )
    message = line.fields.get("message", "")
    return f"{line.offset_s:10.3f} {line.source} {line.event}: {message} [{fields}]"
