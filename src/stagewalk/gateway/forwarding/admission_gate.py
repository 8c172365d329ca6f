"""Queues forwarded requests until their service has capacity, or rejects them.

The asynchronous part of `admission`: it wakes queued requests, reports the outcomes of started ones
and logs each decision. Each service whose workers report a pace has a `ServiceAdmission`, which
makes the decisions; requests to other services pass at once.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.admission.decisions import Admitted, Rejection, WaitEstimate
from stagewalk.gateway.admission.fair_queue import AdmissionRequest, QueueEntry
from stagewalk.gateway.admission.service_admission import ServiceAdmission
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.workers.worker import Worker

REPORTS_VALID_SECONDS = 10.0
"""Requests to a service pass at once if its workers have reported no pace for this long."""

ServiceWorkers = Callable[[str], Sequence[Worker]]
"""Returns the workers of a service that may get new work."""


class AdmissionListener(Protocol):
    """Called for each decision about a request."""

    def request_admitted(self, wait_seconds: float) -> None:
        """Handle a request that was admitted after `wait_seconds`."""

    def request_rejected(self, reason: str) -> None:
        """Handle a request that was rejected."""


class _NoListener:
    def request_admitted(self, wait_seconds: float) -> None:
        pass

    def request_rejected(self, reason: str) -> None:
        pass


@dataclass(slots=True)
class _Service:
    """Admission control of one service, and the events that wake its queued requests."""

    name: str
    core: ServiceAdmission
    reported_at: float
    """When one of its workers last reported a pace."""
    woken: dict[QueueEntry, anyio.Event] = field(default_factory=dict)

    def wake_started(self, now: float) -> None:
        """Wake the queued requests that may start now."""
        if self.core.waiting:
            for waiting in self.core.start_due(now):
                self.woken[waiting].set()


@dataclass(slots=True, eq=False)
class AdmittedPlace:
    """An admitted request's place within its service's concurrency limit, until it is released."""

    service: _Service
    route: str
    since: float
    queued: QueueEntry | None = None
    """Its entry in the queue; None if it was admitted on arrival."""

    def release(self, *, ran: bool) -> None:
        """Release the place, and wake the requests that may start now.

        Parameters
        ----------
        ran
            Whether a worker ran the request; only then is its duration recorded.
        """
        now = steady_seconds()
        if ran:
            self.service.core.note_holding_time(self.route, now - self.since)
        self.service.core.release()
        self.service.wake_started(now)

    def may_hedge(self) -> bool:
        """Whether the service has capacity for a hedged attempt."""
        return self.service.core.may_hedge(steady_seconds())


@dataclass(frozen=True, slots=True)
class AttemptOutcome:
    """Outcome of an attempt, as input of the concurrency limit.

    Attributes
    ----------
    load
        Load that the worker reported with its answer or refusal, None if it reported none.
    refused
        Whether the worker said that it did not run the request.
    seconds
        Time to a complete answer; None for streams and failures.
    """

    load: WorkerLoad | None
    refused: bool = False
    seconds: float | None = None


class AdmissionGate:
    """Admission control of forwarded requests, by service.

    Parameters
    ----------
    enabled
        If false, all requests pass at once.
    """

    def __init__(
        self,
        workers: ServiceWorkers,
        rng: random.Random,
        listener: AdmissionListener | None = None,
        *,
        enabled: bool = True,
    ) -> None:
        self._workers = workers
        self._rng = rng
        self._listener = listener or _NoListener()
        self._enabled = enabled
        self._stopping = False
        self._services: dict[str, _Service] = {}

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(service.core.waiting for service in self._services.values())

    async def enter(self, name: str, request: AdmissionRequest) -> AdmittedPlace | Rejection | None:
        """Wait until a request is admitted or rejected.

        Returns
        -------
        AdmittedPlace, Rejection or None
            None if the service has no admission control. If the call is cancelled, the request
            gives up its place or leaves the queue.
        """
        service, now = self._services.get(name), steady_seconds()
        if service is None or now - service.reported_at > REPORTS_VALID_SECONDS:
            return None
        decision = service.core.offer(request, now)
        if isinstance(decision, Rejection):
            self._log_rejection(service, request, decision, now)
            return decision
        queued: QueueEntry | None = None
        if not isinstance(decision, Admitted):
            queued = decision.waiting
            _log_queued(service, request, decision.wait_estimate)
            rejection = await self._wait(service, queued)
            if rejection is not None:
                return rejection
        began = steady_seconds()
        self._listener.request_admitted(began - now)
        return AdmittedPlace(service, request.route, began, queued)

    async def reenter(self, place: AdmittedPlace) -> AdmittedPlace | Rejection | None:
        """Wait again with a request that full workers refused, if it is committed.

        Returns
        -------
        AdmittedPlace, Rejection or None
            None if it is not committed, or its time is over: it keeps its place. Otherwise the
            place is given up, as it is if the call is cancelled.
        """
        service, queued = place.service, place.queued
        if queued is None or not service.core.requeue(queued, steady_seconds()):
            return None
        log_event(
            "request_requeued",
            request=queued.request.request_id,
            service=service.name,
            retry_seconds=queued.retry_seconds,
            waited_seconds=steady_seconds() - queued.request.arrived_at,
        )
        rejection = await self._wait(service, queued)
        if rejection is not None:
            return rejection
        return AdmittedPlace(service, place.route, steady_seconds(), queued)

    def record_outcome(self, name: str, outcome: AttemptOutcome) -> None:
        """Update a service's concurrency limit with the outcome of an attempt."""
        if not self._enabled:
            return
        now, load = steady_seconds(), outcome.load
        service = self._services.get(name)
        if load is not None and load.pace is not None:
            if service is None:
                service = self._services[name] = self._open(name)
            service.reported_at = now
        if service is None:
            return
        core = service.core
        full = load is None or load.running + load.waiting >= load.slots
        if outcome.refused and full:
            core.limit.record_refused(core.in_flight, now)
        elif not outcome.refused and load is not None:
            seconds = outcome.seconds
            if seconds is not None and load.pace:
                seconds /= load.pace
            queued = load.waiting / max(1, load.slots)
            core.limit.record_answered(seconds, queued, core.in_flight, now)

    def retry_after(self, name: str, request: AdmissionRequest) -> float | None:
        """Return the retry delay for a request that only full workers refused.

        Returns
        -------
        float or None
            In seconds; None for the default.
        """
        service, now = self._services.get(name), steady_seconds()
        if service is None or now - service.reported_at > REPORTS_VALID_SECONDS:
            return None
        return service.core.retry_after(request, now)

    def stop(self) -> None:
        """Reject queued requests, and begin to reject new ones that can't start at once.

        Must be called before the listeners close, so that callers get the rejections.
        """
        self._stopping = True
        for service in self._services.values():
            service.core.stop()
            for event in service.woken.values():
                event.set()

    def _open(self, name: str) -> _Service:
        core = ServiceAdmission(lambda: self._workers(name), self._rng)
        if self._stopping:
            core.stop()
        return _Service(name, core, steady_seconds())

    async def _wait(self, service: _Service, waiting: QueueEntry) -> Rejection | None:
        """Wait until a queued request starts or is rejected."""
        request, core = waiting.request, service.core
        woken = service.woken[waiting] = anyio.Event()
        try:
            while True:
                now = steady_seconds()
                service.wake_started(now)
                if waiting.started:
                    return None
                rejection = core.recheck(waiting, now)
                if rejection is not None:
                    self._log_rejection(service, request, rejection, now)
                    return rejection
                with anyio.move_on_after(core.seconds_until_recheck(waiting, now)):
                    await woken.wait()
        except BaseException:
            core.withdraw(waiting)
            service.wake_started(steady_seconds())
            raise
        finally:
            del service.woken[waiting]

    def _log_rejection(
        self, service: _Service, request: AdmissionRequest, rejection: Rejection, now: float
    ) -> None:
        self._listener.request_rejected(rejection.reason.value)
        log_event(
            "request_rejected",
            "warning",
            reason=rejection.reason,
            waited_seconds=now - request.arrived_at,
            retry_after_seconds=rejection.retry_after_seconds,
            **_fields(service, request, rejection.wait_estimate),
        )


def _log_queued(service: _Service, request: AdmissionRequest, expected: WaitEstimate) -> None:
    log_event("request_queued", "info", **_fields(service, request, expected))


def _fields(
    service: _Service, request: AdmissionRequest, expected: WaitEstimate
) -> dict[str, str | int | float]:
    """Return the log fields that show what a decision was based on."""
    return {
        "request": request.request_id,
        "service": service.name,
        "route": request.route,
        "tenant": request.tenant,
        "urgency": request.urgency,
        "ahead": expected.ahead,
        "ahead_of_tenant": expected.ahead_of_tenant,
        "expected_seconds": expected.wait_seconds,
        "allowed_seconds": expected.allowed_seconds,
        "in_flight": expected.in_flight,
        "limit": expected.limit,
    }
