"""OpenTelemetry metrics of an entry instance."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from rhubarbwell_core.adoption import ConfigurationAlarm
from rhubarbwell_core.burn import EndedRequest
from rhubarbwell_core.model import Identity, rank_name

__all__ = ["Gauge", "InstanceMetrics", "MeterRegistry"]

Gauge = Callable[[], Iterable[Observation]]
MS_PER_S = 1_000


class MeterRegistry:
    """Hold the meters of one entry instance, apart from other instances'."""

    def __init__(self, instance_id: str, zone: str, region: str) -> None:
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        resource = Resource.create(
            {
                "service.name": "rhubarbwell-entry",
                "service.instance.id": instance_id,
                "cloud.availability_zone": zone,
                "cloud.region": region,
            }
        )
        self._provider = MeterProvider([reader], resource=resource)
        self._meter = self._provider.get_meter("rhubarbwell")

    def add_gauge(self, name: str, unit: str, description: str, read: Gauge) -> None:
        """Read a gauge whenever the metrics are asked for."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return read()

        self._meter.create_observable_gauge(name, [observe], unit, description)

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Stop collecting."""
        self._provider.shutdown()


class InstanceMetrics(MeterRegistry):
    """Count what an entry instance does."""

    def __init__(self, identity: Identity) -> None:
        super().__init__(identity.instance_id, identity.zone, identity.region)
        meter = self._meter
        self._requests = meter.create_counter(
            "rhubarbwell.requests", "{request}", "Ended requests by outcome."
        )
        self._latency = meter.create_histogram(
            "rhubarbwell.request.duration",
            "s",
            "Time from a request's arrival to its end.",
        )
        self._look_ups = meter.create_counter(
            "rhubarbwell.look_ups", "{look_up}", "Answered look-ups."
        )
        self._alarms = meter.create_counter(
            "rhubarbwell.config.alarms", "{alarm}", "Alarms on the configuration."
        )

    def request_ended(self, ended: EndedRequest) -> None:
        """Count an ended request and its latency."""
        attributes = {
            "service": ended.key.service,
            "rank": rank_name(ended.key.rank),
            "outcome": ended.outcome.value,
            "reason": ended.reason.value,
        }
        self._requests.add(1, attributes)
        self._latency.record(
            ended.latency_ms / MS_PER_S,
            {"service": ended.key.service, "rank": rank_name(ended.key.rank)},
        )

    def look_up_answered(self, service: str) -> None:
        """Count an answered look-up."""
        self._look_ups.add(1, {"service": service})

    def config_alarm_met(self, alarm: ConfigurationAlarm) -> None:
        """Count an alarm on the configuration."""
        self._alarms.add(1, {"kind": alarm.kind.value})
