"""Compute the cost of control per node and role at the target size."""

from collections.abc import Sequence
from typing import NamedTuple

from rhubarbwell_core.grants.borrowing import RENEW_BEFORE_END_MS
from rhubarbwell_entry.monitor import polls_per_s

from benchmarks.capacity.target import (
    NODES,
    NODES_PER_ZONE,
    SERVICES,
)
from benchmarks.control.fits import Line
from benchmarks.control.targets import target_rows

__all__ = ["RoleCost", "costs_of_control", "find_line", "spill_cost", "sum_costs"]

US_PER_S = 1e6
DIRECTORY_REFRESHES_PER_S = 2.0
GRANTORS_PER_SERVICE = 2
RENEW_INTERVAL_S = RENEW_BEFORE_END_MS / 1_000
MESSAGES_PER_ASK = 2
KB_PER_MB = 1_000.0


class RoleCost(NamedTuple):
    """Hold what one role costs a node: bytes/s, share of a core, memory in MB."""

    role: str
    bytes_per_s: float
    core_share: float
    memory_mb: float


def costs_of_control(lines: Sequence[Line]) -> list[RoleCost]:
    """Return the steady-state costs of the control roles at the target size."""
    bytes_row, core_row, memory_row = target_rows(lines)
    refresh_us = find_line(lines, "directory refresh by instances").at(NODES)
    directory_mb = find_line(lines, "directory by instances").at(NODES)
    counts_kb = find_line(lines, "counts by services").at(SERVICES)
    return [
        RoleCost(
            "membership, relays, adoption", bytes_row[1], core_row[1], memory_row[1]
        ),
        RoleCost(
            "directory of look-ups",
            0.0,
            DIRECTORY_REFRESHES_PER_S * refresh_us / US_PER_S,
            directory_mb,
        ),
        _polling_cost(lines),
        RoleCost("reporting", 0.0, 0.0, counts_kb / KB_PER_MB),
    ]


def sum_costs(costs: Sequence[RoleCost]) -> RoleCost:
    """Return the total of the costs as the cost of a role named "all of control"."""
    return RoleCost(
        "all of control",
        sum(cost.bytes_per_s for cost in costs),
        sum(cost.core_share for cost in costs),
        sum(cost.memory_mb for cost in costs),
    )


def find_line(lines: Sequence[Line], quantity: str) -> Line:
    """Return the line of a quantity; raise StopIteration if no line has it."""
    return next(line for line in lines if line.quantity == quantity)


def _polling_cost(lines: Sequence[Line]) -> RoleCost:
    rate = polls_per_s(NODES)
    poll_us = find_line(lines, "processor time by polls").slope
    poll_bytes = find_line(lines, "bytes by polls").slope
    return RoleCost(
        "polls of backend servers", rate * poll_bytes, rate * poll_us / US_PER_S, 0.0
    )


def spill_cost(lines: Sequence[Line]) -> RoleCost:
    """Return the cost of grants while every service borrows and lends.

    Each service borrows from GRANTORS_PER_SERVICE peers.
    """
    asks_per_s = SERVICES * GRANTORS_PER_SERVICE / RENEW_INTERVAL_S
    ask_bytes = find_line(lines, "bytes by asks").slope
    answer_us = find_line(lines, "answer to an ask by borrowers").at(NODES_PER_ZONE)
    memory_kb = find_line(lines, "grants in force by borrowers").at(NODES_PER_ZONE)
    return RoleCost(
        "grants, while all services spill",
        asks_per_s * 2 * MESSAGES_PER_ASK * ask_bytes,  # as borrower and as grantor
        asks_per_s * answer_us / US_PER_S,
        memory_kb / KB_PER_MB,
    )
