"""Requests scores for items whose text is complete. Pure.

Holds no state: calls belong to `scoring.core` and items to the scheduler. Text and score are
written as one record, because a result without its score must not appear in the log and a result's
position must not change (docs/design/0110).
"""

from __future__ import annotations

from collections.abc import Mapping

from stagewalk.gateway.batches.batch_run import BatchRun
from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.messages import RecordItem, SchedulerInstruction
from stagewalk.gateway.scoring.core import RouteLookup, ScoreCalls, ScoreOutcome
from stagewalk.gateway.scoring.messages import ScoreAnswered, ScoreAttemptFailed, StopScore

PUBLISH_UNSCORED_SECONDS = 0.3
"""A complete text that waits longer than this for its score is published as progress, so that a
node that takes over needs only the score. Most scores arrive sooner (95% within 0.092 s, see
docs/design/0162) and save the extra record."""


class ItemScores:
    """The pending scores of a scheduler's items.

    Parameters
    ----------
    calls
        Decides the attempts at score calls.
    runs
        The batches being run, by name.
    route_of
        Finds the route of an item.
    """

    def __init__(
        self, calls: ScoreCalls, runs: Mapping[str, BatchRun], route_of: RouteLookup
    ) -> None:
        self._calls = calls
        self._runs = runs
        self._route_of = route_of

    @property
    def pending(self) -> int:
        """Return the number of items that wait for their score."""
        return self._calls.pending

    def text_completed(
        self, run: BatchRun, item: ItemRun, now: float, score: str = ""
    ) -> list[SchedulerInstruction]:
        """Record an item whose text is complete, or begin to score it.

        Parameters
        ----------
        score
            The score, if it is already known.
        """
        call = item.spec.score_call
        if call is None or score:
            return [run.finish(item, score)]
        route = self._route_of(run.batch.header.host, item.spec.path)
        attempts = 1 if route is None else route.maximum_attempts
        item.scoring_since = now
        self._calls.begin(
            run.name,
            item.spec.item,
            call,
            attempts,
            item.score_failures,
            tenant=run.batch.header.tenant,
        )
        return self.due(now)

    def drop(self, batch: str, item: str, reason: str) -> list[StopScore]:
        """Stop waiting for an item's score."""
        return self._calls.drop(batch, item, reason)

    def due(self, now: float) -> list[SchedulerInstruction]:
        """Return the calls to make now."""
        return [*self._calls.due(now)]

    def handle(
        self, event: ScoreAnswered | ScoreAttemptFailed, now: float
    ) -> list[SchedulerInstruction]:
        """Handle the end of an attempt at a call."""
        if isinstance(event, ScoreAttemptFailed):
            self._calls.broken(event, now)
            return self.due(now)
        result, stops = self._calls.answered(event, now)
        instructions: list[SchedulerInstruction] = [*stops]
        run = None if result is None else self._runs.get(result.batch)
        item = None if run is None or result is None else run.items.get(result.item)
        if result is not None and run is not None and item is not None:
            item.score_failures = result.failures
            if result.outcome is ScoreOutcome.SCORED:
                instructions.append(run.finish(item, result.score))
            elif result.outcome is ScoreOutcome.FAILED:
                instructions.append(run.fail(item))
        return [*instructions, *self.due(now)]

    def raised(self, attempt: int) -> list[SchedulerInstruction]:
        """Fail the item whose score call ended with an exception of this process."""
        result, stops = self._calls.raised(attempt)
        run = None if result is None else self._runs.get(result.batch)
        item = None if run is None or result is None else run.items.get(result.item)
        return [*stops] if run is None or item is None else [*stops, run.fail(item)]

    def publish_overdue(self, now: float) -> list[RecordItem]:
        """Publish complete texts that have waited too long for their score."""
        if not self.pending:
            return []
        return [
            run.progress(item)
            for run in self._runs.values()
            for item in run.unpublished
            if item.scoring_since is not None
            and now - item.scoring_since > PUBLISH_UNSCORED_SECONDS
        ]
