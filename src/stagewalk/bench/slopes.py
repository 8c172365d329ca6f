"""Straight lines through measurements, with their standard errors.

Owns the fit; relies on nothing but the points.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy


@dataclass(frozen=True, slots=True)
class Line:
    """A least-squares line.

    Attributes
    ----------
    slope_error
        Standard error of the slope; infinite with fewer than three points.
    """

    intercept: float
    slope: float
    slope_error: float
    _residual_deviation: float
    _mean: float
    _spread: float
    _count: int

    def at(self, position: float) -> float:
        """Return the line's value."""
        return self.intercept + self.slope * position

    def error_at(self, position: float) -> float:
        """Return the standard error of a prediction at a position."""
        if self._spread == 0:
            return math.inf
        distance = (position - self._mean) ** 2 / self._spread
        return self._residual_deviation * math.sqrt(1 + 1 / self._count + distance)


def fit(positions: Sequence[float], values: Sequence[float]) -> Line:
    """Fit a line; two points at least, at different positions."""
    x = numpy.asarray(positions, dtype=float)
    y = numpy.asarray(values, dtype=float)
    slope, intercept = numpy.polyfit(x, y, 1)
    spread = float(((x - x.mean()) ** 2).sum())
    freedom = len(x) - 2
    deviation = math.inf
    if freedom > 0:
        residuals = y - (intercept + slope * x)
        deviation = math.sqrt(float((residuals**2).sum()) / freedom)
    error = deviation / math.sqrt(spread)
    return Line(float(intercept), float(slope), error, deviation, float(x.mean()), spread, len(x))
