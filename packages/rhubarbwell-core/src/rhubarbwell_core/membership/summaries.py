"""Store the headroom summaries of zones."""

from collections.abc import Sequence

from rhubarbwell_core.engine import Table
from rhubarbwell_core.messages import ServiceHeadroom, ZoneSummary

__all__ = ["SummaryTable", "has_headroom_changed"]

# Free slots must change by more than 1/8 of the slots for a new summary.
HEADROOM_CHANGE_DIVISOR = 8


class SummaryTable:
    """Store the newest summary of each zone.

    >>> table = SummaryTable()
    >>> table.merge(ZoneSummary("r-a", 2), 0)
    True
    >>> table.merge(ZoneSummary("r-a", 1), 0)
    False
    """

    def __init__(self) -> None:
        self._rows = Table[str, ZoneSummary]("zone summaries")
        self._received_ms: dict[str, int] = {}

    def get(self, zone: str) -> ZoneSummary | None:
        """Return the summary of a zone, or None if none is stored."""
        return self._rows.get(zone)

    def received_ms(self, zone: str) -> int | None:
        """Return the arrival time in ms of a zone's summary, None if none is stored."""
        return self._received_ms.get(zone)

    def merge(self, summary: ZoneSummary, now_ms: int) -> bool:
        """Store a summary if it is newer than the known one; return True if stored."""
        known = self._rows.get(summary.zone)
        if known is not None and _precedence(known) >= _precedence(summary):
            return False
        self._rows.put(summary.zone, summary)
        self._received_ms[summary.zone] = now_ms
        return True


def has_headroom_changed(
    old: Sequence[ServiceHeadroom], new: Sequence[ServiceHeadroom]
) -> bool:
    """Return True if any service's headroom changed significantly.

    That is a service added or removed, another number of slots, a change of free
    slots from or to 0, or one by more than 1 / HEADROOM_CHANGE_DIVISOR of the slots.

    >>> was = [ServiceHeadroom("slotsvc", 36, 20)]
    >>> has_headroom_changed(was, [ServiceHeadroom("slotsvc", 36, 18)])
    False
    >>> has_headroom_changed(was, [ServiceHeadroom("slotsvc", 36, 12)])
    True
    """
    before = {headroom.service: headroom for headroom in old}
    if before.keys() != {headroom.service for headroom in new}:
        return True
    return any(
        _is_significant_change(before[headroom.service], headroom) for headroom in new
    )


def _is_significant_change(old: ServiceHeadroom, new: ServiceHeadroom) -> bool:
    if old.slots != new.slots or (old.free == 0) != (new.free == 0):
        return True
    return abs(old.free - new.free) * HEADROOM_CHANGE_DIVISOR > new.slots


def _precedence(summary: ZoneSummary) -> tuple[int, tuple[ServiceHeadroom, ...]]:
    return (summary.sequence, summary.services)
