"""Determine from instances' logs why a request ended as it did."""

import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

__all__ = ["Explanation", "LogLine", "explain_request", "read_lines"]

# Events that change an instance's state or its view of the backend servers, the
# configuration or the store. Those before or during a request help to explain it.
CONTEXT_EVENTS = frozenset(
    {
        "account_key_ambiguous",
        "accounts_in_force",
        "backend_changed",
        "backend_expired",
        "backend_leaving",
        "backend_removed",
        "config_from_instance",
        "config_in_force",
        "history_lost",
        "instance_leaving",
        "instance_started",
        "lines_left_out",
        "reader_chosen",
        "reader_is_stale",
        "reader_passed_over",
        "store_era_changed",
        "store_era_refused",
        "store_lost",
        "store_regained",
        "zones_evacuated",
    }
)
# The line of a request's end may be missing: when the log's limits are reached, lines
# of answered requests are dropped first.
_NO_END_LOGGED = "no line of its end"
_KEY_REASONS = {
    "no_key": "the request had none",
    "several_keys": "the request had several",
    "unknown_key": "that of the request identifies none",
}
# Context events up to this long before the first line of a request are shown.
CONTEXT_WINDOW_S = 10.0


class LogLine(NamedTuple):
    """Represent a line of an instance's log.

    offset_s is the time in seconds since the earliest line that was read.
    """

    source: str
    offset_s: float
    fields: Mapping[str, Any]

    @property
    def event(self) -> str:
        """Return the event name, empty if the line has none."""
        return str(self.fields.get("event", ""))


class Explanation(NamedTuple):
    """Hold a request's log lines, the cause of its end and context lines.

    The context is log lines of CONTEXT_EVENTS shortly before or during the request.
    """

    request_id: str
    cause: str
    lines: Sequence[LogLine]
    context: Sequence[LogLine]


def read_lines(paths: Iterable[Path]) -> list[LogLine]:
    """Return the JSON lines of log files, ordered by timestamp.

    A line's source is the last word before its JSON, as log collectors write it, or
    the file's name without its suffix if nothing precedes the JSON. Lines without an
    event are skipped. Raises OSError.
    """
    entries: list[tuple[str, str, Mapping[str, Any]]] = []
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
                    entries.append((str(fields.get("timestamp", "")), source, fields))
    entries.sort(key=lambda row: row[0])
    return [
        LogLine(source, _offset_seconds(timestamp, entries[0][0]), fields)
        for timestamp, source, fields in entries
    ]


def explain_request(request_id: str, lines: Sequence[LogLine]) -> Explanation | None:
    """Return why a request ended as it did, None if no line has its id."""
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        return None
    context = _context_lines(request_lines, lines)
    return Explanation(
        request_id, _cause_text(request_lines, context), request_lines, context
    )


def _context_lines(
    request_lines: Sequence[LogLine], lines: Sequence[LogLine]
) -> list[LogLine]:
    sources = {line.source for line in request_lines}
    backend_ids = {line.fields.get("backend_id") for line in request_lines}
    start_s, end_s = (
        request_lines[0].offset_s - CONTEXT_WINDOW_S,
        request_lines[-1].offset_s,
    )
    return [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS
        and line.source in sources
        and start_s <= line.offset_s <= end_s
        and (
            not line.event.startswith("backend_")
            or line.fields.get("backend_id") in backend_ids
        )
    ]


_QUOTA_REASONS = ("over_quota", "quota_not_earning")


def _cause_text(request_lines: Sequence[LogLine], context: Sequence[LogLine]) -> str:
    refusals = [line for line in request_lines if line.event == "request_refused"]
    failures = [line for line in request_lines if line.event == "attempt_failed"]
    ends = [line for line in request_lines if line.event == "request_ended"]
    outcome = str(ends[-1].fields.get("outcome", "")) if ends else _NO_END_LOGGED
    parts = [_failure_text(line, context) for line in failures]
    # The end of a request over quota tells the reason if no line before it does.
    refusals = refusals or [
        line for line in ends if line.fields.get("reason") in _QUOTA_REASONS
    ]
    parts += [_refusal_text(line) for line in refusals]
    if not parts and ends:
        parts = [str(ends[-1].fields.get("message", ""))]
    if outcome == "answered" and not failures:
        return f"answered in {ends[-1].fields.get('latency_ms')} ms"
    return f"{outcome}: " + "; ".join(parts)


