"""Define gauges that read the state of an entry instance."""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

import psutil
from opentelemetry.metrics import Observation
from rhubarbwell_core import Core

from rhubarbwell_entry.driver import CoreDriver
from rhubarbwell_entry.metrics import InstanceMetrics
from rhubarbwell_entry.peers import PeerNode
from rhubarbwell_entry.reports import link_uses

__all__ = ["add_gauges"]

NEVER_ANSWERED_S = -1.0
MS_PER_S = 1_000


class _Gauge(NamedTuple):
    name: str
    unit: str
    description: str
    read: Callable[[Core, int], Iterable[Observation]]


def add_gauges(metrics: InstanceMetrics, driver: CoreDriver, peers: PeerNode) -> None:
    """Add gauges that read the core, the peer transport and the process.

    They are read each time the metrics are rendered.
    """
    for gauge in _CORE_GAUGES:
        metrics.add_gauge(
            gauge.name, gauge.unit, gauge.description, _gauge_callback(gauge, driver)
        )
    transport = peers.transport
    metrics.add_gauge(
        "rhubarbwell.control.io",
        "By",
        "Bytes of messages between entry instances.",
        lambda: [
            Observation(transport.sent_bytes, {"direction": "transmit"}),
            Observation(transport.received_bytes, {"direction": "receive"}),
        ],
    )
    process = psutil.Process()
    metrics.add_gauge(
        "process.cpu.time", "s", "Processor time used.", lambda: _cpu_time(process)
    )
    metrics.add_gauge(
        "process.memory.usage",
        "By",
        "Resident memory.",
        lambda: [Observation(process.memory_info().rss)],
    )


def _gauge_callback(
    gauge: _Gauge, driver: CoreDriver
) -> Callable[[], Iterable[Observation]]:
    return lambda: gauge.read(driver.core, driver.clock_ms())


def _cpu_time(process: psutil.Process) -> Iterable[Observation]:
    times = process.cpu_times()
    return [Observation(times.user + times.system)]


def _service_names(core: Core) -> list[str]:
    return [] if core.configuration is None else list(core.configuration.services)


def _config_version(core: Core, now_ms: int) -> Iterable[Observation]:
    return [Observation(core.adoption.in_force_version)]


def _config_behind(core: Core, now_ms: int) -> Iterable[Observation]:
    behind = core.adoption.position.version - core.adoption.in_force_version
    return [Observation(behind)]


def _store_silence(core: Core, now_ms: int) -> Iterable[Observation]:
    answered_ms = core.adoption.store_answered_ms
    if answered_ms is None:
        return [Observation(NEVER_ANSWERED_S)]
    return [Observation((now_ms - answered_ms) / MS_PER_S)]


def _peers_by_state(core: Core, now_ms: int) -> Iterable[Observation]:
    counts = Counter(peer.state.value for peer in core.peers.rows())
    return [Observation(n, {"state": state}) for state, n in counts.items()]


def _attempts_by_service(core: Core, now_ms: int) -> Iterable[Observation]:
    counts: Counter[str] = Counter()
    for row in core.backends.rows.rows():
        counts[row.service] += row.in_flight
    return [Observation(n, {"service": name}) for name, n in counts.items()]


def _draining_backends(core: Core, now_ms: int) -> Iterable[Observation]:
    return [Observation(sum(row.draining for row in core.backends.rows.rows()))]


def _usable_slots(core: Core, now_ms: int) -> Iterable[Observation]:
    return [
        Observation(core.backends.usable_slots(name), {"service": name})
        for name in _service_names(core)
    ]


def _concurrency_limits(core: Core, now_ms: int) -> Iterable[Observation]:
    return [
        Observation(core.admission.concurrency_limit(name), {"service": name})
        for name in _service_names(core)
    ]


def _region_weights(core: Core, now_ms: int) -> Iterable[Observation]:
    return [
        Observation(weight, {"service": name, "region": region})
        for name in _service_names(core)
        for region, weight in core.grants.borrowing.weights(name).items()
    ]


def _granted_slots(core: Core, now_ms: int) -> Iterable[Observation]:
    grantor = core.grants.lending.grantor
    return [
        Observation(grantor.reserved_slots(name, now_ms), {"service": name})
        for name in _service_names(core)
    ]


def _granted_link_rates(core: Core, now_ms: int) -> Iterable[Observation]:
    return [
        Observation(use.granted, {"region": use.other})
        for use in link_uses(core, now_ms)
    ]


def _grants_allowed(core: Core, now_ms: int) -> Iterable[Observation]:
    return [Observation(int(core.slots.may_grant(now_ms)))]


_CORE_GAUGES = (
    _Gauge("rhubarbwell.config.version", "1", "Version in force.", _config_version),
    _Gauge(
        "rhubarbwell.config.behind",
        "1",
        "Versions known of and not in force.",
        _config_behind,
    ),
    _Gauge(
        "rhubarbwell.store.silence",
        "s",
        "Time since the table service told the head, -1 for never.",
        _store_silence,
    ),
    _Gauge("rhubarbwell.peers", "{instance}", "Instances on offer.", _peers_by_state),
    _Gauge(
        "rhubarbwell.attempts", "{attempt}", "Running attempts.", _attempts_by_service
    ),
    _Gauge(
        "rhubarbwell.backends.draining", "{server}", "Draining.", _draining_backends
    ),
    _Gauge("rhubarbwell.slots", "{slot}", "Usable endpoint slots.", _usable_slots),
    _Gauge("rhubarbwell.limit", "{request}", "Concurrency limit.", _concurrency_limits),
    _Gauge("rhubarbwell.weight", "1", "Share of work by region.", _region_weights),
    _Gauge("rhubarbwell.granted.slots", "{slot}", "Slots lent out.", _granted_slots),
    _Gauge("rhubarbwell.granted.link", "By/s", "Link lent out.", _granted_link_rates),
    _Gauge(
        "rhubarbwell.slot.held", "1", "1 while grants are allowed.", _grants_allowed
    ),
)
