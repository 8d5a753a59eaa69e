"""Answers to queries where a request would go now, and why."""

import json
import logging
from collections import Counter
from collections.abc import Callable, Set
from http import HTTPStatus
from itertools import islice
from typing import Any, NamedTuple

from aiohttp import hdrs, web
from rhubarbwell_core.direct import (
    ChoiceExplanation,
    ClientAccount,
    Exclusion,
    LoadBalancer,
    Refusal,
    Route,
    SlidingWindowCounter,
    WeighedServer,
    explain_choice,
)
from rhubarbwell_core.errors import DECODING_ERRORS
from rhubarbwell_core.model import host_port
from rhubarbwell_platform.http import SocketTimeout

from rhubarbwell_entry.direct.accounts import AccountCheck, UnknownKey
from rhubarbwell_entry.direct.credits import QuotaGate, QuotaPreview
from rhubarbwell_entry.direct.forwarding import (
    RequestOutcome,
    RequestResult,
    refusal_result,
    unknown_key_result,
)
from rhubarbwell_entry.direct.handler import (
    DEFAULT_DEADLINE_MS,
    DirectHandler,
)
from rhubarbwell_entry.direct.metrics import DirectMetrics
from rhubarbwell_entry.logs import log_event

__all__ = ["DECISIONS_PATH", "DecisionHandler", "DecisionQuery"]

_log = logging.getLogger(__name__)

DECISIONS_PATH = "/decisions"
MAX_QUERY_BYTES = 64 << 10
# A caller of the control address that sends its query slowly.
QUERY_TIMEOUT_S = 2.0
# A query takes up to 20 ms of the event loop where a service has 1,000 servers and 300
# accounts have quotas at 60 instances.
MAX_QUERIES_PER_S = 4
DEFAULT_CHOICES = 10
MAX_CHOICES = 1_000
# Above any deadline and body, and exact in JSON.
MAX_NUMBER = 1 << 53
MS_PER_S = 1_000


class DecisionQuery(NamedTuple):
    """Describe the request that is asked about.

    host and target are those of the request line and header, object_key names the
    object and account the client account; both may be empty. deadline_ms is the time
    left to the caller. choices is the number of servers listed of each kind.
    """

    method: str
    host: str
    target: str
    object_key: str = ""
    account: str = ""
    deadline_ms: int = DEFAULT_DEADLINE_MS
    body_bytes: int = 0
    choices: int = DEFAULT_CHOICES

    @classmethod
    def decode(cls, fields: Any) -> "DecisionQuery":
        """Return the query of a JSON object; raise one of DECODING_ERRORS."""
        if not isinstance(fields, dict):
            raise ValueError("not an object")
        unknown = fields.keys() - set(cls._fields)
        if unknown:
            raise ValueError(f"unknown fields: {', '.join(sorted(unknown))}")
        needed: dict[str, Any] = {"method": "", "host": "", "target": ""}
        query = cls(**needed | fields)
        for name, value in query._asdict().items():
            if cls.__annotations__[name] is int:
                limit = MAX_CHOICES if name == "choices" else MAX_NUMBER
                if type(value) is not int or not 0 <= value <= limit:
                    raise ValueError(f"{name} must be an integer from 0 to {limit}")
            elif not isinstance(value, str):
                raise ValueError(f"{name} must be a string")
            else:
                # Raises ValueError for half of a pair of surrogates.
                value.encode()
        if not (query.method and query.host and query.target.startswith("/")):
            raise ValueError("method, host and a target that starts with / are needed")
        return query