_OVERLOAD_TEXTS = {
    "too_late": "no answer before the deadline or the route's timeout",
    "backlog": "requests are refused until the backlog has drained",
    "fair_share": "the account has more than an equal share of an overloaded service",
}


def _refusal_text(line: LogLine) -> str:
    fields = line.fields
    if fields.get("reason") in _KEY_REASONS:
        return _key_refusal_text(fields)
    if fields.get("reason") == "over_quota":
        return (
            f"the account {fields.get('account')} had used what this instance could "
            f"give it of its quota; a retry was offered after "
            f"{fields.get('retry_after_ms')} ms"
        )
    if fields.get("reason") == "quota_not_earning":
        return (
            f"the instance did not earn its shares of the quotas, and got no token of "
            f"the account {fields.get('account')} from others; a retry was offered "
            f"after {fields.get('retry_after_ms')} ms"
        )
    if fields.get("reason") == "no_home_region":
        return "the route and the account have no home region in common"
    if fields.get("reason") == "no_room":
        return (
            f"no room at {fields.get('service')}: the best backend server had a load "
            f"of {fields.get('load')} and would have answered in "
            f"{fields.get('expected_ms')} ms, with {fields.get('remaining_ms')} ms left"
        )
    overload_text = _OVERLOAD_TEXTS.get(str(fields.get("reason")))
    if overload_text is not None:
        return (
            f"{overload_text} at {fields.get('service')}: expected "
            f"{fields.get('expected_ms')} ms, a wait of "
            f"{fields.get('queue_ms')} ms in it, "
            f"with {fields.get('remaining_ms')} ms left, account "
            f"{fields.get('account')}, admitted share {fields.get('admitted_share')}"
        )
    if fields.get("reason") == "body_bytes":
        return (
            f"the usable backend servers of {fields.get('service')} hold this "
            "instance's share of request body bytes"
        )
    if fields.get("reason") == "cold_start":
        return f"the usable backend servers of {fields.get('service')} are cold"
    if fields.get("reason") == "rate_limit":
        return (
            f"the usable backend servers of {fields.get('service')} have named limits "
            "on their requests per second, and this instance's share of them was used"
        )
    if fields.get("reason") == "paused":
        return (
            f"the usable backend servers of {fields.get('service')} have asked this "
            "instance for a pause"
        )
    return f"no backend server of {fields.get('service')} is listed"


def _key_refusal_text(fields: Mapping[str, Any]) -> str:
    """Return why a request has no account, without anything of its key."""
    text = (
        f"route {fields.get('route')} needs the key of an account, and "
        f"{_KEY_REASONS[str(fields.get('reason'))]} "
        f"(configuration {fields.get('config_version')})"
    )
    if fields.get("is_config_stale"):
        text += (
            f"; that copy of the configuration was {fields.get('config_age_ms')} ms "
            "old, so the key may have been new"
        )
    return text


def _failure_text(line: LogLine, context: Sequence[LogLine]) -> str:
    fields = line.fields
    backend_id = fields.get("backend_id")
    text = (
        f"attempt {fields.get('attempt')} at {backend_id} ended after "
        f"{fields.get('latency_ms')} ms as {fields.get('result')} "
        f"({fields.get('message')})"
    )
    states = [
        str(other.fields.get("state"))
        for other in context
        if other.fields.get("backend_id") == backend_id
        and other.offset_s <= line.offset_s
    ]
    if states and states[-1] in ("draining", "gone"):
        text += f"; the registry had reported that the server was {states[-1]}"
    return text


def _offset_seconds(timestamp: str, first: str) -> float:
    try:
        start = datetime.fromisoformat(first)
        return (datetime.fromisoformat(timestamp) - start).total_seconds()
    except ValueError:
        return 0.0
