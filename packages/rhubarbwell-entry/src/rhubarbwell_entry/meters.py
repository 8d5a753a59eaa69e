"""Create OpenTelemetry meters and render them for Prometheus."""

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

__all__ = ["GaugeReader", "MeterRegistry", "RequestMeters"]

MS_PER_S = 1_000

GaugeReader = Callable[[], Iterable[Observation]]


class MeterRegistry:
    """Hold the meters of one entry instance in a registry of its own."""

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
        self._task_failures = self._meter.create_counter(
            "rhubarbwell.tasks.failed",
            "{failure}",
            "Background tasks that ended with an unexpected exception.",
        )

    def add_gauge(
        self, name: str, unit: str, description: str, read: GaugeReader
    ) -> None:
        """Add a gauge that is read each time the metrics are rendered."""

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return read()

        self._meter.create_observable_gauge(name, [observe], unit, description)

    def record_task_failure(self, task: str) -> None:
        """Count a background task that ended with an exception."""
        self._task_failures.add(1, {"task": task})

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def close(self) -> None:
        """Shut down the meter provider."""
        self._provider.shutdown()


class RequestMeters(MeterRegistry):
    """Count ended requests and record their latency."""

    def __init__(self, instance_id: str, zone: str, region: str) -> None:
        super().__init__(instance_id, zone, region)
        self._requests = self._meter.create_counter(
            "rhubarbwell.requests", "{request}", "Ended requests by outcome."
        )
        self._latency = self._meter.create_histogram(
            "rhubarbwell.request.duration",
            "s",
            "Time from a request's arrival to its end.",
        )

    def _record_outcome_and_latency(
        self,
        series: Mapping[str, str],
        outcome: Mapping[str, str | int],
        latency_ms: float,
    ) -> None:
        """Count a request by series and outcome; record its latency by series."""
        self._requests.add(1, {**series, **outcome})
        self._latency.record(latency_ms / MS_PER_S, dict(series))
