"""What direct questions tell of the processes that run batches. Pure.

The list of nodes tells of a dead process only seconds later. Nodes that would take a batch over
ask its runner now and then: one that stops answering is gone well before that.
"""

from __future__ import annotations

from dataclasses import dataclass

FAILURES = 2
LEAST_SPAN_SECONDS = 0.35
"""A process is gone that failed to answer so often in a row, over so long a time at least."""

EVIDENCE_SECONDS = 2.0
"""Answers and failures older than this tell nothing."""


@dataclass(slots=True)
class _Evidence:
    answered_as: str = ""
    answered_at: float = float("-inf")
    failures: int = 0
    failing_since: float = float("inf")
    failed_at: float = float("-inf")


class RunnerLiveness:
    """Keeps what the last questions to each process brought. Times are of the steady clock."""

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}

    def note_answer(self, process: str, answered_as: str, now: float) -> None:
        """Note that a process's machine answered, and as which process."""
        self._evidence[process] = _Evidence(answered_as, now)

    def note_failure(self, process: str, now: float) -> None:
        """Note that a process's machine did not answer."""
        known = self._evidence.setdefault(process, _Evidence())
        if now - known.failed_at > EVIDENCE_SECONDS:
            known.failures, known.failing_since = 0, now
        known.failures += 1
        known.failed_at = now

    def gone(self, process: str, now: float) -> bool:
        """Whether a process is gone for all that its machine's silence tells."""
        known = self._evidence.get(process)
        if known is None or now - known.failed_at > EVIDENCE_SECONDS:
            return False
        spans = known.failed_at - known.failing_since >= LEAST_SPAN_SECONDS
        return known.failures >= FAILURES and spans

    def replaced(self, process: str, now: float) -> bool:
        """Whether another process answered in its place."""
        known = self._evidence.get(process)
        if known is None or now - known.answered_at > EVIDENCE_SECONDS:
            return False
        return known.answered_as != process

    def keep_only(self, processes: set[str]) -> None:
        """Forget all other processes."""
        for process in set(self._evidence) - processes:
            del self._evidence[process]
