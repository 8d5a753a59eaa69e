"""Ramps that let a figure grow by a part of its full size per second."""

from typing import NamedTuple

__all__ = ["GrowthRamp"]

MAX_LEAD_MS = 1_000


class _Level(NamedTuple):
    level: float
    at_ms: int


class GrowthRamp:
    """Limit the growth of what is in use, per name.

    >>> ramp = GrowthRamp()
    >>> [ramp.limit("s", 0, 100, growth_per_s=0.1, now_ms=ms) for ms in (0, 500)]
    [10, 10]
    >>> ramp.limit("s", 10, 100, growth_per_s=0.1, now_ms=1_000)
    15
    """

    def __init__(self) -> None:
        self._levels: dict[str, _Level] = {}

    def limit(
        self, name: str, in_use: int, full: int, *, growth_per_s: float, now_ms: int
    ) -> int:
        """Return how much may be in use now, at least 1 more than nothing."""
        growth = growth_per_s * full
        max_level = in_use + growth * MAX_LEAD_MS / 1_000
        last = self._levels.get(name)
        level = max_level
        if last is not None:
            level = min(max_level, last.level + growth * (now_ms - last.at_ms) / 1_000)
        level = max(level, float(in_use))
        self._levels[name] = _Level(level, now_ms)
        return min(full, max(1, int(level + 1e-9)))
