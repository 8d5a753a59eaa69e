"""OpenTelemetry metrics of direct forwarding."""

from rhubarbwell_core.direct import Route

__all__ = ["DirectMetrics"]


class DirectMetrics:
    """Count what an entry instance does."""

    def request_ended(
        self, route: Route, service: str, status: int, latency_ms: int
    ) -> None:
        """Count an ended request and its latency."""
