"""Decides from probes whether the process that runs a batch is gone or replaced. Pure.

Owns the last answers and failures of each process probed. The list of nodes shows a dead process
only after 3 s of silence; nodes that would take a batch over probe its runner every 0.4 s
(`runners.runner_probes`), so that one that stops answering is known to be gone well before that.
"""

from __future__ import annotations

from dataclasses import dataclass

PROBE_FAILURES_UNTIL_GONE = 2
MINIMUM_FAILING_SECONDS = 0.35
"""A process is gone that failed to answer so often in a row, over so long a time at least: two
probes are 0.4 s apart."""

PROBE_VALID_SECONDS = 2.0
"""Answers and failures older than this are ignored: five probes."""


@dataclass(slots=True)
class _Evidence:
    answered_as: str = ""
    answered_at: float = float("-inf")
    failures: int = 0
    failing_since: float = float("inf")
    failed_at: float = float("-inf")


class RunnerLiveness:
    """The last probes of each process. Times are of the steady clock, in seconds."""

    def __init__(self) -> None:
        self._evidence: dict[str, _Evidence] = {}

    def record_answer(self, process: str, answered_as: str, now: float) -> None:
        """Record that a process's machine answered, and as which process."""
        self._evidence[process] = _Evidence(answered_as, now)

    def record_failure(self, process: str, now: float) -> None:
        """Record that a process's machine did not answer."""
        known = self._evidence.setdefault(process, _Evidence())
        if now - known.failed_at > PROBE_VALID_SECONDS:
            known.failures, known.failing_since = 0, now
        known.failures += 1
        known.failed_at = now

    def gone(self, process: str, now: float) -> bool:
        """Whether a process counts as gone, by the silence of its machine."""
        known = self._evidence.get(process)
        if known is None or now - known.failed_at > PROBE_VALID_SECONDS:
            return False
        spans = known.failed_at - known.failing_since >= MINIMUM_FAILING_SECONDS
        return known.failures >= PROBE_FAILURES_UNTIL_GONE and spans

    def replaced(self, process: str, now: float) -> bool:
        """Whether another process answered in its place."""
        known = self._evidence.get(process)
        if known is None or now - known.answered_at > PROBE_VALID_SECONDS:
            return False
        return known.answered_as != process

    def keep_only(self, processes: set[str]) -> None:
        """Forget all other processes."""
        for process in set(self._evidence) - processes:
            del self._evidence[process]
