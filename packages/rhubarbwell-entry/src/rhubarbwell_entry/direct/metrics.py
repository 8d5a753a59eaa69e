"""OpenTelemetry metrics of direct forwarding."""

from collections.abc import Iterator

from opentelemetry.metrics import CallbackOptions, Observation
from rhubarbwell_core.direct import (
    ActiveRequest,
    AttemptResult,
    Refusal,
    Target,
    Verdict,
)

from rhubarbwell_entry.direct.account_counts import AccountCounts
from rhubarbwell_entry.direct.settings import DirectSettings
from rhubarbwell_entry.meters import MS_PER_S, RequestMeters

__all__ = ["DirectMetrics"]


class DirectMetrics(RequestMeters):
    """Count requests by route and outcome, attempts by service and result.

    The number of time series is bounded by the configured routes and services, and by
    the accounts that are counted by name.
    """

    def __init__(self, settings: DirectSettings) -> None:
        super().__init__(settings.instance_id, settings.zone, settings.region)
        meter = self._meter
        self._look_ups = meter.create_counter(
            "rhubarbwell.look_ups", "{look_up}", "Answered look-ups."
        )
        self._attempts = meter.create_counter(
            "rhubarbwell.attempts",
            "{attempt}",
            "Attempts at backend servers by how they ended.",
        )
        self._attempt_latency = meter.create_histogram(
            "rhubarbwell.attempt.duration", "s", "Time from an attempt to its end."
        )
        self._quota_requests = meter.create_counter(
            "rhubarbwell.quota.requests",
            "{request}",
            "Requests of accounts with a quota: admitted, over quota, or refunded.",
        )
        self._credits = meter.create_counter(
            "rhubarbwell.credits.queries",
            "{query}",
            "Queries for tokens to other instances by how they ended.",
        )
        self._decisions = meter.create_counter(
            "rhubarbwell.decisions",
            "{query}",
            "Queries where a request would go, by how they were answered.",
        )
        self._refusals = meter.create_counter(
            "rhubarbwell.refusals",
            "{request}",
            "Requests for which no backend server was chosen, by rule.",
        )
        self._restored = meter.create_counter(
            "rhubarbwell.store.restored",
            "{era}",
            "Times that the metadata store came back from a copy.",
        )

        self.accounts = AccountCounts()
        meter.create_observable_counter(
            "rhubarbwell.account.requests",
            [self._observe_accounts],
            "{request}",
            "Requests of the largest client accounts, and of the others together.",
        )
        self._unknown_keys = meter.create_counter(
            "rhubarbwell.account.unknown",
            "{request}",
            "Requests that were refused because they had no key of an account.",
        )
        self._early_starts = meter.create_counter(
            "rhubarbwell.pipelined.started_early",
            "{request}",
            "Requests that started before others of their connection were answered.",
        )
        self._line_limits = meter.create_counter(
            "rhubarbwell.pipelined.limited",
            "{connection}",
            "Connections that had as many started requests as one may have.",
        )

    def record_unknown_key(self, reason: str, status: int) -> None:
        """Count a request without the key of an account."""
        self._unknown_keys.add(1, {"reason": reason, "status": status})

    def _observe_accounts(self, _: CallbackOptions) -> Iterator[Observation]:
        for account, result, requests in self.accounts.series():
            yield Observation(requests, {"account": account, "result": result})

    def record_early_start(self) -> None:
        """Count a request that started before those ahead of it were answered."""
        self._early_starts.add(1)

    def record_line_limit(self) -> None:
        """Count a connection that reached the limit of started requests."""
        self._line_limits.add(1)

    def record_quota(self, account: str, result: str) -> None:
        """Count how a request of an account, or of a group of them, met its quota."""
        self._quota_requests.add(1, {"account": account, "result": result})

    def record_credits(self, result: str) -> None:
        """Count an ended query for tokens to another instance."""
        self._credits.add(1, {"result": result})

    def record_decision(self, result: str) -> None:
        """Count a query where a request would go."""
        self._decisions.add(1, {"result": result})

    def record_store_restored(self) -> None:
        """Count a new era of the metadata store."""
        self._restored.add(1)

    def record_request(
        self, req: ActiveRequest, status: int, outcome: str, latency_ms: int
    ) -> None:
        """Count an ended request and record its latency in ms."""
        route = req.route
        self._record_outcome_and_latency(
            {"route": route.name, "kind": route.kind.value},
            {"status": status, "outcome": outcome},
            latency_ms,
        )

    def record_refusal(self, req: ActiveRequest, refusal: Refusal) -> None:
        """Count a request for which no backend server was chosen, by the reason."""
        self._refusals.add(
            1,
            {
                "service": req.service,
                "route": req.route.name,
                "reason": refusal.reason.value,
            },
        )

    def record_look_up(self, offered: int) -> None:
        """Count a look-up as answered if at least one instance was offered."""
        self._look_ups.add(1, {"outcome": "answered" if offered else "refused"})

    def record_attempt(
        self, target: Target, result: AttemptResult, verdict: Verdict, latency_ms: int
    ) -> None:
        """Count an ended attempt and record its latency in ms."""
        self._attempts.add(
            1,
            {
                "service": target.service,
                "zone": target.zone,
                "result": result.value,
                "verdict": verdict.value,
            },
        )
        self._attempt_latency.record(
            latency_ms / MS_PER_S, {"service": target.service, "zone": target.zone}
        )
