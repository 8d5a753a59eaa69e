"""Define the OpenTelemetry metrics of an entry instance."""

from rhubarbwell_core.adoption import ConfigurationAlarm
from rhubarbwell_core.burn import EndedRequest
from rhubarbwell_core.model import Identity, rank_name

from rhubarbwell_entry.meters import RequestMeters

__all__ = ["InstanceMetrics"]


class InstanceMetrics(RequestMeters):
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

    def record_config_alarm(self, alarm: ConfigurationAlarm) -> None:
        """Count a configuration alarm by kind."""
        self._alarms.add(1, {"kind": alarm.kind.value})
