"""Moves items away from engines that are silent, in an evacuated zone, or slower than others.

Holds no state; `attempt_watch` judges each attempt. Another engine resumes an item after the last
event received.
"""

from __future__ import annotations

from stagewalk.gateway.batches.attempt_starter import AttemptStarter
from stagewalk.gateway.batches.attempt_watch import AttemptWatch
from stagewalk.gateway.batches.attempts import RunningAttempts
from stagewalk.gateway.batches.messages import SchedulerInstruction
from stagewalk.gateway.policy import Policy
from stagewalk.gateway.scoring.core import MayStart
from stagewalk.gateway.workers.table import WorkerTable


class ItemMoves:
    """Stops attempts whose items should run at another engine.

    Parameters
    ----------
    may_start
        Whether items of a batch may be sent to workers; items that couldn't restart aren't moved.
    """

    def __init__(
        self,
        attempts: RunningAttempts,
        workers: WorkerTable,
        watch: AttemptWatch,
        starter: AttemptStarter,
        *,
        policy: Policy,
        may_start: MayStart,
    ) -> None:
        self._attempts = attempts
        self._workers = workers
        self._watch = watch
        self._starter = starter
        self._policy = policy
        self._may_start = may_start

    def abandon_silent(self, now: float) -> list[SchedulerInstruction]:
        """Stop attempts whose event timeout has passed, and record a failure of their workers."""
        instructions: list[SchedulerInstruction] = []
        for running in self._attempts:
            run, item = running.run, running.item
            if item.running is None or not self._watch.is_silent(run.batch, item, now):
                continue
            worker = self._workers.worker(item.running.worker)
            if worker is not None:
                worker.record_failure(now)
            instructions.append(self._attempts.abandon(item, "silent", now))
        return instructions

    def abandon_evacuated(self, now: float) -> list[SchedulerInstruction]:
        """Move items out of zones being evacuated; the next attempt begins at once."""
        instructions: list[SchedulerInstruction] = []
        if not self._watch.evacuating:
            return instructions
        for running in self._attempts:
            run, item = running.run, running.item
            if item.running is None or not self._may_start(run.name, now):
                continue
            if self._watch.should_evacuate(run.batch, item, now):
                instructions.append(self._attempts.abandon(item, "zone evacuated", now))
                instructions += self._starter.start(run, item, now)
        return instructions

    def abandon_slow(self, now: float) -> list[SchedulerInstruction]:
        """Stop attempts whose items would finish considerably earlier at another engine."""
        instructions: list[SchedulerInstruction] = []
        if not self._policy.moves:
            return instructions
        for running in self._attempts:
            run, item = running.run, running.item
            if item.running is None or not self._may_start(run.name, now):
                continue
            if self._watch.faster_elsewhere(run.batch, item, now):
                instructions.append(self._attempts.abandon(item, "faster elsewhere", now))
                item.not_before = now
                item.moved_at = now
        return instructions
