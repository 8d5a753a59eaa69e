"""Define the OpenTelemetry metrics of an entry instance."""

from collections.abc import Iterator

from opentelemetry.metrics import CallbackOptions, Observation
from rhubarbwell_core.adoption import ConfigurationAlarm
from rhubarbwell_core.burn import EndedRequest
from rhubarbwell_core.model import Identity, Outcome, rank_name

from rhubarbwell_entry.direct.account_counts import AccountCounts
from rhubarbwell_entry.meters import RequestMeters
from rhubarbwell_entry.proxy.accounts import AccountObserver

__all__ = ["InstanceMetrics"]


class InstanceMetrics(RequestMeters, AccountObserver):
    """Count requests, look-ups and configuration alarms of an entry instance."""

    def __init__(self, identity: Identity) -> None:
        super().__init__(identity.instance_id, identity.zone, identity.region)
        meter = self._meter
        self._look_ups = meter.create_counter(
            "rhubarbwell.look_ups", "{look_up}", "Answered look-ups."
        )
        self._alarms = meter.create_counter(
            "rhubarbwell.config.alarms", "{alarm}", "Alarms on the configuration."
        )
        self._accounts = AccountCounts()
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

    def record_request(self, ended: EndedRequest) -> None:
        """Count an ended request and record its latency."""
        self._record_outcome_and_latency(
            {"service": ended.key.service, "rank": rank_name(ended.key.rank)},
            {"outcome": ended.outcome.value, "reason": ended.reason.value},
            ended.latency_ms,
        )

    def record_look_up(self, service: str) -> None:
        """Count an answered look-up."""
        self._look_ups.add(1, {"service": service})

    def record_account_request(self, account: str, outcome: Outcome) -> None:
        """Count an ended request of an account."""
        self._accounts.add(account, outcome.value)

    def record_unknown_key(self, reason: str, status: int) -> None:
        """Count a request without the key of an account."""
        self._unknown_keys.add(1, {"reason": reason, "status": status})

    def _observe_accounts(self, _: CallbackOptions) -> Iterator[Observation]:
        for account, result, requests in self._accounts.series():
            yield Observation(requests, {"account": account, "result": result})

    def record_config_alarm(self, alarm: ConfigurationAlarm) -> None:
        """Count a configuration alarm by kind."""
        self._alarms.add(1, {"kind": alarm.kind.value})
