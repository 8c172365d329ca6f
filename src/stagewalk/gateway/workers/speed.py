"""Separates a machine's baseline speed from temporary slowdowns. Pure.

On a shared machine, work may take twice as long for a few hundred milliseconds. Avoiding the
machine then doesn't help, since the others have such slowdowns too. So the baseline is estimated
from latencies divided by the pace that the worker reported, and a reported slowdown counts as a
property of the machine only if it is sustained.

A pace is a factor on the usual duration, as in `ports.workers.WorkerLoad`. Times are in seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

PACE_VALID_SECONDS = 0.3
"""Age up to which a reported pace is used. The pace changes many times a second."""

MINIMUM_PACE = 0.1
MAXIMUM_PACE = 10.0
"""Reported paces are clamped to this range, so that one bogus report can't make a machine look many
times faster than it is."""

BASELINE_SMOOTHING_SECONDS = 1.5
"""Time constant of the baseline: long compared with a slowdown."""

FIRST_SAMPLE_SECONDS = 0.05
MAXIMUM_SAMPLE_SECONDS = 0.25
"""Weight of the first sample, and the maximum weight of each later one. A sample's weight is the
time since the one before it."""

MAXIMUM_LOG_STEP = 0.25
"""Limit on the log ratio of a sample to the estimate, so that samples from slowdowns weigh little.
It limits downward steps only once the estimate has settled: the first samples may all be from one
slowdown."""

SUSTAINED_PACE_WINDOW_SECONDS = 0.5
"""A slowdown is sustained if all reports of two successive windows of this length show it."""

MINIMUM_SUSTAINED_PACE_REPORTS = 4
"""Minimum number of reports in the two windows; fewer may all be from temporary slowdowns."""


@dataclass(slots=True)
class BaselineLatency:
    """Smoothed latency of a machine's answers or events, with reported slowdowns divided out.

    Attributes
    ----------
    seconds
        None before the first sample.
    observed_seconds
        Total weight of the samples, at most `BASELINE_SMOOTHING_SECONDS`.
    """

    seconds: float | None = None
    observed_seconds: float = 0.0
    _observed_at: float = -math.inf

    @property
    def settled(self) -> bool:
        """Whether it has enough samples for temporary slowdowns to weigh little."""
        return self.observed_seconds >= BASELINE_SMOOTHING_SECONDS

    def observe(self, seconds: float, now: float) -> None:
        """Add a sample, already divided by the pace at which it was measured."""
        if seconds <= 0.0:
            return
        weight_seconds = min(now - self._observed_at, MAXIMUM_SAMPLE_SECONDS)
        self._observed_at = now
        if self.seconds is None:
            self.seconds = seconds
            self.observed_seconds = FIRST_SAMPLE_SECONDS
            return
        step = min(MAXIMUM_LOG_STEP, math.log(seconds / self.seconds))
        if self.settled:
            step = max(-MAXIMUM_LOG_STEP, step)
        self.observed_seconds = min(
            BASELINE_SMOOTHING_SECONDS, self.observed_seconds + weight_seconds
        )
        self.seconds *= math.exp(step * weight_seconds / self.observed_seconds)

    def forget(self) -> None:
        """Discard all samples."""
        self.seconds = None
        self.observed_seconds = 0.0


@dataclass(slots=True)
class _PaceWindow:
    """The paces reported within one window of `SUSTAINED_PACE_WINDOW_SECONDS`."""

    number: int = -2
    lowest: float = math.inf
    reports: int = 0

    def observe(self, pace: float) -> None:
        self.lowest = min(self.lowest, pace)
        self.reports += 1


@dataclass(slots=True)
class SustainedPace:
    """The lowest pace reported in the last two windows.

    A single report at the usual pace shows that a slowdown is temporary.
    """

    _previous: _PaceWindow = field(default_factory=_PaceWindow)
    _current: _PaceWindow = field(default_factory=_PaceWindow)
    _pace: float = 1.0
    _until: float = -math.inf

    def observe(self, pace: float, now: float) -> None:
        """Add a reported pace."""
        number = math.floor(now / SUSTAINED_PACE_WINDOW_SECONDS)
        if number != self._current.number:
            self._previous = self._current
            self._current = _PaceWindow(number)
        self._current.observe(pace)
        self._pace = self._lowest_pace()
        self._until = (number + 2) * SUSTAINED_PACE_WINDOW_SECONDS

    def pace(self, now: float) -> float:
        """Return the sustained pace; 1.0 if there are too few recent reports."""
        return self._pace if now < self._until else 1.0

    def _lowest_pace(self) -> float:
        successive = self._previous.number == self._current.number - 1
        if (
            not successive
            or self._previous.reports + self._current.reports < MINIMUM_SUSTAINED_PACE_REPORTS
        ):
            return 1.0
        return min(self._previous.lowest, self._current.lowest)


def plausible_pace(pace: float) -> float:
    """Return a reported pace, clamped to the plausible range."""
    return max(MINIMUM_PACE, min(MAXIMUM_PACE, pace))


def seconds_at_pace(work: float, pace: float, seconds_left: float) -> float:
    """Return the expected duration of work that begins now.

    Parameters
    ----------
    work
        Its duration at the usual pace, in seconds.
    pace
        The current pace.
    seconds_left
        How long the current pace is expected to hold. The remaining work runs at the usual pace.
    """
    if work * pace <= seconds_left:
        return work * pace
    return work + seconds_left * (1.0 - 1.0 / pace)
