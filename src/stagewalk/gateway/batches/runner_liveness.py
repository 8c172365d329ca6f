"""Decides from probes whether the process that runs a batch is gone or replaced. Pure.

The node list shows a dead process only after 3 s of silence. Nodes that would take a batch over
therefore probe its runner every 0.4 s (`runners.runner_probes`), to detect its failure sooner.
"""

from __future__ import annotations

from dataclasses import dataclass

PROBE_FAILURES_UNTIL_GONE = 2
MINIMUM_FAILING_SECONDS = 0.35
"""A process counts as gone after `PROBE_FAILURES_UNTIL_GONE` failed probes in a row that span at
least `MINIMUM_FAILING_SECONDS`; probes are 0.4 s apart."""

PROBE_VALID_SECONDS = 2.0
"""Responses and failures older than this, five probe intervals, are ignored."""


@dataclass(slots=True)
class _ProbeHistory:
    answered_as: str = ""
    answered_at: float = float("-inf")
    failures: int = 0
    failing_since: float = float("inf")
    failed_at: float = float("-inf")


class RunnerLiveness:
    """The latest probe results of each process. Times are of the monotonic clock, in seconds."""

    def __init__(self) -> None:
        self._history: dict[str, _ProbeHistory] = {}

    def record_answer(self, process: str, answered_as: str, now: float) -> None:
        """Record that a process's machine responded, and as which process."""
        self._history[process] = _ProbeHistory(answered_as, now)

    def record_failure(self, process: str, now: float) -> None:
        """Record that a process's machine did not respond."""
        known = self._history.setdefault(process, _ProbeHistory())
        if now - known.failed_at > PROBE_VALID_SECONDS:
            known.failures, known.failing_since = 0, now
        known.failures += 1
        known.failed_at = now

    def gone(self, process: str, now: float) -> bool:
        """Whether a process counts as gone because its machine doesn't respond to probes."""
        known = self._history.get(process)
        if known is None or now - known.failed_at > PROBE_VALID_SECONDS:
            return False
        spans = known.failed_at - known.failing_since >= MINIMUM_FAILING_SECONDS
        return known.failures >= PROBE_FAILURES_UNTIL_GONE and spans

    def replaced(self, process: str, now: float) -> bool:
        """Whether another process of the machine responded in its place."""
        known = self._history.get(process)
        if known is None or now - known.answered_at > PROBE_VALID_SECONDS:
            return False
        return known.answered_as != process

    def keep_only(self, processes: set[str]) -> None:
        """Drop the results of all other processes."""
        for process in set(self._history) - processes:
            del self._history[process]
