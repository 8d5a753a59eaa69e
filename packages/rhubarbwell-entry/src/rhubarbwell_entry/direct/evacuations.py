"""Zones that the operators have evacuated, also over a loss of the store's rows."""

__all__ = ["EvacuatedZones"]

# A zone whose row a store has lost stays evacuated until the operators have written the
# row again, at most for this time. Too long costs room; too short sends requests to a
# zone that must not get any.
HOLD_MS = 10_000


class EvacuatedZones:
    """Store the evacuated zones.

    >>> zones = EvacuatedZones()
    >>> zones.set("z", True)
    >>> zones.hold("z", 0)
    >>> zones.current(1_000), zones.current(10_000)
    (frozenset({'z'}), frozenset())
    """

    def __init__(self) -> None:
        self._zones: set[str] = set()
        self._held_until_ms: dict[str, int] = {}

    def set(self, zone: str, is_evacuated: bool) -> None:
        """Evacuate a zone, or take its evacuation back."""
        self._held_until_ms.pop(zone, None)
        if is_evacuated:
            self._zones.add(zone)
        else:
            self._zones.discard(zone)

    def hold(self, zone: str, now_ms: int) -> None:
        """Keep a zone evacuated for HOLD_MS though the store no longer lists it."""
        if zone in self._zones:
            self._held_until_ms[zone] = now_ms + HOLD_MS

    def current(self, now_ms: int) -> frozenset[str]:
        """Return the evacuated zones."""
        for zone, end_ms in list(self._held_until_ms.items()):
            if now_ms >= end_ms:
                self.set(zone, False)
        return frozenset(self._zones)
