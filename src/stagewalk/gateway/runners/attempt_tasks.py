"""Runs each attempt in a task that can be cancelled by the attempt's number.

Owns one cancel scope per attempt. Relies on the task group it is started in. An attempt that is
cancelled reports nothing: the scheduler asked for it. An exception of an attempt ends that attempt
alone; the task group is shared with tasks that keep the process alive.
"""

from __future__ import annotations

import traceback
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from stagewalk.common.logs.lines import log_event
from stagewalk.gateway.batches.messages import AttemptRaised, SchedulerEvent


class AttemptTasks:
    """Runs attempts.

    Parameters
    ----------
    report
        Called with the event that ends an attempt.
    on_raised
        Called for each attempt that ended with an exception.
    """

    def __init__(
        self,
        report: Callable[[SchedulerEvent], None],
        on_raised: Callable[[], None] = lambda: None,
    ) -> None:
        self._report = report
        self._on_raised = on_raised
        self._tasks: anyio.abc.TaskGroup | None = None
        self._scopes: dict[int, anyio.CancelScope] = {}

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run attempts in a task group from now on."""
        self._tasks = tasks

    def begin(
        self, attempt: int, request_id: str, run: Callable[[], Awaitable[SchedulerEvent]]
    ) -> None:
        """Start an attempt at an item or a score call in the background."""
        assert self._tasks is not None
        scope = anyio.CancelScope()
        self._scopes[attempt] = scope
        self._tasks.start_soon(self._run, attempt, request_id, run, scope)

    def cancel(self, attempt: int) -> bool:
        """Cancel an attempt; return whether it was under way."""
        scope = self._scopes.pop(attempt, None)
        if scope is None:
            return False
        scope.cancel()
        return True

    async def _run(
        self,
        attempt: int,
        request_id: str,
        run: Callable[[], Awaitable[SchedulerEvent]],
        scope: anyio.CancelScope,
    ) -> None:
        event: SchedulerEvent
        with scope:
            try:
                event = await run()
            except Exception as error:
                event = AttemptRaised(attempt)
                self._on_raised()
                trace = "".join(traceback.format_exception(error))
                log_event(
                    "attempt_raised", "error", request=request_id, attempt=attempt, trace=trace
                )
        if not scope.cancelled_caught:
            self._scopes.pop(attempt, None)
            self._report(event)
