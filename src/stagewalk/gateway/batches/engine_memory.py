"""Decides which engines have memory for an item, by the expected tokens of their runs. Pure.

Guards against preemption: an engine that runs out of memory stops the newest of its runs midway.
Estimates the memory use of this node's runs and of those of other nodes. Inputs: the runs of this
node with their prompts and received events, the load that engines report, and the capacity in
tokens from the service's configuration. `length_estimate` predicts the remaining events.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from statistics import fmean

from stagewalk.gateway.batches.attempts import RunningAttempts, RunningItem
from stagewalk.gateway.batches.item_run import ItemRun
from stagewalk.gateway.batches.length_estimate import LengthEstimate
from stagewalk.gateway.batches.memory_fit import RoomSearch
from stagewalk.gateway.batches.messages import ItemAwaitingMemory
from stagewalk.gateway.ports.workers import WorkerLoad
from stagewalk.gateway.routes.route import EngineLimits, Service
from stagewalk.gateway.workers.table import WorkerTable
from stagewalk.gateway.workers.worker import Worker

ServiceLookup = Callable[[str], Service | None]

MEMORY_MARGIN_SHARE = 0.15
"""Share of an engine's memory that is kept free, since the lengths of runs are estimates and the
sizes of other nodes' runs are unknown."""

MAXIMUM_WITHHELD_SECONDS = 0.5
"""Maximum wait of an item that no engine has memory for. It then goes to the engine with the
smallest shortfall, since a preempted run delays its step less than a longer wait does."""

WITHHELD_RECHECK_SECONDS = 0.1
"""Interval at which engines are checked again for such an item."""

MAXIMUM_ENGINES_CHECKED = 32
"""Maximum number of engines checked for one item, in order of increasing cost."""

OTHER_RUNS_VALID_SECONDS = 4.0
"""How long a reported number of other nodes' runs is used. It is reduced linearly to zero over this
time, because runs take seconds and an engine reports its load only with its responses."""

MAXIMUM_RUNS_SAMPLED = 200
"""How many runs of this node are averaged to estimate a run of another node."""

RUNS_CACHE_SECONDS = 0.2
"""How long the expected memory use of runs is cached; a run generates few events in this time."""


def unknown_service(_name: str) -> Service | None:
    """Return None: no service is known."""
    return None


@dataclass(frozen=True, slots=True)
class ExpectedRun:
    """The generated tokens of a run: those in memory and those expected.

    Attributes
    ----------
    held
        Tokens of its text so far.
    remaining
        Tokens that it is expected to generate.
    """

    held: float
    remaining: float


def expected_peak(runs: Iterable[ExpectedRun], within: float = math.inf) -> float:
    """Return the expected peak of the total number of text tokens that runs hold in memory.

    All runs of an engine advance by one token a step and release their memory as they end, so the
    peak is just before one of them ends.

    Parameters
    ----------
    within
        Number of steps to look ahead.
    """
    by_end = sorted(runs, key=lambda run: run.remaining, reverse=True)
    peak = held = 0.0
    for count, run in enumerate(by_end, start=1):
        held += run.held
        peak = max(peak, held + count * min(run.remaining, within))
    return peak


@dataclass(slots=True)
class _LocalRuns:
    """The runs of this node at an engine at one point in time.

    Attributes
    ----------
    count, newest
        Number of attempts, and the attempt number of the newest.
    parts
        Tokens by prompt part; an engine stores each part once.
    prompt_tokens, final_tokens
        Tokens of all prompt parts, and of all texts once they are complete.
    """

    count: int
    newest: int
    runs: list[ExpectedRun]
    parts: dict[str, int]
    prompt_tokens: int
    final_tokens: float


@dataclass(frozen=True, slots=True)
class _ReportedRuns:
    """Number of other nodes' requests at an engine, as of a load report."""

    count: int
    at: float

    def remaining(self, now: float) -> float:
        return self.count * max(0.0, 1.0 - (now - self.at) / OTHER_RUNS_VALID_SECONDS)


