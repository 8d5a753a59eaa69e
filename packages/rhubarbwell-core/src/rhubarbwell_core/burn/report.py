"""The report on error budget burn and its merging over entry instances."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from ddsketch import DDSketch

from rhubarbwell_core.burn.observer import BurnObserver, SeriesKey
from rhubarbwell_core.burn.series import LATENCY_RELATIVE_ACCURACY, Tally
from rhubarbwell_core.model import Reason

__all__ = [
    "BurnReport",
    "BurnRow",
    "budget_left",
    "burn_rate",
    "make_burn_rows",
    "merge_rows",
]


class BurnRow(NamedTuple):
    """Hold a series' tallies by window length in ms and its recent latencies."""

    key: SeriesKey
    windows: dict[int, Tally]
    latencies: DDSketch


class BurnReport(NamedTuple):
    """Hold the merged rows and the instances that did and did not answer."""

    rows: tuple[BurnRow, ...]
    answered: tuple[str, ...]
    unreachable: tuple[str, ...]


def burn_rate(tally: Tally) -> float:
    """Return the burn rate of the error budget; at 1 it is used up exactly.

    >>> burn_rate(Tally(total=100, bad=2, allowed_bad=1.0))
    2.0
    """
    if tally.bad == 0:
        return 0.0
    return tally.bad / tally.allowed_bad if tally.allowed_bad else float("inf")


def budget_left(tally: Tally) -> float:
    """Return the unspent share of the error budget, below 0 when overspent.

    >>> budget_left(Tally(total=100, bad=2, allowed_bad=4.0))
    0.5
    """
    return 1.0 - burn_rate(tally)


def make_burn_rows(observer: BurnObserver, now_ms: int) -> list[BurnRow]:
    """Return a row for each series that the observer counts."""
    return [
        BurnRow(key, series.tallies(now_ms), series.latencies(now_ms))
        for key, series in observer.series.items()
    ]


def merge_rows(rows: Iterable[BurnRow]) -> tuple[BurnRow, ...]:
    """Return the sums of the rows with the same key, sorted by key."""
    merged: dict[SeriesKey, BurnRow] = {}
    for row in rows:
        merged_row = merged.get(row.key)
        if merged_row is None:
            merged_row = BurnRow(row.key, {}, DDSketch(LATENCY_RELATIVE_ACCURACY))
            merged[row.key] = merged_row
        merged_row.latencies.merge(row.latencies)
        for window_ms, tally in row.windows.items():
            total = merged_row.windows.get(window_ms, Tally())
            merged_row.windows[window_ms] = _sum_tallies(total, tally)
    return tuple(merged[key] for key in sorted(merged))


def _sum_tallies(first: Tally, second: Tally) -> Tally:
    causes: Counter[Reason] = Counter(first.causes)
    causes.update(second.causes)
    return Tally(
        first.total + second.total,
        first.bad + second.bad,
        first.allowed_bad + second.allowed_bad,
        dict(causes),
    )
