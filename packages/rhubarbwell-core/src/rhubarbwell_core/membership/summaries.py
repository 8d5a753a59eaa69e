"""Summaries of the headroom of zones."""

from collections.abc import Sequence

from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import ServiceHeadroom, ZoneSummary

__all__ = ["SummaryTable", "has_changed"]

STEPS_OF_FREE_SLOTS = 8


class SummaryTable:
    """Keep the newest summary of each zone.

    >>> table = SummaryTable()
    >>> table.merge(ZoneSummary("r-a", 2), 0)
    True
    >>> table.merge(ZoneSummary("r-a", 1), 0)
    False
    """

    def __init__(self) -> None:
        self._rows = Table[str, ZoneSummary]("zone summaries")
        self._heard_ms: dict[str, int] = {}

    def get(self, zone: str) -> ZoneSummary | None:
        """Return the summary of a zone, None without one."""
        return self._rows.get(zone)

    def heard_ms(self, zone: str) -> int | None:
        """Return when the zone's newest summary came, None without one."""
        return self._heard_ms.get(zone)

    def merge(self, summary: ZoneSummary, now_ms: int) -> bool:
        """Take in a summary; return False if the known one is as new."""
        known = self._rows.get(summary.zone)
        if known is not None and _order(known) >= _order(summary):
            return False
        self._rows.put(summary.zone, summary)
        self._heard_ms[summary.zone] = now_ms
        return True


def has_changed(old: Sequence[ServiceHeadroom], new: Sequence[ServiceHeadroom]) -> bool:
    """Return whether headroom moved by a step, or to or from nothing, anywhere.

    >>> was = [ServiceHeadroom("slotsvc", 36, 20)]
    >>> has_changed(was, [ServiceHeadroom("slotsvc", 36, 18)])
    False
    >>> has_changed(was, [ServiceHeadroom("slotsvc", 36, 12)])
    True
    """
    before = {headroom.service: headroom for headroom in old}
    if before.keys() != {headroom.service for headroom in new}:
        return True
    return any(_has_moved(before[headroom.service], headroom) for headroom in new)


def _has_moved(old: ServiceHeadroom, new: ServiceHeadroom) -> bool:
    if old.slots != new.slots or (old.free == 0) != (new.free == 0):
        return True
    return abs(old.free - new.free) * STEPS_OF_FREE_SLOTS > new.slots


def _order(summary: ZoneSummary) -> tuple[int, tuple[ServiceHeadroom, ...]]:
    return (summary.sequence, summary.services)
