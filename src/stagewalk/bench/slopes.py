"""Least-squares lines through measurements, with their standard errors."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass


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
    """Fit a line to at least two points at different positions."""
    slope, intercept = statistics.linear_regression(positions, values)
    mean = statistics.fmean(positions)
    spread = sum((position - mean) ** 2 for position in positions)
    freedom = len(positions) - 2
    deviation = math.inf
    if freedom > 0:
        pairs = zip(positions, values, strict=True)
        residuals = [value - (intercept + slope * position) for position, value in pairs]
        deviation = math.sqrt(sum(residual**2 for residual in residuals) / freedom)
    error = deviation / math.sqrt(spread)
    return Line(intercept, slope, error, deviation, mean, spread, len(positions))
