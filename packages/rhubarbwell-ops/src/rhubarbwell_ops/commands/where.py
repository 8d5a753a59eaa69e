"""Command that explains where a request would go now, and why."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

import aiohttp
from rhubarbwell_core.errors import DECODING_ERRORS
from tabulate import tabulate
from yarl import URL

from rhubarbwell_ops.exits import ExitCode, Report

__all__ = ["WhereQuery", "where"]

DECISIONS_PATH = "/decisions"
TIMEOUT_S = 2.0
# Columns of the table of servers: title, and the field of the answer.
COLUMNS = {
    "server": "backend_id",
    "region": "region",
    "zone": "zone",
    "pos": "position",
    "load": "load",
    "age": "load_age_ms",
    "limit": "limit",
    "network": "network_ms",
    "wait": "queue_ms",
    "work": "processing_ms",
    "slow": "slowness",
    "pace": "pace",
    "expected": "expected_ms",
    "cost": "cost_ms",
}


class WhereQuery(NamedTuple):
    """Describe the request that is asked about; None leaves a value to the instance."""

    method: str
    url: str
    object_key: str = ""
    account: str = ""
    deadline_ms: int | None = None
    body_bytes: int | None = None
    choices: int | None = None

    def fields(self) -> dict[str, Any]:
        """Return the fields of the query to an instance; raise ValueError.

        The URL's authority is taken as the request's Host header.
        """
        url = URL(self.url)
        if url.scheme not in ("http", "https") or not url.host:
            raise ValueError(f"invalid URL {self.url!r}, expected http://host/path")
        numbers = {
            "deadline_ms": self.deadline_ms,
            "body_bytes": self.body_bytes,
            "choices": self.choices,
        }
        return {
            "method": self.method,
            "host": url.host_port_subcomponent,
            "target": url.raw_path_qs,
            "object_key": self.object_key,
            "account": self.account,
            **{name: value for name, value in numbers.items() if value is not None},
        }


async def where(query: WhereQuery, instance: str) -> Report:
    """Return the report on where the request would go from an instance at host:port."""
    try:
        fields = query.fields()
    except ValueError as exc:
        return Report(ExitCode.USAGE, str(exc))
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(f"http://{instance}{DECISIONS_PATH}", json=fields) as resp,
        ):
            if resp.status != HTTPStatus.OK:
                return _failure_report(instance, resp.status, await resp.text())
            answer = await resp.json()
    except TimeoutError:
        return _not_done(f"{instance} is unreachable: no answer in {TIMEOUT_S:g} s")
    except aiohttp.InvalidURL:
        text = f"invalid address {instance!r}, expected host:port"
        return Report(ExitCode.USAGE, text)
    except (aiohttp.ClientConnectionError, OSError) as exc:
        return _not_done(f"{instance} is unreachable: {exc}")
    except (aiohttp.ClientError, *DECODING_ERRORS) as exc:
        return _not_done(f"{instance} gave no valid answer: {exc}")
    try:
        is_sent = answer["outcome"]["is_sent"]
        text = _format(answer)
    except DECODING_ERRORS as exc:
        return _not_done(f"{instance} gave no valid answer: {exc!r}")
    exit_code = ExitCode.DONE if is_sent else ExitCode.FINDINGS
    return Report(exit_code, text, {"decision": answer})


def _failure_report(instance: str, status: int, text: str) -> Report:
    if status == HTTPStatus.BAD_REQUEST:
        return Report(ExitCode.USAGE, text, {"reason": text})
    reasons: dict[int, str] = {
        HTTPStatus.NOT_FOUND: "cannot explain decisions: it runs an earlier build, "
        "or the address is not its control address",
        HTTPStatus.SERVICE_UNAVAILABLE: "has no configuration yet",
        HTTPStatus.TOO_MANY_REQUESTS: "is asked too often: try again in a second",
    }
    reason = reasons.get(status, f"answered {status}: {text}")
    return _not_done(f"{instance} {reason}")


def _not_done(reason: str) -> Report:
    return Report(ExitCode.NOT_DONE, reason, {"reason": reason})


def _format(answer: Mapping[str, Any]) -> str:
    """Return an answer as text; times are in ms."""
    asked, instance = answer["request"], answer["instance"]
    lines = [
        f"{asked['method']} {asked['host']}{asked['target']} at {instance['id']} "
        f"(zone {instance['zone']}, region {instance['region']}, "
        f"configuration {instance['config_version']})"
    ]
    if "route" in answer:
        lines += _route_lines(answer)
    if "service" in answer:
        lines += _choice_lines(answer)
    return "\n".join([*lines, "", _outcome_line(answer["outcome"])])


def _route_lines(answer: Mapping[str, Any]) -> list[str]:
    route = answer["route"]
    parts = ", ".join(
        f"{part['service']} {part['weight']:g}" for part in route["parts"]
    )
    lines = [
        f"route {route['name']}: {route['kind']}, priority {route['priority']}, "
        f"objective {route['objective_ms']} ms, timeout {route['timeout_ms']} ms, "
        f"services {parts}, home regions {_regions(route['home_regions'] or None)}"
    ]
    account = answer.get("account")
    if account is None:
        return lines
    priority = account["priority"]
    text = f"account {account['name']}: "
    text += "priority of the route" if priority is None else f"priority {priority}"
    text += f", home regions {_regions(account['home_regions'])}"
    if account["tokens"] is not None:
        text += f", {account['tokens']:g} tokens"
    if account["max_wait_ms"]:
        text += f", waits up to {account['max_wait_ms']} ms for one of another instance"
    if account["has_ambiguous_key"]:
        text += ", has a key in common with another account, which is refused"
    return [*lines, text]


def _choice_lines(answer: Mapping[str, Any]) -> list[str]:
    shown, total = answer["candidates"], answer["candidate_count"]
    lines = [
        f"service {answer['service']}, priority {answer['priority']}, "
        f"object {answer['object_key']!r}, "
        f"assigned region {answer['assigned_region'] or 'none'}",
        "",
        f"candidates: {len(shown)} of {total}, the least cost first, times in ms",
    ]
    if shown:
        rows = [[server[field] for field in COLUMNS.values()] for server in shown]
        lines.append(tabulate(rows, headers=list(COLUMNS), missingval="-"))
    counts = answer["excluded_counts"]
    text = ", ".join(f"{count} {reason}" for reason, count in counts.items())
    lines += ["", f"excluded: {text or 'none'}"]
    lines += [
        f"  {server['backend_id']} ({server['zone']}): {server['reason']}"
        for server in answer["excluded"]
    ]
    return lines


def _outcome_line(outcome: Mapping[str, Any]) -> str:
    if outcome["is_sent"]:
        return (
            f"sent to {outcome['backend_id']} at {outcome['address']} in "
            f"{outcome['zone']}, answer expected after {outcome['expected_ms']} ms"
        )
    text = f"refused with {outcome['status']}: {outcome['reason']}"
    if outcome["retry_after_ms"] is not None:
        text += f", Retry-After {outcome['retry_after_ms'] / 1_000:.3f} s"
    if outcome.get("expected_ms"):
        text += (
            f"; the best server has a load of {outcome['load']} and would answer "
            f"after {outcome['expected_ms']} ms"
        )
    return text


def _regions(names: list[str] | None) -> str:
    """Return the names of home regions; None is no restriction, [] no region."""
    if names is None:
        return "any"
    return ", ".join(names) or "none"