class EngineMemory:
    """This node's estimate of the engines' memory use.

    Parameters
    ----------
    service
        Finds a service of the configuration in force by name.
    """

    def __init__(
        self,
        workers: WorkerTable,
        attempts: RunningAttempts,
        lengths: LengthEstimate,
        service: ServiceLookup,
    ) -> None:
        self._workers = workers
        self._attempts = attempts
        self._lengths = lengths
        self._service = service
        self._local_runs: dict[str, _LocalRuns] = {}
        """By engine; cleared when older than `RUNS_CACHE_SECONDS`."""
        self._cached_at = -math.inf
        self._other_runs: dict[str, _ReportedRuns] = {}
        """By engine."""
        self._mean_run_tokens: dict[str, float] = {}
        """Mean tokens of a run of this node, by service; also used for runs of other nodes."""
        self._withheld: list[ItemAwaitingMemory] = []

    def record_report(self, engine: Worker, load: WorkerLoad | None, now: float) -> None:
        """Derive from an engine's load report how many of its runs belong to other nodes."""
        if load is None or self.limits(engine) is None:
            return
        others = max(0, load.running + load.waiting - engine.in_flight)
        self._other_runs[engine.announcement.worker] = _ReportedRuns(others, now)

    def fits(self, engine: Worker, item: ItemRun, now: float) -> bool:
        """Whether an engine is expected to run an item without preempting any run."""
        return _MemorySearch(self, item, now).fits(engine)

    def has_unanswered_attempt(self, engine: Worker) -> bool:
        """Whether an engine has not yet responded to an attempt of this node.

        An engine reports its load with a response head, and doesn't respond while it is full. Until
        then, this node can't know what other nodes have sent to it.
        """
        attempts = self._attempts.at(engine.announcement.worker)
        return any(running.item.awaiting_answer for running in reversed(attempts.values()))

    def search(self, item: ItemRun, now: float) -> RoomSearch:
        """Return a search for an engine for a waiting item."""
        return _MemorySearch(self, item, now)

    def limits(self, engine: Worker) -> EngineLimits | None:
        """Return an engine's memory limits, None if they aren't known."""
        service = self._service(engine.announcement.service)
        return None if service is None else service.engine

    def expected_run(self, item: ItemRun, limits: EngineLimits) -> ExpectedRun:
        """Return an item's tokens, generated and expected, at engines with these limits."""
        scale = limits.tokens_per_event
        held = len(item.events) * scale
        left = self._lengths.expected_left(item, scale) * scale
        if item.prompt.maximum_output_tokens is not None:
            left = min(left, max(0.0, item.prompt.maximum_output_tokens - held))
        return ExpectedRun(held, left)

    def shortfall(
        self, engine: Worker, limits: EngineLimits, item: ItemRun, added: ExpectedRun, now: float
    ) -> float:
        """Return how many tokens an engine lacks for an item; 0.0 or less if there is room.

        Memory use is predicted only up to the item's expected end. An idle engine has room for any
        item.

        Parameters
        ----------
        added
            The item's expected run, see `expected_run`.
        """
        others = self._other_runs_at(engine, now)
        if not others and not engine.in_flight:
            return 0.0
        local_runs = self._local_runs_at(engine, limits, now)
        prompts = local_runs.prompt_tokens
        prompts += sum(p.tokens for p in item.prompt.parts if p.part not in local_runs.parts)
        own_size = item.prompt.tokens + added.held + added.remaining
        mean_run_tokens = self._mean_run_tokens.get(engine.announcement.service, own_size)
        free = (
            limits.memory_tokens * (1.0 - MEMORY_MARGIN_SHARE) - prompts - others * mean_run_tokens
        )
        final = local_runs.final_tokens + added.held + added.remaining
        if final <= free:
            return final - free
        return expected_peak([*local_runs.runs, added], added.remaining) - free

    def record_withheld(self, withheld: ItemAwaitingMemory) -> None:
        """Store a withheld item for `take_withheld`."""
        self._withheld.append(withheld)

    def take_withheld(self) -> list[ItemAwaitingMemory]:
        """Return the items withheld since the last call, to be logged."""
        withheld, self._withheld = self._withheld, []
        return withheld

    def expected_tokens(self, now: float) -> dict[str, int]:
        """Return the expected peak of tokens at each engine with runs of this node.

        Runs of other nodes are included.
        """
        expected: dict[str, int] = {}
        for engine in self._workers.all():
            name = engine.announcement.worker
            limits = self.limits(engine)
            if limits is None or not self._attempts.at(name):
                continue
            local_runs = self._local_runs_at(engine, limits, now)
            mean_run = self._mean_run_tokens.get(engine.announcement.service, 0.0)
            others = self._other_runs_at(engine, now) * mean_run
            expected[name] = round(
                local_runs.prompt_tokens + others + expected_peak(local_runs.runs)
            )
        return expected

    def _other_runs_at(self, engine: Worker, now: float) -> float:
        """Return the estimated number of other nodes' requests at an engine."""
        reported = self._other_runs.get(engine.announcement.worker)
        return 0.0 if reported is None else reported.remaining(now)

    def _local_runs_at(self, engine: Worker, limits: EngineLimits, now: float) -> _LocalRuns:
        if now - self._cached_at > RUNS_CACHE_SECONDS:
            self._local_runs.clear()
            self._cached_at = now
            self._update_mean_runs()
            self._other_runs = {
                name: r for name, r in self._other_runs.items() if r.remaining(now) > 0.0
            }
        name = engine.announcement.worker
        attempts = self._attempts.at(name)
        local_runs = self._local_runs.get(name)
        newest = next(reversed(attempts), 0)
        if local_runs is None or local_runs.newest != newest or local_runs.count != len(attempts):
            local_runs = self._local_runs[name] = self._expected_local_runs(attempts, limits)
        return local_runs

    def _update_mean_runs(self) -> None:
        tokens: dict[str, list[float]] = {}
        for running in itertools.islice(self._attempts, MAXIMUM_RUNS_SAMPLED):
            attempt = running.item.running
            engine = None if attempt is None else self._workers.worker(attempt.worker)
            limits = None if engine is None else self.limits(engine)
            if engine is None or limits is None:
                continue
            run = self.expected_run(running.item, limits)
            of_service = tokens.setdefault(engine.announcement.service, [])
            of_service.append(run.held + run.remaining + running.item.prompt.tokens)
        self._mean_run_tokens = {service: fmean(found) for service, found in tokens.items()}

    def _expected_local_runs(
        self, attempts: dict[int, RunningItem], limits: EngineLimits
    ) -> _LocalRuns:
        items = [running.item for running in attempts.values()]
        runs = [self.expected_run(item, limits) for item in items]
        parts = {p.part: p.tokens for item in items for p in item.prompt.parts}
        newest = next(reversed(attempts), 0)
        final = sum(run.held + run.remaining for run in runs)
        return _LocalRuns(len(items), newest, runs, parts, sum(parts.values()), final)


