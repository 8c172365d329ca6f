"""Assigns a batch that is in the log to its runner, and accepts batches assigned to this process.

Owns which place of a batch is written to the batch index, and by which node. Relies on
`runner_calls` to notify the runner, on `batch_index` for the places, and on the batch store and the
runner for batches accepted here.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import anyio.abc
from expression import Result

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchIndex, BatchPlace
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batches.records import BatchEnded, BatchHeader
from stagewalk.gateway.nodes.identity import OwnIdentity
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.ports.partitioned_log import LogFailure
from stagewalk.gateway.runners.batch_runner import BatchRunner
from stagewalk.gateway.runners.runner_calls import RunnerClient
from stagewalk.gateway.runners.runner_messages import RunBatch

RUNNER_INDEX_TIMEOUT_SECONDS = 0.2
"""How long the node that accepted a submission waits for the runner to index the batch's place,
before it indexes one itself; the runner needs two calls to the log and one between nodes, some
15 ms."""


@dataclass(slots=True)
class _Notification:
    """Outcome of notifying a runner of its batch."""

    noted: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)


class BatchAssignments:
    """Notifies runners of their batches, and accepts the batches of this process."""

    def __init__(
        self,
        *,
        identity: OwnIdentity,
        nodes: NodeService,
        store: BatchStore,
        runner: BatchRunner,
        calls: RunnerClient,
        open_batches: BatchIndex,
        policy: Policy,
    ) -> None:
        self._identity = identity
        self._nodes = nodes
        self._store = store
        self._runner = runner
        self._calls = calls
        self._open_batches = open_batches
        self._policy = policy
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run notifications in a task group from now on."""
        self._tasks = tasks

    async def known_place(self, batch: str) -> Result[BatchPlace | None, LogFailure]:
        """Return the place of a batch that was submitted before, perhaps at another node."""
        return await self._open_batches.find(batch)

    async def notify(self, process: str, header: BatchHeader, offset: int) -> None:
        """Notify the process that is to run a batch, and index where the batch's records begin.

        The batch may have been submitted at another node before, or even have ended: then its
        records begin before this submission, and its index entry stays.
        """
        assert self._tasks is not None
        batch = header.batch
        found = await self._open_batches.find(batch)
        if found.is_error():
            # The batch may begin before this submission, so a view read from here on may be
            # incomplete: the runner waits until its own view of the log shows the batch.
            return
        known = found.ok
        if known is not None and (known.ended or known.offset <= offset):
            self._handle_resubmission(batch, known, offset)
            return
        place = BatchPlace(self._store.partition(batch), offset, process, tenant=header.tenant)
        notification = _Notification()
        run = RunBatch(batch, place.partition, offset)
        self._tasks.start_soon(self._notify_runner, process, run, notification)
        with anyio.move_on_after(RUNNER_INDEX_TIMEOUT_SECONDS):
            await notification.done.wait()
        if not notification.noted:
            await self._open_batches.record_place(batch, place)

    def _handle_resubmission(self, batch: str, known: BatchPlace, offset: int) -> None:
        log_event(
            "batch_resubmitted",
            batch=batch,
            offset=offset,
            first_offset=known.offset,
            ended=known.ended,
        )
        if known.ended:
            # Also shows the end to a node that reads the log from between the end and here on.
            self._store.post(batch, BatchEnded(batch))

    async def _notify_runner(
        self, process: str, run: RunBatch, notification: _Notification
    ) -> None:
        """Notify a process of its batch; it indexes the batch's place if its view is complete."""
        peer = self._nodes.peer_address_of(process)
        if self._identity.names(process):
            notification.noted = await self.accept(run)
        elif peer is not None and self._policy.ask_runner:
            answer = await self._calls.notify(peer, run)
            if answer is None:
                log_event("runner_notify_failed", "warning", batch=run.batch, peer=str(peer))
            notification.noted = answer is not None and answer.noted
        notification.done.set()

    async def accept(self, run: RunBatch) -> bool:
        """Run a batch that was assigned to this process, even if its view of the log is behind.

        Returns
        -------
        bool
            Whether the place where the batch's records begin was indexed.
        """
        now = steady_seconds()
        followed = self._store.is_current(run.batch, now)
        log_event(
            "batch_assigned",
            batch=run.batch,
            offset=run.offset,
            followed=followed,
            view_age=self._store.view_age(run.batch, now),
        )
        if followed:
            await self._store.catch_up(run.batch)
            return await self._index_certain_place(run)
        place = BatchPlace(run.partition, run.offset, str(self._identity))
        partial = self._store.read_from(place, self._runner.ahead_changed)
        if not await partial.read():
            log_event("partial_read_failed", "warning", batch=run.batch, offset=run.offset)
            return False
        batch = partial.complete_batch(run.batch)
        if batch is not None and self._identity.names(batch.runner):
            self._runner.begin_ahead(batch, partial, batch.epoch)
        return False

    async def _index_certain_place(self, run: RunBatch) -> bool:
        """Index where a batch begins, if this node's view holds all records it ever had."""
        batch = self._store.ledger.get(run.batch)
        offset = self._store.first_offset(run.batch, steady_seconds())
        if batch is None or offset is None or batch.ended:
            return False
        tenant = batch.header.tenant
        place = BatchPlace(run.partition, offset, batch.runner, tenant=tenant, certain=True)
        return await self._open_batches.record_place(run.batch, place)
