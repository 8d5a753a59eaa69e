"""From the logs of instances to the cause of one request's end."""

import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

__all__ = ["Explanation", "LogLine", "explain_request", "read_lines"]

# Events that change what an instance believes; those before a request explain it.
BELIEF_EVENTS = frozenset(
    {
        "backend_changed",
        "backend_removed",
        "config_in_force",
        "history_lost",
        "instance_leaving",
        "instance_started",
        "lines_left_out",
        "reader_chosen",
        "reader_passed_over",
        "store_lost",
        "store_regained",
        "zones_evacuated",
    }
)
# Lines of answered requests are the first to be left out.
_MISSING_END = "no line of its end"
# A change of a server's state this long before an attempt is told with it.
CONTEXT_S = 10.0


class LogLine(NamedTuple):
    """Hold a line of an instance's log; at_s counts from the first line read."""

    source: str
    at_s: float
    fields: Mapping[str, Any]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return str(self.fields.get("event", ""))


class Explanation(NamedTuple):
    """Hold a request's lines in order, what bore on them, and the cause."""

    request_id: str
    cause: str
    lines: Sequence[LogLine]
    context: Sequence[LogLine]


def read_lines(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of logs in order of time; raise OSError.

    Text before the JSON of a line, such as a collector's prefix, is its source.
    """
    found: list[tuple[str, str, Mapping[str, Any]]] = []
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                prefix, brace, rest = text.partition("{")
                try:
                    fields = json.loads(brace + rest)
                except ValueError:
                    continue
                if isinstance(fields, dict) and "event" in fields:
                    source = prefix.split()[-1] if prefix.strip() else path.stem
                    found.append((str(fields.get("timestamp", "")), source, fields))
    found.sort(key=lambda row: row[0])
    return [LogLine(s, _seconds(t, found[0][0]), f) for t, s, f in found]


def explain_request(request_id: str, lines: Sequence[LogLine]) -> Explanation | None:
    """Return why a request ended as it did, None where no line names it."""
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    if not own:
        return None
    context = _context(own, lines)
    return Explanation(request_id, _cause(own, context), own, context)


def _context(own: Sequence[LogLine], lines: Sequence[LogLine]) -> list[LogLine]:
    sources = {line.source for line in own}
    servers = {line.fields.get("backend_id") for line in own}
    start_s, end_s = own[0].at_s - CONTEXT_S, own[-1].at_s
    return [
        line
        for line in lines
        if line.event in BELIEF_EVENTS
        and line.source in sources
        and start_s <= line.at_s <= end_s
        and (
            not line.event.startswith("backend_")
            or line.fields.get("backend_id") in servers
        )
    ]


def _cause(own: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    refusals = [line for line in own if line.event == "request_refused"]
    failures = [line for line in own if line.event == "attempt_failed"]
    ends = [line for line in own if line.event == "request_ended"]
    outcome = str(ends[-1].fields.get("outcome", "")) if ends else _MISSING_END
    parts = [_failure(line, context) for line in failures]
    parts += [_refusal(line) for line in refusals]
    if not parts and ends:
        parts = [str(ends[-1].fields.get("message", ""))]
    if outcome == "answered" and not failures:
        return f"answered in {ends[-1].fields.get('latency_ms')} ms"
    return f"{outcome}: " + "; ".join(parts)


def _refusal(line: LogLine) -> str:
    fields = line.fields
    if fields.get("reason") == "no_room":
        return (
            f"no room at {fields.get('service')}: the best backend server had a load "
            f"of {fields.get('load')} and would have answered in "
            f"{fields.get('expected_ms')} ms, with {fields.get('remaining_ms')} ms left"
        )
    if fields.get("reason") == "cold_start":
        return f"the usable backend servers of {fields.get('service')} are cold"
    return f"no backend server of {fields.get('service')} is listed"


def _failure(line: LogLine, context: Sequence[LogLine]) -> str:
    fields = line.fields
    server = fields.get("backend_id")
    text = (
        f"attempt {fields.get('attempt')} at {server} ended after "
        f"{fields.get('latency_ms')} ms as {fields.get('result')} "
        f"({fields.get('message')})"
    )
    states = [
        str(other.fields.get("state"))
        for other in context
        if other.fields.get("backend_id") == server and other.at_s <= line.at_s
    ]
    if states and states[-1] in ("draining", "gone"):
        text += f"; the registry had told that the server was {states[-1]}"
    return text


def _seconds(timestamp: str, first: str) -> float:
    try:
        start = datetime.fromisoformat(first)
        return (datetime.fromisoformat(timestamp) - start).total_seconds()
    except ValueError:
        return 0.0
