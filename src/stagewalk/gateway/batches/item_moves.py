"""Moves items away from engines that are silent, in an evacuated zone, or slower than others.

Owns no state. Relies on `attempt_watch` for the judgement of each attempt and its thresholds, and
on `placement` behind it; with what was made so far, any engine goes on.
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
    """Stops attempts whose items are better off elsewhere.

    Parameters
    ----------
    may_start
        Whether items of a batch may be sent to workers: what could not start again stays.
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

    def leave_silent(self, now: float) -> list[SchedulerInstruction]:
        """Stop attempts that have brought nothing for too long, and suspect their workers."""
        instructions: list[SchedulerInstruction] = []
        for running in self._attempts:
            run, item = running.run, running.item
            if item.running is None or not self._watch.silent(run.batch, item, now):
                continue
            worker = self._workers.worker(item.running.worker)
            if worker is not None:
                worker.record_failure(now)
            instructions.append(self._attempts.leave(item, "silent", now))
        return instructions

    def leave_evacuated(self, now: float) -> list[SchedulerInstruction]:
        """Move items whose engine is in a zone being evacuated: the next attempt begins at once."""
        instructions: list[SchedulerInstruction] = []
        if not self._watch.evacuating:
            return instructions
        for running in self._attempts:
            run, item = running.run, running.item
            if item.running is None or not self._may_start(run.name, now):
                continue
            if self._watch.evacuated(run.batch, item, now):
                instructions.append(self._attempts.leave(item, "zone evacuated", now))
                instructions += self._starter.start(run, item, now)
        return instructions

    def leave_slow(self, now: float) -> list[SchedulerInstruction]:
        """Stop attempts whose items would be done well before at another engine."""
        instructions: list[SchedulerInstruction] = []
        if not self._policy.moves:
            return instructions
        for running in self._attempts:
            run, item = running.run, running.item
            if item.running is None or not self._may_start(run.name, now):
                continue
            if self._watch.faster_elsewhere(run.batch, item, now):
                instructions.append(self._attempts.leave(item, "faster elsewhere", now))
                item.not_before = now
                item.moved_at = now
        return instructions
