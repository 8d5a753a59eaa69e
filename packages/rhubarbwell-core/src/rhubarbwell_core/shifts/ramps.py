"""Growth limits that allow a fixed fraction of the full amount per second."""

from typing import NamedTuple

__all__ = ["GrowthRamp"]

# The limit exceeds the amount in use by at most this much growth.
MAX_LEAD_MS = 1_000


class _Level(NamedTuple):
    level: float
    at_ms: int


class GrowthRamp:
    """Limit the growth of an amount in use, for each name.

    >>> ramp = GrowthRamp()
    >>> [ramp.max_in_use("s", 0, 100, growth_per_s=0.1, now_ms=ms) for ms in (0, 500)]
    [10, 10]
    >>> ramp.max_in_use("s", 10, 100, growth_per_s=0.1, now_ms=1_000)
    15
    """

    def __init__(self) -> None:
        self._levels: dict[str, _Level] = {}

    def max_in_use(
        self, name: str, in_use: int, full: int, *, growth_per_s: float, now_ms: int
    ) -> int:
        """Return the amount that may be in use at now_ms.

        It is at least 1 unless full is 0. growth_per_s is a fraction of full.
        """
        growth = growth_per_s * full
        max_level = in_use + growth * MAX_LEAD_MS / 1_000
        last = self._levels.get(name)
        level = max_level
        if last is not None:
            level = min(max_level, last.level + growth * (now_ms - last.at_ms) / 1_000)
        level = max(level, float(in_use))
        self._levels[name] = _Level(level, now_ms)
        return min(full, max(1, int(level + 1e-9)))
