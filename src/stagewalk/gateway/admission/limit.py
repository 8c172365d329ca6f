"""Adaptive limit on the requests that a node has in flight at one service. Pure.

Many nodes share a service's workers without knowing each other's load. Each node adjusts its limit
by additive increase and multiplicative decrease (AIMD). Signs of congestion are refusals by full
workers, requests queued at a worker, and answers that take much longer than the fastest recent
ones, after correction for the pace that the worker reports. A limit below one request in flight is
enforced as a minimum interval between two starts.
Times are in seconds of the steady clock.
"""

from __future__ import annotations

import math

from stagewalk.gateway.admission.recent_values import SpanMaximum

MINIMUM_STARTS_PER_SECOND = 4.0
"""The limit always allows this rate: a node that sends fewer requests gets too few answers to
adjust the limit."""

PLACES_PER_SLOT = 1.25
"""Maximum requests in flight for each slot of the service. It is above 1 so that a worker has its
next request when a slot becomes free, and low enough that no long queue builds up there."""

REFUSAL_DECREASE_FACTOR = 0.8
"""The limit is multiplied by this after a refusal by a full worker."""

CONGESTION_DECREASE_FACTOR = 0.9
"""The limit is multiplied by this after a slow answer, or one from a worker with a queue."""

ADDITIVE_INCREASE = 0.5
"""Increase of a limit of N (1 or more) over N answers without congestion."""

USED_SHARE = 0.5
"""Answers change the limit only while at least this share of it is in use; otherwise queues and
latencies are caused by other nodes. Refusals always count."""

QUEUED_SHARE = 0.25
"""A worker counts as having a queue from this many waiting requests per slot."""

LATENCY_FACTOR = 2.0
"""Answers are slow once their smoothed latency exceeds the lowest recent one by this factor."""

SMOOTHING = 0.1
"""Weight of the newest value in an exponentially smoothed one."""

MINIMUM_ANSWERS = 10
"""Answers needed before their smoothed latency is used."""

MINIMUM_DECREASE_SECONDS = 0.05
"""Minimum time between two decreases, or the holding time if that is longer, so that a single
moment of congestion counts once."""

LIMIT_RESET_SECONDS = 5.0
"""The limit is reset after this long without congestion."""


class ConcurrencyLimit:
    """This node's concurrency limit at one service."""

    def __init__(self) -> None:
        self._ceiling = math.inf
        self._limit = math.inf
        self._answers = 0
        self._holding: float | None = None
        self._latency = 0.0
        self._shortest = SpanMaximum()
        """Maximum of the negated smoothed latency, that is, the lowest recent one."""
        self._congested_at = -math.inf
        self._decreased_at = -math.inf
        self._started_at = -math.inf

    @property
    def value(self) -> float:
        """Return the limit in requests in flight; below 1, the share of time with one in flight."""
        floor = MINIMUM_STARTS_PER_SECOND * (self._holding or 0.0)
        return min(self._ceiling, max(floor, self._limit))

    @property
    def holding_seconds(self) -> float | None:
        """Return the smoothed time that a request is in flight; None before the first one ended."""
        return self._holding

    def set_slots(self, slots: int) -> None:
        """Set the total number of slots of the service's workers."""
        self._ceiling = max(1.0, PLACES_PER_SLOT * slots)

    def has_place(self, in_flight: int, now: float) -> bool:
        """Whether another request may start in addition to those in flight."""
        value = self.value
        if value >= 1.0:
            return in_flight + 1 <= value
        return in_flight == 0 and now >= self.next_start_at

    @property
    def next_start_at(self) -> float:
        """Return the earliest time of the next start; minus infinity if the limit is 1 or more."""
        if self.value >= 1.0:
            return -math.inf
        return self._started_at + self.seconds_per_start(0.0)

    def seconds_per_start(self, default_seconds: float) -> float:
        """Return the expected time between two starts while the limit is reached.

        Parameters
        ----------
        default_seconds
            Expected time in flight of a request if none has ended yet.
        """
        holding = default_seconds if self._holding is None else self._holding
        return holding / self.value

    def record_started(self, now: float) -> None:
        """Record that a request started."""
        self._started_at = now

    def note_holding_time(self, seconds: float) -> None:
        """Record how long a request was in flight."""
        before = self._holding
        self._holding = seconds if before is None else before + SMOOTHING * (seconds - before)

    def record_refused(self, in_flight: int, now: float) -> None:
        """Record that a full worker refused a request.

        Parameters
        ----------
        in_flight
            Requests that this node had in flight at the service, including the refused one.
        """
        self._decrease(REFUSAL_DECREASE_FACTOR, in_flight, now)

    def record_answered(
        self, seconds: float | None, queued_share: float, in_flight: int, now: float
    ) -> None:
        """Record an answer.

        Parameters
        ----------
        seconds
            Its latency, divided by the pace that the worker reported with it; None for answers
            whose latency isn't meaningful, such as streams.
        queued_share
            Requests queued at the worker, relative to its slots.
        in_flight
            Requests that this node had in flight at the service, including the answered one.
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

    def reset_if_uncongested(self, now: float) -> None:
        """Reset the limit if there was no recent congestion; called while the queue is empty."""
        if now - self._congested_at >= LIMIT_RESET_SECONDS:
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
        """Multiply the limit, or the requests in flight if these are fewer, by a factor."""
        self._congested_at = now
        pause = max(MINIMUM_DECREASE_SECONDS, self._holding or 0.0)
        if now - self._decreased_at < pause:
            return
        self._decreased_at = now
        self._limit = factor * min(self.value, max(1, in_flight))
