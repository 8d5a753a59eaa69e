"""Learned times: work by affinity position, and delays to zones."""

from collections.abc import Mapping

__all__ = ["WorkTimes", "ZoneDelays"]

FIRST_WORK_MS = 150.0
# Work on an object that a backend server does not hold, against one that it does.
COLD_FACTOR = 2.5
# Positions of an affinity order beyond this one share an estimate.
POSITIONS = 8
LEARNING_RATE = 0.1
MIN_RATIO = 0.2
MAX_RATIO = 20.0
SLOWNESS_RATE = 0.25

SAME_ZONE_MS = 0.5
SAME_REGION_MS = 8.0
OTHER_REGION_MS = 50.0
DELAY_RATE = 0.3


class WorkTimes:
    """Learn how long work takes, by route and affinity position.

    Positions that many requests use hold their objects in cache and are learned to
    be fast, so that the choice keeps to them.

    >>> times = WorkTimes()
    >>> for _ in range(100):
    ...     times.add("r", 0, 100.0)
    >>> round(times.expected_ms("r", 0)) < times.expected_ms("r", 3)
    True
    """

    def __init__(self) -> None:
        self._rows: dict[str, list[float]] = {}

    def expected_ms(self, route: str, position: int) -> float:
        """Return the expected time of work at a position of an affinity order."""
        return self._row(route)[min(position, POSITIONS - 1)]

    def add(self, route: str, position: int, work_ms: float) -> None:
        """Learn from one answer."""
        row = self._row(route)
        index = min(position, POSITIONS - 1)
        row[index] += LEARNING_RATE * (work_ms - row[index])

    def _row(self, route: str) -> list[float]:
        row = self._rows.get(route)
        if row is None:
            row = _first_row(FIRST_WORK_MS)
            self._rows[route] = row
        return row


class ZoneDelays:
    """Learn the round-trip time to each zone from new connections.

    >>> delays = ZoneDelays("a-1", {"a-1": "a", "a-2": "a", "b-1": "b"})
    >>> delays.round_trip_ms("a-2") < delays.round_trip_ms("b-1")
    True
    """

    def __init__(self, zone: str, regions: Mapping[str, str]) -> None:
        self._rows: dict[str, float] = {}
        for name, region in regions.items():
            delay = SAME_REGION_MS if region == regions[zone] else OTHER_REGION_MS
            self._rows[name] = SAME_ZONE_MS if name == zone else delay

    def round_trip_ms(self, zone: str) -> float:
        """Return the round-trip time to a backend server of the zone."""
        return self._rows.get(zone, OTHER_REGION_MS)

    def add(self, zone: str, connect_ms: float) -> None:
        """Learn from the time that a connection took to open."""
        known = self._rows.get(zone, OTHER_REGION_MS)
        # A lost packet makes one connection slow and says nothing of the path.
        connect_ms = min(connect_ms, 2 * known + 5.0)
        self._rows[zone] = known + DELAY_RATE * (connect_ms - known)


def _first_row(work_ms: float) -> list[float]:
    step = (COLD_FACTOR - 1.0) / (POSITIONS - 1)
    return [work_ms * (1.0 + step * position) for position in range(POSITIONS)]
