"""Takes over batches whose runner is gone, and resumes those this node ran before a restart.

Owns the check intervals, and the choice of runners to probe. Relies on `batches.takeover` for which
batches to claim and when, on the batch store for the open ones, and on the runner to run them.
"""

from __future__ import annotations

import math

import anyio
import anyio.abc
import msgspec

from stagewalk.common.identities import Address
from stagewalk.common.logs.lines import log_event
from stagewalk.common.steady_clock import steady_seconds
from stagewalk.gateway.batch_service.batch_index import BatchIndex, BatchPlace
from stagewalk.gateway.batch_service.batch_store import BatchStore
from stagewalk.gateway.batches.batch import NO_RUNNER, Batch
from stagewalk.gateway.batches.records import BatchClaimed
from stagewalk.gateway.batches.takeover import (
    CLAIM_REPEAT_SECONDS,
    OpenBatch,
    RunnerState,
    Takeovers,
)
from stagewalk.gateway.nodes.identity import OwnIdentity, parse_process_id
from stagewalk.gateway.nodes.node_service import NodeService
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.runners.batch_runner import BatchRunner

ORPHAN_CHECK_INTERVAL_SECONDS = 0.1
"""Interval between checks for orphaned batches; less than the claim delay per rank (0.3 s)."""

IDLE_CHECK_INTERVAL_SECONDS = 1.0
"""The same for a node that doesn't follow the batches, and only drops old ones."""

READ_ATTEMPTS = 10
READ_RETRY_SECONDS = 0.1
"""Number of attempts to read the records of a batch that was run here, and the delay between them;
after that the node waits for its own view."""

PROBERS_PER_RUNNER = 2
"""How many nodes probe a batch's runner: the first in the order of takeover (docs/design/0110)."""


