"""Gauges that read the state of a core."""

from collections.abc import Iterable

import psutil
from opentelemetry.metrics import Observation

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.metrics import InstanceMetrics

__all__ = ["add_core_gauges"]


def add_core_gauges(metrics: InstanceMetrics, driver: CoreDriver) -> None:
    """Add the gauges of configuration, peers, backend servers and the process."""
    core = driver.core
    process = psutil.Process()

    def config_version() -> Iterable[Observation]:
        cfg = core.configuration
        return [Observation(0 if cfg is None else cfg.version)]

    def peers() -> Iterable[Observation]:
        counts: dict[str, int] = {}
        for peer in core.peers.rows():
            counts[peer.state.value] = counts.get(peer.state.value, 0) + 1
        return [Observation(n, {"state": state}) for state, n in counts.items()]

    def in_flight() -> Iterable[Observation]:
        counts: dict[str, int] = {}
        for row in core.backends.rows.rows():
            counts[row.service] = counts.get(row.service, 0) + row.in_flight
        return [Observation(n, {"service": name}) for name, n in counts.items()]

    def cpu_time() -> Iterable[Observation]:
        times = process.cpu_times()
        return [Observation(times.user + times.system)]

    def memory() -> Iterable[Observation]:
        return [Observation(process.memory_info().rss)]

    metrics.add_gauge(
        "rhubarbwell.config.version", "1", "Version in force.", config_version
    )
    metrics.add_gauge("rhubarbwell.peers", "{instance}", "Known instances.", peers)
    metrics.add_gauge(
        "rhubarbwell.attempts.in_flight", "{attempt}", "Running attempts.", in_flight
    )
    metrics.add_gauge("process.cpu.time", "s", "Processor time used.", cpu_time)
    metrics.add_gauge("process.memory.usage", "By", "Resident memory.", memory)