class DecisionHandler:
    """Answer where a request would go now, in the order in which requests are decided.

    A query changes nothing that a request would find, and is answered within one
    iteration of the event loop. Of a request's checks, it leaves out those of its id
    and of the memory for its body.
    """

    def __init__(
        self,
        instance_id: str,
        balancer: LoadBalancer,
        accounts: AccountCheck,
        quotas: QuotaGate,
        handler: DirectHandler,
        metrics: DirectMetrics,
        clock_ms: Callable[[], int],
    ) -> None:
        self._instance_id = instance_id
        self._balancer = balancer
        self._accounts = accounts
        self._quotas = quotas
        self._handler = handler
        self._metrics = metrics
        self._clock_ms = clock_ms
        self._answered = SlidingWindowCounter(MS_PER_S)

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Return the response to a query."""
        if request.method != "POST":
            return web.Response(status=HTTPStatus.METHOD_NOT_ALLOWED)
        length = request.content_length
        if length is None or length > MAX_QUERY_BYTES:
            self._metrics.record_decision("malformed")
            return web.Response(status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        try:
            async with SocketTimeout(QUERY_TIMEOUT_S):
                body = await request.read()
            query = DecisionQuery.decode(json.loads(body))
        except TimeoutError:
            self._metrics.record_decision("malformed")
            return web.Response(status=HTTPStatus.REQUEST_TIMEOUT)
        except DECODING_ERRORS as exc:
            self._metrics.record_decision("malformed")
            text = f"invalid query: {exc}"
            return web.Response(status=HTTPStatus.BAD_REQUEST, text=text)
        now_ms = self._clock_ms()
        if self._answered.value(now_ms) >= MAX_QUERIES_PER_S:
            self._metrics.record_decision("limited")
            return web.Response(
                status=HTTPStatus.TOO_MANY_REQUESTS,
                text=f"at most {MAX_QUERIES_PER_S} queries per second are answered",
                headers={hdrs.RETRY_AFTER: "1"},
            )
        self._answered.add(now_ms)
        if self._balancer.routes is None:
            self._metrics.record_decision("no_configuration")
            return web.Response(
                status=HTTPStatus.SERVICE_UNAVAILABLE, text="no configuration yet"
            )
        fields = self.explain(query)
        self._metrics.record_decision("explained")
        log_event(
            _log,
            logging.INFO,
            "decision_explained",
            "an operator asked where a request would go",
            host=query.host,
            route=fields.get("route", {}).get("name"),
            is_sent=fields["outcome"]["is_sent"],
            backend_id=fields["outcome"].get("backend_id"),
            reason=fields["outcome"].get("reason"),
        )
        return web.json_response(fields)

    def explain(self, query: DecisionQuery) -> dict[str, Any]:
        """Return the answer to a query; the instance needs a configuration."""
        balancer, now_ms = self._balancer, self._clock_ms()
        assert balancer.routes is not None and balancer.config is not None
        fields: dict[str, Any] = {
            "instance": {
                "id": self._instance_id,
                "zone": balancer.zone,
                "region": balancer.region,
                "config_version": balancer.config.version,
                "registry_generation": balancer.backends.generation,
            },
            "request": query._asdict(),
        }
        route = balancer.routes.find(query.host, query.target)
        if route is None:
            no_route = RequestResult(RequestOutcome.REJECTED, 404, "no route")
            return fields | {"outcome": _refused_fields(no_route)}
        fields["route"] = _route_fields(route)
        account = self._accounts.preview(query.account, route)
        if isinstance(account, UnknownKey):
            return fields | {"outcome": _refused_fields(unknown_key_result(account))}
        expires_ms = route.expires_ms(now_ms, now_ms + query.deadline_ms)
        quota = self._quotas.preview(account, route.objective_ms, expires_ms - now_ms)
        table = balancer.accounts
        ambiguous = frozenset() if table is None else table.ambiguous_names
        fields["account"] = _account_fields(account, quota, ambiguous)
        result = self._handler.result_before_choice(
            expires_ms, query.body_bytes, account, quota
        )
        if result is not None:
            return fields | {"outcome": _refused_fields(result)}
        explained = explain_choice(
            balancer,
            route,
            query.object_key,
            now_ms + query.deadline_ms,
            now_ms,
            body_bytes=query.body_bytes,
            account=account,
        )
        return fields | self._choice_fields(explained, query.choices)

    def _choice_fields(
        self, explained: ChoiceExplanation, choices: int
    ) -> dict[str, Any]:
        req, choice = explained.req, explained.choice
        homes = req.home_regions
        reasons = Counter(reason.value for reason in explained.excluded.values())
        if isinstance(choice, Refusal):
            outcome = _refused_fields(refusal_result(choice)) | {
                "load": round(choice.load, 2),
                "expected_ms": round(choice.expected_ms, 1),
                "queue_ms": round(choice.queue_ms, 1),
                "admitted_share": round(choice.admitted_share, 3),
            }
        else:
            outcome = {
                "is_sent": True,
                "backend_id": choice.backend_id,
                "address": host_port(choice.address),
                "region": self._balancer.backends.rows[choice.backend_id].region,
                "zone": choice.zone,
                "expected_ms": round(choice.expected_ms, 1),
            }
        return {
            "service": req.service,
            "priority": req.priority,
            "object_key": req.object_key,
            "home_regions": None if homes is None else sorted(homes),
            "assigned_region": explained.assigned_region,
            "candidate_count": len(explained.weighed),
            "candidates": [
                self._server_fields(server)
                for server in islice(explained.weighed, choices)
            ],
            "excluded_counts": dict(sorted(reasons.items())),
            "excluded": self._excluded_fields(explained, choices),
            "outcome": outcome,
        }

    def _server_fields(self, server: WeighedServer) -> dict[str, Any]:
        target = server.target
        entry = self._balancer.backends.rows[target.backend_id].entry
        times_ms = {
            "network_ms": server.network_ms,
            "queue_ms": target.queue_ms,
            "processing_ms": target.processing_ms,
            "stalled_ms": server.stalled_ms,
            "server_ms": server.server_ms,
            "expected_ms": target.expected_ms,
            "failure_ms": server.failure_ms,
            "region_ms": server.region_ms,
            "link_ms": server.link_ms,
            "noise_ms": server.noise_ms,
            "cost_ms": server.cost_ms,
        }
        return {
            "backend_id": target.backend_id,
            "address": host_port(target.address),
            "region": server.region,
            "zone": target.zone,
            "position": target.position,
            "load": round(target.load, 2),
            "load_age_ms": target.load_age_ms,
            "limit": round(server.limit, 2),
            "slots": entry.slots,
            "is_cold": target.is_cold,
            "holds_object": target.holds_object,
            "hit_ratio": round(server.hit_ratio, 3),
            "slowness": round(server.slowness, 3),
            "pace": round(server.pace, 3),
            **{name: round(value, 1) for name, value in times_ms.items()},
        }

    def _excluded_fields(
        self, explained: ChoiceExplanation, choices: int
    ) -> list[dict[str, Any]]:
        """Return the excluded servers, those behind enough others last."""
        rows = self._balancer.backends.rows
        ordered = sorted(
            explained.excluded.items(),
            key=lambda item: (item[1] is Exclusion.AFFINITY, item[0]),
        )
        return [
            {
                "backend_id": backend_id,
                "region": rows[backend_id].region,
                "zone": rows[backend_id].entry.zone,
                "reason": reason.value,
            }
            for backend_id, reason in islice(ordered, choices)
        ]


def _route_fields(route: Route) -> dict[str, Any]:
    return {
        "name": route.name,
        "kind": route.kind.value,
        "priority": route.priority,
        "objective_ms": route.objective_ms,
        "timeout_ms": route.timeout_ms,
        "is_public": route.is_public,
        "home_regions": sorted(route.home_regions),
        "parts": [part._asdict() for part in route.parts],
    }


def _account_fields(
    account: ClientAccount | None, quota: QuotaPreview | None, ambiguous: Set[str]
) -> dict[str, Any] | None:
    """Return what operators configured of an account, without the digests of keys.

    ambiguous has the names of the accounts with a key that identifies none of them.
    """
    if account is None:
        return None
    homes = account.home_regions
    return {
        "name": account.name,
        "priority": account.priority,
        "home_regions": None if homes is None else sorted(homes),
        "tokens": None if quota is None else round(quota.tokens, 3),
        "has_ambiguous_key": account.name in ambiguous,
        "max_wait_ms": None if quota is None else round(quota.max_wait_ms),
    }


def _refused_fields(result: RequestResult) -> dict[str, Any]:
    return {
        "is_sent": False,
        "status": result.status,
        "reason": result.reason,
        "retry_after_ms": result.retry_after_ms,
    }
