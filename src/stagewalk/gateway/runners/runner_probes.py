"""Probes the runners of open batches that this node would take over first.

Owns the probe interval. Relies on `runner_calls` for the call, and on `batches.runner_liveness` for
what answers and failures mean.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc

from stagewalk.common.identities import Address
from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batches.runner_liveness import RunnerLiveness
from stagewalk.gateway.runners.runner_calls import RunnerClient

PROBE_INTERVAL_SECONDS = 0.4
"""Interval between two probes of one runner: probes detect a dead one sooner than the list of
nodes, which takes 3 s."""


class RunnerProbes:
    """Probes runners periodically.

    Parameters
    ----------
    targets
        Returns the processes to probe now, and the peer address of each one's node.
    wait_until_active
        Returns once this node follows the batches.
    """

    def __init__(
        self,
        calls: RunnerClient,
        liveness: RunnerLiveness,
        targets: Callable[[], dict[str, Address]],
        wait_until_active: Callable[[], Awaitable[None]],
    ) -> None:
        self._calls = calls
        self._liveness = liveness
        self._targets = targets
        self._wait_until_active = wait_until_active

    async def run(self) -> None:
        """Probe all targets again and again."""
        while True:
            await anyio.sleep(PROBE_INTERVAL_SECONDS)
            await self._wait_until_active()
            targets = self._targets()
            self._liveness.keep_only(set(targets))
            async with anyio.create_task_group() as tasks:
                for process, peer in targets.items():
                    tasks.start_soon(self._probe, process, peer)

    async def _probe(self, process: str, peer: Address) -> None:
        answer = await self._calls.ask(peer)
        now = steady_seconds()
        if answer is not None:
            self._liveness.record_answer(process, answer.process, now)
            return
        before = self._liveness.gone(process, now)
        self._liveness.record_failure(process, now)
        if self._liveness.gone(process, now) and not before:
            log_event("runner_silent", "warning", runner=process, peer=str(peer))
