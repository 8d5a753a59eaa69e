"""Fit straight lines to measured points."""

from typing import NamedTuple

import numpy as np

__all__ = ["Line", "fit_line"]


class Line(NamedTuple):
    """Hold the measured points of a quantity and the line fitted to them.

    residual is the root mean square error of the line at the points. unit is that
    of the values, the intercept and the residual; slope is in unit per n.
    """

    role: str
    quantity: str
    unit: str
    points: tuple[tuple[float, float], ...]
    slope: float
    intercept: float
    residual: float

    def at(self, n: float) -> float:
        """Return the value of the line at n."""
        return self.slope * n + self.intercept


def fit_line(
    role: str, quantity: str, unit: str, points: list[tuple[float, float]]
) -> Line:
    """Return the least-squares line through at least two points.

    >>> fit_line("r", "q", "u", [(1, 2.0), (2, 4.0), (3, 6.0)]).at(10)
    20.0
    """
    sizes = np.array([n for n, _ in points], dtype=float)
    values = np.array([value for _, value in points], dtype=float)
    slope, intercept = np.polyfit(sizes, values, 1)
    errors = values - (slope * sizes + intercept)
    residual = float(np.sqrt(np.mean(errors**2)))
    rounded = tuple((n, round(value, 3)) for n, value in points)
    return Line(
        role,
        quantity,
        unit,
        rounded,
        round(float(slope), 6),
        round(float(intercept), 3),
        round(residual, 3),
    )