class _MemorySearch:
    """A search for an engine for one item; tracks the engine with the smallest shortfall."""

    def __init__(self, memory: EngineMemory, item: ItemRun, now: float) -> None:
        self._memory = memory
        self._item = item
        self._now = now
        self._checked = 0
        self._saw_unanswered = False
        self._limits: EngineLimits | None = None
        self._added = ExpectedRun(0.0, 0.0)
        """The item's expected run at engines with these limits."""
        self._best: Worker | None = None
        self._smallest_shortfall = math.inf

    def fits(self, engine: Worker) -> bool:
        limits = self._memory.limits(engine)
        if limits is None:
            return True
        if self._checked == MAXIMUM_ENGINES_CHECKED:
            return False
        if self._memory.has_unanswered_attempt(engine):
            self._saw_unanswered = True
            return False
        self._checked += 1
        if limits is not self._limits:
            self._limits = limits
            self._added = self._memory.expected_run(self._item, limits)
        shortfall = self._memory.shortfall(engine, limits, self._item, self._added, self._now)
        if shortfall < self._smallest_shortfall:
            self._best, self._smallest_shortfall = engine, shortfall
        return shortfall <= 0.0

    @property
    def blocked(self) -> bool:
        return self._saw_unanswered and self._checked == 0

    def last_resort(self) -> Worker | None:
        """Return the engine with the smallest shortfall once the item has waited long enough."""
        if self._best is None:
            return None
        item = self._item
        if item.withheld_since is None:
            item.withheld_since = self._now
            shortfall = round(self._smallest_shortfall)
            self._memory.record_withheld(
                ItemAwaitingMemory(item.spec.item, self._checked, shortfall)
            )
        if self._now - item.withheld_since >= MAXIMUM_WITHHELD_SECONDS:
            return self._best
        item.not_before = self._now + WITHHELD_RECHECK_SECONDS
        return None
