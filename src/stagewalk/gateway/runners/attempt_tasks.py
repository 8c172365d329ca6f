"""Runs each attempt in a task that can be cancelled by the attempt's number.

Owns one cancel scope per attempt. Relies on the task group it is started in. An attempt that is
cancelled reports nothing: the scheduler asked for it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from stagewalk.gateway.batches.messages import SchedulerEvent


class AttemptTasks:
    """Runs attempts.

    Parameters
    ----------
    report
        Called with the event that ends an attempt.
    """

    def __init__(self, report: Callable[[SchedulerEvent], None]) -> None:
        self._report = report
        self._tasks: anyio.abc.TaskGroup | None = None
        self._scopes: dict[int, anyio.CancelScope] = {}

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run attempts in a task group from now on."""
        self._tasks = tasks

    def begin(self, attempt: int, run: Callable[[], Awaitable[SchedulerEvent]]) -> None:
        """Start an attempt in the background."""
        assert self._tasks is not None
        scope = anyio.CancelScope()
        self._scopes[attempt] = scope
        self._tasks.start_soon(self._run, attempt, run, scope)

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
        run: Callable[[], Awaitable[SchedulerEvent]],
        scope: anyio.CancelScope,
    ) -> None:
        with scope:
            event = await run()
        if not scope.cancelled_caught:
            self._scopes.pop(attempt, None)
            self._report(event)
