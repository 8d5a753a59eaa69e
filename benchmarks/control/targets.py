"""Compute the cost of control at the target size from fitted lines."""

from collections.abc import Sequence

from benchmarks.control.fits import Line

__all__ = ["deliveries_per_s", "target_rows"]

NODES = 2_900
ZONES = 100
NODES_PER_ZONE = 29
CHANGES_PER_S = 8_600 / 86_400
RESTARTS_PER_S = 810 / 86_400
NEWS_PER_RESTART = 4
SENDS_PER_NEWS = 8
TCP_IP_BYTES_PER_DELIVERY = 4 * 40  # four packets with 40-byte TCP/IP headers
MAX_BYTES_PER_S = 2_000
MAX_CPU_SHARE = 0.013
MAX_MEMORY_MB = 32.0


def deliveries_per_s(lines: Sequence[Line]) -> float:
    """Return the calls per second that a node makes or takes at the target size.

    Assumes that a node sends one message per call: in the request of a call that it
    makes, in the reply to a call that it takes.
    """
    return _value_at(lines, "messages/s per node by zones", ZONES)


def target_rows(lines: Sequence[Line]) -> list[tuple[str, float, float, bool]]:
    """Return the name, value, limit and verdict of each cost at the target size.

    The verdict is True if the value is at most the limit.
    """
    return [
        _target_row("bytes/s sent and received", _bytes_per_s(lines), MAX_BYTES_PER_S),
        _target_row("share of a core", _cpu_share(lines), MAX_CPU_SHARE),
        _target_row("memory for the view, MB", _memory_mb(lines), MAX_MEMORY_MB),
    ]


def _bytes_per_s(lines: Sequence[Line]) -> float:
    envelopes = _value_at(lines, "bytes/s per node by zones", ZONES)
    framing = (
        _value_at(lines, "HTTP/2 bytes per delivery", 1) + TCP_IP_BYTES_PER_DELIVERY
    )
    changes = CHANGES_PER_S * _value_at(
        lines, "bytes per node and change", NODES_PER_ZONE
    )
    start = _find_line(lines, "bytes at a start by instances")
    news = RESTARTS_PER_S * NEWS_PER_RESTART * SENDS_PER_NEWS * start.slope
    starts = RESTARTS_PER_S / NODES * start.at(NODES)
    framed = framing * deliveries_per_s(lines)
    return envelopes + framed + changes + 2 * (news + starts)  # sent and received


def _cpu_share(lines: Sequence[Line]) -> float:
    core_us = _value_at(lines, "processor time per node by zones", ZONES)
    core_us += _zone_growth(lines, "processor time per node by instances of the zone")
    change_us = _value_at(lines, "processor time per node and change", NODES_PER_ZONE)
    # The measured time covers both ends of a delivery; a node is one of them.
    transport_us = _value_at(lines, "processor time per delivery", 1) / 2
    total_us = core_us + CHANGES_PER_S * change_us
    total_us += transport_us * deliveries_per_s(lines)
    return total_us / 1e6


def _memory_mb(lines: Sequence[Line]) -> float:
    return _value_at(lines, "memory per node by instances", NODES) / 1_000


def _zone_growth(lines: Sequence[Line], quantity: str) -> float:
    """Return a quantity's growth from the smallest measured zone to the target size."""
    line = _find_line(lines, quantity)
    return max(0.0, line.slope * (NODES_PER_ZONE - line.points[0][0]))


def _value_at(lines: Sequence[Line], quantity: str, n: float) -> float:
    line = _find_line(lines, quantity)
    return line.slope * n + line.intercept


def _find_line(lines: Sequence[Line], quantity: str) -> Line:
    return next(line for line in lines if line.quantity == quantity)


def _target_row(
    quantity: str, value: float, limit: float
) -> tuple[str, float, float, bool]:
    return (quantity, round(value, 4), limit, value <= limit)
