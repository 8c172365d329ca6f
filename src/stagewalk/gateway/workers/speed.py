"""How fast a worker's machine is, told apart from how slow it is for a moment. Pure.

Answers the load of machines that are shared: work takes twice as long for some hundred milliseconds
and then as long as ever, and whoever avoids such a machine avoids another one a moment later.
Owns the estimate of a machine's own speed, and what the paces that its worker reports say of a
slowness that lasts. Inputs, in seconds: times of answers or events, and when each was seen. Paces
are in parts of the usual, as in `ports.workers.WorkerLoad`.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

PACE_VALID_SECONDS = 0.3
"""How long a reported pace says how long work takes: it varies many times a second."""

MINIMUM_PACE = 0.1
MAXIMUM_PACE = 10.0
"""A pace beyond these counts as the nearest of them: a single absurd report must not make its
machine look many times as fast as it is."""

OWN_SPEED_SECONDS = 1.5
"""Time over which a machine's own speed is smoothed: many of its slow moments, few of its items."""

FIRST_SAMPLE_SECONDS = 0.05
MAXIMUM_SAMPLE_SECONDS = 0.25
"""What the first time stands for, and what each later one does at most, however long ago the one
before it was."""

MAXIMUM_LOG_STEP = 0.25
"""A time counts for at most this far from what is known, as the logarithm of their ratio: the many
usual times outweigh those of slow moments. Downwards this holds once the estimate has settled: the
first times may all have come in one slow moment."""

LASTING_SECONDS = 0.5
"""A slowness lasts that every report of two successive spans of this length tells."""

MINIMUM_LASTING_REPORTS = 4
"""Fewer reports may all have come in slow moments."""


@dataclass(slots=True)
class OwnSpeed:
    """Smoothed time of a machine's answers or events at the usual pace.

    Attributes
    ----------
    seconds
        None before the first time.
    observed_seconds
        How long it was observed so far, at most `OWN_SPEED_SECONDS`.
    """

    seconds: float | None = None
    observed_seconds: float = 0.0
    _noted_at: float = -math.inf

    @property
    def settled(self) -> bool:
        """Whether it was observed for so long that slow moments weigh little."""
        return self.observed_seconds >= OWN_SPEED_SECONDS

    def observe(self, seconds: float, now: float) -> None:
        """Add a time, divided by the pace at which it was taken."""
        if seconds <= 0.0:
            return
        stands_for = min(now - self._noted_at, MAXIMUM_SAMPLE_SECONDS)
        self._noted_at = now
        if self.seconds is None:
            self.seconds = seconds
            self.observed_seconds = FIRST_SAMPLE_SECONDS
            return
        step = min(MAXIMUM_LOG_STEP, math.log(seconds / self.seconds))
        if self.settled:
            step = max(-MAXIMUM_LOG_STEP, step)
        self.observed_seconds = min(OWN_SPEED_SECONDS, self.observed_seconds + stands_for)
        self.seconds *= math.exp(step * stands_for / self.observed_seconds)

    def forget(self) -> None:
        """Begin anew."""
        self.seconds = None
        self.observed_seconds = 0.0


@dataclass(slots=True)
class _Span:
    """The paces reported in one span of time."""

    number: int = -2
    lowest: float = math.inf
    reports: int = 0

    def observe(self, pace: float) -> None:
        self.lowest = min(self.lowest, pace)
        self.reports += 1


@dataclass(slots=True)
class LastingPace:
    """The pace that a worker has kept to for longer than its slow moments are.

    The lowest pace of a while: a single report at the usual pace shows that a slowness is one of a
    moment.
    """

    _before: _Span = field(default_factory=_Span)
    _current: _Span = field(default_factory=_Span)
    _pace: float = 1.0
    _until: float = -math.inf

    def observe(self, pace: float, now: float) -> None:
        """Add a pace that was reported."""
        number = math.floor(now / LASTING_SECONDS)
        if number != self._current.number:
            self._before = self._current
            self._current = _Span(number)
        self._current.observe(pace)
        self._pace = self._lowest()
        self._until = (number + 2) * LASTING_SECONDS

    def pace(self, now: float) -> float:
        """Return it, the usual one if too few reports tell another."""
        return self._pace if now < self._until else 1.0

    def _lowest(self) -> float:
        successive = self._before.number == self._current.number - 1
        if not successive or self._before.reports + self._current.reports < MINIMUM_LASTING_REPORTS:
            return 1.0
        return min(self._before.lowest, self._current.lowest)


def plausible_pace(pace: float) -> float:
    """Return a reported pace within its bounds."""
    return max(MINIMUM_PACE, min(MAXIMUM_PACE, pace))


def seconds_at_pace(work: float, pace: float, seconds_left: float) -> float:
    """Return how long work takes that begins now.

    Parameters
    ----------
    work
        How long it takes at the usual pace, in seconds.
    pace
        The pace of the moment.
    seconds_left
        How long the pace of the moment is expected to hold: what is not done by then takes as long
        as usual.
    """
    if work * pace <= seconds_left:
        return work * pace
    return work + seconds_left * (1.0 - 1.0 / pace)
