"""Admission control of one service: starts, queues or rejects forwarded requests. Pure.

A request is queued only while it can still be answered within its target. This is checked on
arrival, and once more within an eighth of the target, so that a rejected caller has time to retry
or go elsewhere. A request that passes the second check is committed: it stays queued until it
starts, even if workers are lost. It is queued again if full workers refuse it, and starts beyond
the limit when it can't wait any longer.

The limit on requests in flight is in `admission.limit`, the order of the queue in
`admission.fair_queue`, and the delay before a retry in `admission.return_times`. Times are in
seconds of the steady clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from stagewalk.gateway.admission.committed_requests import CommittedRequests
from stagewalk.gateway.admission.decisions import (
    Admitted,
    Decision,
    Queued,
    Rejection,
    RejectionReason,
    WaitEstimate,
)
from stagewalk.gateway.admission.fair_queue import (
    MAXIMUM_RELATIVE_COST,
    STARTS_PER_RETRY,
    AdmissionRequest,
    FairQueue,
    QueueEntry,
)
from stagewalk.gateway.admission.limit import SMOOTHING, ConcurrencyLimit
from stagewalk.gateway.admission.recent_values import RecentCount, SpanMaximum
from stagewalk.gateway.admission.return_times import ReturnTimes
from stagewalk.gateway.admission.tenant_rates import TenantRates
from stagewalk.gateway.admission.worker_summary import WorkerSummary
from stagewalk.gateway.eligibility.retry_after import DEFAULT_RETRY_AFTER_SECONDS
from stagewalk.gateway.workers.worker import Worker

FINAL_DECISION_SHARE = 0.1
"""Share of its target after which a queued request is rejected or committed. A rejection has
to reach its caller within an eighth of the target; the difference allows for late timers."""

MAXIMUM_WAIT_SHARE = 0.33
"""Maximum expected wait, as a share of the target and of the time until the deadline. The rest is
for the worker and for the error of the estimate."""

CONFIDENT_WAIT_SHARE = 0.45
"""The same for a request that is first in the queue or is rechecked. The estimate for the first is
off by at most one start, and with the lower share a node with few starts per second would reject
every request that arrives while one is in flight. A queued request is thus rejected only once its
expected wait has grown by more than the error of the estimate."""

START_DEADLINE_RESERVE_SECONDS = 0.05
"""Time reserved before the deadline for sending the answer, and in case the worker is slow."""

DEFAULT_HOLDING_SHARE = 0.5
"""Assumed time in flight, as a share of the target, before any request has ended."""

MINIMUM_REFUSED_RETRY_SECONDS = 0.01
MAXIMUM_REFUSED_RETRY_SECONDS = 0.1
"""Bounds of the time after which a committed request that full workers refused starts beyond the
limit. It doubles with each refusal, so that workers that stay full are not flooded."""

MAXIMUM_QUEUE_LENGTH = 1024
"""Maximum requests in the queue of a service; bounds memory and tasks."""

MINIMUM_AVAILABLE_SHARE = 0.05
"""Minimum share of all starts that an estimate assumes a request can get, whatever overtakes it."""

NEW_REQUEST_TIMEOUT_SHARE = 0.9
"""A request counts as new if its timeout is at least this share of the longest recent timeout on
its route, and as a retry otherwise, since callers retry with the time that is left. Where callers
use different timeouts, requests with short ones are treated as retries."""

RESIDUAL_INTERVAL_SHARE = 0.5
"""Expected time to the next start when a request arrives, as a share of the start interval."""

RECHECK_SECONDS = 0.1
"""Queued requests are rechecked at this interval, since all workers may be lost meanwhile."""

MAXIMUM_RECHECKS_PER_SECOND = 500.0
"""With a long queue, each request is rechecked less often, which bounds the cost."""

MINIMUM_RECHECK_SECONDS = 0.002
"""Minimum time between two rechecks of a request; avoids a busy loop."""


class ServiceAdmission:
    """Concurrency limit and queue of one service.

    Parameters
    ----------
    workers
        Returns the service's workers that may get new requests.
    """

    def __init__(self, workers: Callable[[], Sequence[Worker]], rng: random.Random) -> None:
        self._limit = ConcurrencyLimit()
        self._queue = FairQueue()
        self._return_times = ReturnTimes(rng)
        self._workers = WorkerSummary(workers, self._limit)
        self._in_flight = 0
        self._starts: dict[tuple[int, bool], RecentCount] = {}
        """Recent starts, by urgency and whether they are retries."""
        self._tenant_rates = TenantRates()
        self._longest_timeouts: dict[str, SpanMaximum] = {}
        """By route, the longest recent timeout of a request on arrival."""
        self._route_seconds: dict[str, float] = {}
        """By route, the smoothed time that its requests are in flight."""
        self._committed = CommittedRequests()
        self._stopping = False

    @property
    def limit(self) -> ConcurrencyLimit:
        """Return the concurrency limit, which is updated by answers."""
        return self._limit

    @property
    def waiting(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)

    @property
    def in_flight(self) -> int:
        """Return how many requests are in flight."""
        return self._in_flight

    def offer(self, request: AdmissionRequest, now: float) -> Decision:
        """Start, queue or reject a request that arrives now."""
        retried = self._is_retry(request, now)
        waiting = QueueEntry(request, self._cost(request), retried)
        if self._workers.any(now) and not self._queue:
            self._committed.clear()
            self._limit.reset_if_uncongested(now)
            if self._has_place(now):
                self._queue.record_start(waiting, now)
                self._start(waiting, now)
                return Admitted(request)
        wait_estimate = self._estimate_wait(waiting, now)
        reason = self._final_rejection_reason(waiting, now) or self._queue_rejection_reason(
            wait_estimate, now
        )
        if reason is not None:
            return self._reject(request, reason, wait_estimate, now)
        self._queue.push(waiting, now)
        return Queued(waiting, wait_estimate)

    def recheck(self, waiting: QueueEntry, now: float) -> Rejection | None:
        """Check a queued request again; remove it from the queue if it is rejected."""
        request = waiting.request
        reason = self._final_rejection_reason(waiting, now)
        if waiting.committed and reason is None:
            return None
        wait_estimate = self._estimate_wait(waiting, now, already_queued=True)
        reason = reason or self._queue_rejection_reason(wait_estimate, now)
        if reason is not None:
            self._queue.remove(waiting)
            return self._reject(request, reason, wait_estimate, now)
        if now >= final_decision_at(request):
            waiting.committed = True
            self._committed.add(
                waiting,
                start_for_target_by=now + wait_estimate.allowed_seconds,
                start_beyond_limit_at=self._latest_start_for_deadline(request),
            )
        return None

    def start_due(self, now: float) -> list[QueueEntry]:
        """Start as many queued requests as the limit allows; return them in order.

        Committed requests that can't wait any longer start beyond the limit.
        """
        started: list[QueueEntry] = []
        if self._queue and self._workers.any(now):
            beyond_limit = self._committed.take_beyond_limit(now)
            started = [waiting for waiting in beyond_limit if self._queue.take(waiting)]
        for waiting in started:
            self._start(waiting, now)
        while self._queue and self._has_place(now):
            for waiting in self._committed.take_overdue(now):
                self._queue.add_overdue(waiting)
            waiting = self._queue.pop()
            self._start(waiting, now)
            started.append(waiting)
        return started

    def requeue(self, waiting: QueueEntry, now: float) -> bool:
        """Queue a committed request again after full workers refused it.

        Returns
        -------
        bool
            False if it stays in flight and has to be rejected: it isn't committed, or its time is
            over.
        """
        if not waiting.committed or self._final_rejection_reason(waiting, now) is not None:
            return False
        self.release()
        waiting.started = False
        self._queue.push(waiting, now)
        doubled = max(MINIMUM_REFUSED_RETRY_SECONDS, 2.0 * waiting.retry_seconds)
        waiting.retry_seconds = min(MAXIMUM_REFUSED_RETRY_SECONDS, doubled)
        self._committed.add(
            waiting,
            start_for_target_by=now,
            start_beyond_limit_at=now + waiting.retry_seconds,
        )
        return True

    def withdraw(self, waiting: QueueEntry) -> None:
        """Remove a request whose caller disconnected, whether it is queued or in flight."""
        if waiting.started:
            self.release()
        else:
            self._queue.remove(waiting)

    def release(self) -> None:
        """Record that a request is no longer in flight."""
        self._in_flight -= 1

    def note_holding_time(self, route: str, seconds: float) -> None:
        """Record how long a request that a worker ran was in flight."""
        self._limit.note_holding_time(seconds)
        before = self._route_seconds.get(route, seconds)
        self._route_seconds[route] = before + SMOOTHING * (seconds - before)

    def may_hedge(self, now: float) -> bool:
        """Whether there is capacity for a hedged attempt, which isn't counted as in flight."""
        return not self._queue and self._has_place(now)

    def stop(self) -> None:
        """Begin to reject all requests that can't start at once."""
        self._stopping = True

    def seconds_until_recheck(self, waiting: QueueEntry, now: float) -> float:
        """Return the seconds until a queued request has to be rechecked.

        Covers changes that don't coincide with the end of another request: the final decision on
        it, its deadline, and the next paced start while the limit is below one.
        """
        request = waiting.request
        if waiting.committed:
            next_at = waiting.start_beyond_limit_at
        else:
            next_at = min(self._latest_start_for_deadline(request), final_decision_at(request))
        paced = self._limit.next_start_at
        if paced > now:
            next_at = min(next_at, paced)
        interval = max(RECHECK_SECONDS, len(self._queue) / MAXIMUM_RECHECKS_PER_SECOND)
        return max(MINIMUM_RECHECK_SECONDS, min(next_at - now, interval))

    def retry_after(self, request: AdmissionRequest, now: float) -> float:
        """Return the retry delay, in seconds, for a request that workers refused."""
        retried = self._is_retry(request, now)
        waiting = QueueEntry(request, self._cost(request), retried)
        wait_estimate = self._estimate_wait(waiting, now)
        return self._choose_retry_after(request, wait_estimate, now)

    def _start(self, waiting: QueueEntry, now: float) -> None:
        waiting.started = True
        self._in_flight += 1
        self._limit.record_started(now)
        key = (waiting.request.urgency, waiting.retried)
        self._starts.setdefault(key, RecentCount()).add(now)
        self._tenant_rates.record_start(waiting.request.tenant, now)

    def _is_retry(self, request: AdmissionRequest, now: float) -> bool:
        allowed = request.deadline_at - request.arrived_at
        longest = self._longest_timeouts.get(request.route)
        if longest is None:
            longest = self._longest_timeouts[request.route] = SpanMaximum()
        longest.observe(allowed, now)
        return allowed < NEW_REQUEST_TIMEOUT_SHARE * longest.value

    def _has_place(self, now: float) -> bool:
        self._workers.update(now)
        return self._limit.has_place(self._in_flight, now) or self._workers.take_spare_place()

    def _estimate_wait(
        self, waiting: QueueEntry, now: float, *, already_queued: bool = False
    ) -> WaitEstimate:
        """Return the expected and the allowed wait of a request."""
        request = waiting.request
        ahead = self._queue.ahead_of(waiting, now)
        seconds = self._seconds_per_start(request, now) / self._available_share(waiting, now)
        return WaitEstimate(
            ahead=ahead,
            ahead_of_tenant=self._queue.count_of_tenant(request.tenant),
            wait_seconds=(ahead + RESIDUAL_INTERVAL_SHARE) * seconds,
            allowed_seconds=self._latest_start_for_target(
                request, confident=already_queued or ahead == 0
            )
            - now,
            in_flight=self._in_flight,
            limit=self._limit.value,
        )

    def _final_rejection_reason(self, waiting: QueueEntry, now: float) -> RejectionReason | None:
        """Return a reason to reject a request even if it is committed, None if there is none."""
        if not self._workers.any(now):
            return RejectionReason.NO_WORKER
        if self._stopping:
            return RejectionReason.STOPPING
        latest = self._latest_start_for_deadline(waiting.request)
        if waiting.committed:
            # The reserve allows for its start beyond the limit.
            latest += START_DEADLINE_RESERVE_SECONDS
        return RejectionReason.TOO_LATE if now > latest else None

    def _queue_rejection_reason(
        self, wait_estimate: WaitEstimate, now: float
    ) -> RejectionReason | None:
        if len(self._queue) > MAXIMUM_QUEUE_LENGTH:
            return RejectionReason.QUEUE_FULL
        return None if wait_estimate.in_time else RejectionReason.TOO_LATE

    def _reject(
        self,
        request: AdmissionRequest,
        reason: RejectionReason,
        wait_estimate: WaitEstimate,
        now: float,
    ) -> Rejection:
        return Rejection(
            reason, self._choose_retry_after(request, wait_estimate, now), wait_estimate
        )

    def _choose_retry_after(
        self, request: AdmissionRequest, wait_estimate: WaitEstimate, now: float
    ) -> float:
        excess_wait = wait_estimate.wait_seconds - max(0.0, wait_estimate.allowed_seconds)
        if not self._workers.any(now):
            excess_wait = max(excess_wait, DEFAULT_RETRY_AFTER_SECONDS)
        return self._return_times.choose(
            request.urgency,
            excess_wait_seconds=excess_wait,
            seconds_per_start=self._seconds_per_start(request, now),
            remaining_seconds=request.deadline_at - now,
            now=now,
        )

    def _available_share(self, waiting: QueueEntry, now: float) -> float:
        """Return the share of all starts that isn't taken by requests that overtake this one.

        These are more urgent requests, new ones if it is a retry, and those of other tenants if its
        own tenant has had more than its share.
        """
        urgency, holding = waiting.request.urgency, self._limit.holding_seconds
        rates = {key: count.rate(now) for key, count in self._starts.items()}
        capacity = max(sum(rates.values()), self._limit.value / holding if holding else 0.0)
        if capacity == 0.0:
            return 1.0
        more_urgent = sum(rate for (u, _), rate in rates.items() if u < urgency)
        left = max(MINIMUM_AVAILABLE_SHARE, 1.0 - more_urgent / capacity)
        new = rates.get((urgency, False), 0.0) / capacity
        if waiting.retried:
            left = max(left / STARTS_PER_RETRY, left - new)
        if not self._queue.is_behind(waiting, now):
            return left
        others = self._tenant_rates.rate_ahead_of(waiting.request.tenant, now) / capacity
        return max(MINIMUM_AVAILABLE_SHARE * left, left - others)

    def _seconds_per_start(self, request: AdmissionRequest, now: float) -> float:
        self._workers.update(now)
        return self._limit.seconds_per_start(DEFAULT_HOLDING_SHARE * request.target_seconds)

    def _holding(self, request: AdmissionRequest) -> float:
        unknown = DEFAULT_HOLDING_SHARE * request.target_seconds
        return self._route_seconds.get(request.route, self._limit.holding_seconds or unknown)

    def _cost(self, request: AdmissionRequest) -> float:
        usual = self._limit.holding_seconds
        return 1.0 if not usual else min(MAXIMUM_RELATIVE_COST, self._holding(request) / usual)

    def _latest_start_for_target(self, request: AdmissionRequest, *, confident: bool) -> float:
        """Return the latest start that the allowed shares of the target and the deadline permit.

        The target doesn't require a start before the final decision is due.
        """
        target = request.target_seconds
        share = CONFIDENT_WAIT_SHARE if confident else MAXIMUM_WAIT_SHARE
        wait = share * target
        if not request.streamed:
            wait = min(wait, target - self._holding(request))
        of_deadline = share * (self._latest_start_for_deadline(request) - request.arrived_at)
        return request.arrived_at + min(max(wait, FINAL_DECISION_SHARE * target), of_deadline)

    def _latest_start_for_deadline(self, request: AdmissionRequest) -> float:
        """Return the latest start at which a request can be answered before its deadline."""
        return request.deadline_at - START_DEADLINE_RESERVE_SECONDS - self._holding(request)


def final_decision_at(request: AdmissionRequest) -> float:
    """Return when a queued request is either rejected or committed."""
    return request.arrived_at + FINAL_DECISION_SHARE * request.target_seconds
