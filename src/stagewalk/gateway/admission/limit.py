"""How many requests a node may have under way at a service, learned from its answers. Pure.

Answers the load of many nodes that share a service's workers and know of each other only by what
the workers say. The bound grows by addition and shrinks by multiplication: on refusals of full
workers, on requests that wait at a worker, and on answers that take longer than the shortest ones
by more than the pace that the worker states for the moment. Below one request under way it is a
distance in time between two starts.
Owns the bound and the times it is learned from, in seconds of the steady clock; relies on
`admission.recent_values` for the shortest of them.
"""

from __future__ import annotations

import math

from stagewalk.gateway.admission.recent_values import SpanMaximum

MINIMUM_STARTS_PER_SECOND = 4.0
"""The bound never holds a node below this rate: a node with three requests a second sees too few
answers to learn from, and one that sends nothing learns nothing."""

PLACES_PER_SLOT = 1.25
"""Most requests under way for each slot of the service: a worker has the next one as a slot gets
free, and no queue of its own."""

REFUSAL_DECREASE_FACTOR = 0.8
"""What is left of the bound after a full worker's refusal."""

CONGESTION_DECREASE_FACTOR = 0.9
"""What is left of it after an answer from a worker with a queue, or one that took too long."""

ADDITIVE_INCREASE = 0.5
"""Added to the bound over as many answers without congestion as it has places."""

USED_SHARE = 0.5
"""Only a node that uses this share of its bound learns from queues and times: they are the work of
others otherwise. It does learn from refusals."""

QUEUED_SHARE = 0.25
"""A worker has a queue once this part of its slots waits there."""

LATENCY_FACTOR = 2.0
"""Answers take too long once their smoothed time is this many times the shortest one."""

SMOOTHING = 0.1
"""Weight of the newest time in the smoothed ones."""

MINIMUM_ANSWERS = 10
"""Answers before their smoothed time says anything."""

MINIMUM_DECREASE_SECONDS = 0.05
"""Between two decreases pass this time and that of an answer: one moment of congestion counts
once."""

FORGET_SECONDS = 5.0
"""A bound is given up once there was no congestion for so long."""


class ConcurrencyLimit:
    """The learned bound of one service."""

    def __init__(self) -> None:
        self._ceiling = math.inf
        self._limit = math.inf
        self._answers = 0
        self._holding: float | None = None
        self._latency = 0.0
        self._shortest = SpanMaximum()
        """Of the smoothed time's negative: the shortest of late."""
        self._congested_at = -math.inf
        self._decreased_at = -math.inf
        self._started_at = -math.inf

    @property
    def value(self) -> float:
        """Return the bound, in requests under way; below 1 it is a share of the time."""
        floor = MINIMUM_STARTS_PER_SECOND * (self._holding or 0.0)
        return min(self._ceiling, max(floor, self._limit))

    @property
    def holding_seconds(self) -> float | None:
        """Return how long a request keeps its place, smoothed; None before the first one ended."""
        return self._holding

    def set_slots(self, slots: int) -> None:
        """Set how many slots the service's workers have together."""
        self._ceiling = max(1.0, PLACES_PER_SLOT * slots)

    def has_place(self, in_flight: int, now: float) -> bool:
        """Whether another request may start beside those under way."""
        value = self.value
        if value >= 1.0:
            return in_flight + 1 <= value
        return in_flight == 0 and now >= self.next_start_at

    @property
    def next_start_at(self) -> float:
        """Return the earliest time of the next start where the bound is below one."""
        if self.value >= 1.0:
            return -math.inf
        return self._started_at + self.seconds_per_start(0.0)

    def seconds_per_start(self, otherwise: float) -> float:
        """Return the expected time between two starts while all places are taken.

        Parameters
        ----------
        otherwise
            Seconds that a request is expected to keep its place if none has ended yet.
        """
        holding = otherwise if self._holding is None else self._holding
        return holding / self.value

    def record_started(self, now: float) -> None:
        """Record that a request started."""
        self._started_at = now

    def note_holding_time(self, seconds: float) -> None:
        """Record how long a request kept its place."""
        before = self._holding
        self._holding = seconds if before is None else before + SMOOTHING * (seconds - before)

    def record_refused(self, in_flight: int, now: float) -> None:
        """Record that a full worker refused a request.

        Parameters
        ----------
        in_flight
            Requests that this node had under way at the service, the refused one among them.
        """
        self._decrease(REFUSAL_DECREASE_FACTOR, in_flight, now)

    def record_answered(
        self, seconds: float | None, queued_share: float, in_flight: int, now: float
    ) -> None:
        """Record an answer.

        Parameters
        ----------
        seconds
            How long it took, divided by the pace that the worker stated with it; None for answers
            whose time says nothing, such as streams.
        queued_share
            Requests that waited at the worker, in parts of its slots.
        in_flight
            Requests that this node had under way at the service, the answered one among them.
        """
        slow = seconds is not None and self._is_slow(seconds, now)
        used = in_flight >= USED_SHARE * self.value
        if not used:
            return
        if slow or queued_share >= QUEUED_SHARE:
            self._decrease(CONGESTION_DECREASE_FACTOR, in_flight, now)
        else:
            self._limit = self.value + ADDITIVE_INCREASE * min(1.0, self.value) / max(
                1.0, self.value
            )

    def forget(self, now: float) -> None:
        """Give the bound up if there was no congestion of late; asked while nobody waits."""
        if now - self._congested_at >= FORGET_SECONDS:
            self._limit = math.inf

    def _is_slow(self, seconds: float, now: float) -> bool:
        self._answers += 1
        weight = max(SMOOTHING, 1.0 / self._answers)
        self._latency += weight * (seconds - self._latency)
        if self._answers < MINIMUM_ANSWERS:
            return False
        self._shortest.observe(-self._latency, now)
        return self._latency > LATENCY_FACTOR * -self._shortest.value

    def _decrease(self, factor: float, in_flight: int, now: float) -> None:
        """Shrink the bound to a part of itself, or of what was under way if that was less."""
        self._congested_at = now
        pause = max(MINIMUM_DECREASE_SECONDS, self._holding or 0.0)
        if now - self._decreased_at < pause:
            return
        self._decreased_at = now
        self._limit = factor * min(self.value, max(1, in_flight))