class TakeoverService:
    """Claims orphaned batches, and forgets those that ended long ago."""

    def __init__(
        self,
        *,
        identity: OwnIdentity,
        store: BatchStore,
        runner: BatchRunner,
        nodes: NodeService,
        open_batches: BatchIndex,
        policy: Policy,
    ) -> None:
        self._identity = identity
        self._store = store
        self._runner = runner
        self._nodes = nodes
        self._open_batches = open_batches
        self._policy = policy
        self._tasks: anyio.abc.TaskGroup | None = None
        self._takeovers = Takeovers(identity.node, nodes.runner_state)
        self._renewed_at: dict[str, float] = {}
        """When batches run here were last claimed again, by name (steady clock)."""

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the periodic check for orphaned and old batches."""
        self._tasks = tasks
        tasks.start_soon(self._supervise)

    async def _supervise(self) -> None:
        """Claim orphaned batches and drop old ones periodically."""
        while True:
            active = self._store.following or self._runner.busy
            await anyio.sleep(
                ORPHAN_CHECK_INTERVAL_SECONDS if active else IDLE_CHECK_INTERVAL_SECONDS
            )
            now = steady_seconds()
            self._renew_claims(now)
            may_run = not self._runner.stopping and self._nodes.may_hold_batches
            if may_run and self._store.following:
                self._claim_orphans(now)
            self._forget(now)

    def _forget(self, now: float) -> None:
        """Forget batches that ended long ago; one replica removes their index entries for all."""
        assert self._tasks is not None
        replicas = self._replicas()
        for name in self._store.ledger.forget(now):
            if self._takeovers.rank(name, NO_RUNNER, replicas) == 0:
                self._tasks.start_soon(self._open_batches.drop, name)

    async def resume_own_batches(self) -> bool:
        """Resume the batches of this node's previous process before the whole log is read.

        Returns
        -------
        bool
            Whether the index lists any open batch.
        """
        assert self._tasks is not None
        if not self._policy.resume_first:
            return False
        listed = await self._open_batches.list()
        places = {b: p for b, p in listed.default_value({}).items() if not p.ended}
        for batch, place in places.items():
            if self._ran_here_before(batch, place.runner):
                self._tasks.start_soon(self._resume, batch, place)
        return bool(places)

    def probe_targets(self) -> dict[str, Address]:
        """Return the runners that this node should probe, and their addresses."""
        targets: dict[str, Address] = {}
        probing = self._policy.probe_runners and self._store.following
        if self._runner.stopping or not probing:
            return targets
        replicas = self._replicas()
        for batch in self._store.ledger.open_batches():
            peer = self._nodes.peer_address_of(batch.runner)
            state = self._nodes.runner_state(batch.runner)
            rank = self._takeovers.rank(batch.header.batch, batch.runner, replicas)
            own = self._identity.names(batch.runner) or state is RunnerState.MINE_BEFORE
            if peer is not None and not own and rank < PROBERS_PER_RUNNER:
                targets[batch.runner] = peer
        return targets

    async def _resume(self, name: str, place: BatchPlace) -> None:
        """Resume a batch from its place; the view from there may lack the ends of other batches."""
        partial = self._store.read_from(place, self._runner.ahead_changed)
        for _ in range(READ_ATTEMPTS):
            if await partial.read():
                break
            await anyio.sleep(READ_RETRY_SECONDS)
        else:
            self._log_not_resumed(name, place, "its records can't be read")
            return
        batch = partial.complete_batch(name)
        if batch is None:
            self._log_not_resumed(name, place, "its place isn't that of its submission")
        elif not batch.open:
            self._log_not_resumed(name, place, "it has ended")
        elif not self._ran_here_before(name, batch.runner):
            self._log_not_resumed(name, place, f"{batch.runner} runs it")
        else:
            epoch = batch.epoch + 1
            self._claim(batch, RunnerState.MINE_BEFORE, place)
            self._runner.begin_ahead(batch, partial, epoch)

    @staticmethod
    def _log_not_resumed(batch: str, place: BatchPlace, cause: str) -> None:
        log_event(
            "batch_not_resumed",
            "warning",
            batch=batch,
            partition=place.partition,
            offset=place.offset,
            cause=cause,
        )

    def _ran_here_before(self, batch: str, runner: str) -> bool:
        """Whether a batch was assigned to a process of this node and isn't run here now.

        An earlier process may have had this one's incarnation, if it wasn't announced in time.
        """
        identity = parse_process_id(runner)
        own_node = identity is not None and identity.node == self._identity.node
        return own_node and not self._runner.runs(batch)

    def _renew_claims(self, now: float) -> None:
        """Claim the batches run here whose records name an earlier incarnation of this process.

        Other nodes take that one for a process that is gone, and would claim them.
        """
        batches = [] if self._runner.stopping else self._runner.current_views()
        outdated = {
            batch.header.batch: batch
            for batch in batches
            if self._identity.names(batch.runner) and batch.runner != str(self._identity)
        }
        for name in set(self._renewed_at) - set(outdated):
            del self._renewed_at[name]
        for name, batch in outdated.items():
            if now - self._renewed_at.get(name, -math.inf) >= CLAIM_REPEAT_SECONDS:
                self._renewed_at[name] = now
                self._claim(batch, RunnerState.RUNS)

    def _replicas(self) -> list[str]:
        return [node.node for node in self._nodes.replicas()]

    def _claim_orphans(self, now: float) -> None:
        batches = {b.header.batch: b for b in self._store.ledger.open_batches()}
        candidates = [
            OpenBatch(name, batch.runner, self._store.view_age(name, now))
            for name, batch in batches.items()
            if not self._runner.runs(name)
        ]
        for name in self._takeovers.decide(candidates, self._replicas(), now):
            self._claim(batches[name], self._nodes.runner_state(batches[name].runner))

    def _claim(self, batch: Batch, state: RunnerState, place: BatchPlace | None = None) -> None:
        name = batch.header.batch
        log_event(
            "batch_claimed",
            batch=name,
            from_runner=batch.runner,
            runner_state=state.name.lower(),
            epoch=batch.epoch + 1,
        )
        self._store.post(name, BatchClaimed(name, str(self._identity), batch.epoch + 1))
        if place is not None and self._tasks is not None:
            claimed = msgspec.structs.replace(place, runner=str(self._identity))
            self._tasks.start_soon(self._open_batches.record_place, name, claimed)
