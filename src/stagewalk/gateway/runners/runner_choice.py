"""Chooses who runs a batch that is handed in here, and makes sure that it knows.

A node that the list of nodes still names may be gone; so it is asked first, and told where the
batch is once that is in the log.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import anyio
import anyio.abc
from expression import Result

from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batch_service.open_batches import BatchPlace, OpenBatches
from stagewalk.gateway.batches.ledger import NOBODY
from stagewalk.gateway.batches.records import BatchEnded, BatchHeader
from stagewalk.gateway.batches.takeover import affinity
from stagewalk.gateway.directory.node_table import NodeAnnouncement
from stagewalk.gateway.nodes.identity import ProcessId, parse_process_id
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.peer_calls.client import PeerClient
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.ports.partitioned_log import LogFailure
from stagewalk.gateway.runners.batch_runner import BatchRunner
from stagewalk.gateway.runners.runner_calls import RunnerCalls
from stagewalk.gateway.runners.runner_messages import RunBatch, RunnerAnswer

NODES_ASKED = 2
NOTED_SECONDS = 0.2
"""How long whoever took a batch waits until its runner has noted the place, before it notes one
itself: two calls of the log and one between nodes take some 15 ms."""


@dataclass(slots=True)
class _HandOver:
    """What became of telling a runner of its batch."""

    noted: bool = False
    done: anyio.Event = field(default_factory=anyio.Event)


class RunnerChoice:
    """Asks nodes to run batches, and is asked."""

    def __init__(
        self,
        *,
        identity: ProcessId,
        nodes: NodeService,
        store: BatchStore,
        runner: BatchRunner,
        client: PeerClient,
        open_batches: OpenBatches,
        policy: Policy,
    ) -> None:
        self._identity = identity
        self._nodes = nodes
        self._store = store
        self._runner = runner
        self._open_batches = open_batches
        self._policy = policy
        self.calls = RunnerCalls(client, self._describe, self._accept)
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Have calls made in a task group from now on."""
        self._tasks = tasks

    async def choose(self, header: BatchHeader) -> str | None:
        """Return the process that is to run a batch which is handed in here now.

        None if no node that may hold it is known to live; `NOBODY` leaves it to whoever claims it.

        All batches of one trainer go to the same node while it lives: it has connections to the
        engines open already, and sees all of the trainer's load. Where that node runs items of
        other trainers, the next one is asked as well, and the less busy of the two is taken.
        """
        trainer = header.trainer
        ranked = sorted(self._nodes.replicas(), key=lambda node: affinity(trainer, node.node))
        answers: list[RunnerAnswer] = []
        for node in ranked[:NODES_ASKED]:
            answer = await self._ask(node, trainer)
            if answer is None:
                continue
            answers.append(answer)
            if answer.other_items == 0 or not self._policy.spread_trainers:
                break
        if answers:
            return min(answers, key=lambda answer: answer.other_items).process
        if not self._nodes.may_hold_batches:
            return NOBODY if ranked else None
        return NOBODY if self._runner.stopping else str(self._identity)

    async def known_place(self, batch: str) -> Result[BatchPlace | None, LogFailure]:
        """Return the place of a batch that was handed in before, maybe at another node."""
        return await self._open_batches.find(batch)

    async def notify(self, process: str, header: BatchHeader, offset: int) -> None:
        """Tell the process that is to run a batch where its records begin, and note that.

        The batch may have been handed in at another node before, or even have ended: then its
        records begin before this submission, and what is noted stays.
        """
        assert self._tasks is not None
        batch = header.batch
        found = await self._open_batches.find(batch)
        if found.is_error():
            # From this submission on the log may show less than the whole batch: its runner waits
            # until it has read all.
            return
        known = found.ok
        if known is not None and (known.ended or known.offset <= offset):
            log_event(
                "batch_resubmitted",
                batch=batch,
                offset=offset,
                first_offset=known.offset,
                ended=known.ended,
            )
            if known.ended:
                # Whoever reads the log from between the end and this submission sees an end too.
                self._store.post(batch, BatchEnded(batch))
            return
        place = BatchPlace(self._store.partition(batch), offset, process, tenant=header.tenant)
        hand_over = _HandOver()
        self._tasks.start_soon(
            self._hand_over, process, RunBatch(batch, place.partition, offset), hand_over
        )
        with anyio.move_on_after(NOTED_SECONDS):
            await hand_over.done.wait()
        if not hand_over.noted:
            await self._open_batches.note(batch, place)

    async def _hand_over(self, process: str, run: RunBatch, hand_over: _HandOver) -> None:
        """Have a process run a batch; it notes the batch's place if its view tells that."""
        peer = self._nodes.peer_of(process)
        if process == str(self._identity):
            hand_over.noted = await self._accept(run)
        elif peer is not None and self._policy.ask_runner:
            answer = await self.calls.notify(peer, run)
            if answer is None:
                log_event("runner_notify_failed", "warning", batch=run.batch, peer=str(peer))
            hand_over.noted = answer is not None and answer.noted
        hand_over.done.set()

    async def _ask(self, node: NodeAnnouncement, trainer: str) -> RunnerAnswer | None:
        """Return a node's answer if it is willing to run a trainer's batch."""
        if node.node == self._identity.node:
            return None if self._runner.stopping else self._describe(trainer)
        if node.peer_address is None or not self._policy.ask_runner:
            return RunnerAnswer(str(ProcessId(node.node, node.incarnation)), willing=True)
        answer = await self.calls.ask(node.peer_address, trainer)
        if answer is None or not answer.willing:
            log_event("runner_declined", "warning", runner=node.node, answered=answer is not None)
            return None
        identity = parse_process_id(answer.process)
        return answer if identity is not None and identity.node == node.node else None

    def _describe(self, trainer: str) -> RunnerAnswer:
        willing = not self._runner.stopping and self._nodes.known
        return RunnerAnswer(str(self._identity), willing, self._runner.items_of_others(trainer))

    async def _accept(self, run: RunBatch) -> bool:
        """Read of a batch that this process is to run, without waiting for the log to wake it.

        Returns
        -------
        bool
            Whether the place where the batch's records begin was noted.
        """
        now = steady_seconds()
        followed = self._store.followed(run.batch, now)
        log_event(
            "batch_assigned",
            batch=run.batch,
            offset=run.offset,
            followed=followed,
            view_age=self._store.view_age(run.batch, now),
        )
        if followed:
            await self._store.catch_up(run.batch)
            return await self._note_certain(run)
        place = BatchPlace(run.partition, run.offset, str(self._identity))
        partial = self._store.read_from(place, self._runner.ahead_changed)
        if not await partial.read():
            log_event("partial_read_failed", "warning", batch=run.batch, offset=run.offset)
            return False
        batch = partial.whole(run.batch)
        if batch is not None and batch.runner == str(self._identity):
            self._runner.begin_ahead(batch, partial, batch.epoch)
        return False

    async def _note_certain(self, run: RunBatch) -> bool:
        """Note where a batch begins, if this node's view holds all that there ever was of it."""
        batch = self._store.ledger.get(run.batch)
        offset = self._store.first_offset(run.batch, steady_seconds())
        if batch is None or offset is None or batch.ended:
            return False
        tenant = batch.header.tenant
        place = BatchPlace(run.partition, offset, batch.runner, tenant=tenant, certain=True)
        return await self._open_batches.note(run.batch, place)
